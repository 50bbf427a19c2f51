package poison

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// epoch is the time 0 of the tables.
var epoch = time.UnixMilli(1_700_000_000_000)

// traitNamed returns the trait of a name such as part:x, shared:x, request:x, path:x or model:x. Of an organisation is written part:x/o.
func traitNamed(t *testing.T, name string) Trait {
	t.Helper()
	kind, value, _ := strings.Cut(name, ":")
	value, org, _ := strings.Cut(value, "/")
	if org == "" {
		org = "o"
	}
	kinds := map[string]Kind{"part": KindPart, "shared": KindPart, "request": KindRequest, "path": KindPath, "model": KindModel}
	if kinds[kind] == 0 {
		t.Fatalf("unknown trait %s", name)
	}
	trait := NewTrait(kinds[kind], orgNamed(org), []byte(value))
	if kind == "shared" {
		return trait.ForAll()
	}
	return trait
}

func orgNamed(name string) Org { return OrgOf(request.OrgID(name)) }

// TestDecisions runs the tables in testdata. Times are in milliseconds.
func TestDecisions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		r := New(DefaultParams)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return runCommand(t, r, d)
		})
	})
}

func runCommand(t *testing.T, r *Registry, d *datadriven.TestData) string {
	var at, sent int
	var id, org string
	d.MaybeScanArgs(t, "at", &at)
	d.MaybeScanArgs(t, "sent", &sent)
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "org", &org)
	now := epoch.Add(time.Duration(at) * time.Millisecond)
	var names []string
	var traits []Trait
	for _, name := range strings.Fields(d.Input) {
		names = append(names, name)
		traits = append(traits, traitNamed(t, name))
	}
	switch d.Cmd {
	case "death":
		report := Report{Death: id, Org: orgNamed(orDefault(org, "o")), At: now}
		for _, trait := range traits {
			report.Accused = append(report.Accused, Accused{Trait: trait, Sent: epoch.Add(time.Duration(sent) * time.Millisecond)})
		}
		r.OnDeath(now, report)
	case "answer":
		r.OnAnswered(now, traits, traits)
	case "trial":
		r.OnTrial(now, traits)
	case "prune":
		r.Prune(now)
		return fmt.Sprintln(r.Len(), "records")
	case "check":
		return describe(r.Check(now, traits), names, traits)
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	var out strings.Builder
	for i, trait := range traits {
		if r.Held(trait) > 0 || r.IsPoisonous(trait) {
			fmt.Fprintf(&out, "%s held=%d poisonous=%t\n", names[i], r.Held(trait), r.IsPoisonous(trait))
		}
	}
	return out.String()
}

func orDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

func describe(v Verdict, names []string, traits []Trait) string {
	nameOf := func(trait Trait) string {
		for i := range traits {
			if traits[i] == trait {
				return names[i]
			}
		}
		return "?"
	}
	switch {
	case v.Refused:
		return fmt.Sprintf("refused for %s, next trial in %s\n", nameOf(v.Cause), v.RetryAfter)
	case len(v.Trials) > 0:
		var trials []string
		for _, trait := range v.Trials {
			trials = append(trials, nameOf(trait))
		}
		return fmt.Sprintf("trial of %s\n", strings.Join(trials, " "))
	}
	return "runs\n"
}
