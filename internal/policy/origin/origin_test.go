package origin

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestDecisions runs testdata/decide: each line of an input is what one daemon says; unanswered=N in the command is how many did not answer.
func TestDecisions(t *testing.T) {
	datadriven.RunTest(t, "testdata/decide", func(t *testing.T, d *datadriven.TestData) string {
		var all []Testimony
		unanswered := 0
		d.MaybeScanArgs(t, "unanswered", &unanswered)
		for line := range strings.Lines(d.Input) {
			all = append(all, parseTestimony(t, strings.Fields(line)))
		}
		v := Decide(all, unanswered)
		if !v.GoesOn {
			return fmt.Sprintf("ends: %s\n", v.Reason)
		}
		return fmt.Sprintf("goes on at %s: %s\n", v.Software, v.Reason)
	})
}

func parseTestimony(t *testing.T, words []string) Testimony {
	var out Testimony
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "record":
			out.Finding = Finding{Found: true, Software: value}
		case "conflict":
			out.Finding = Finding{Found: true, Conflict: true}
		case "sole":
			out.View = View{Certainty: Sole, Software: value}
		case "several":
			out.View = View{Certainty: Several}
		case "listed":
			out.View = out.View.ConfirmedBy(strings.Split(value, ","))
		case "unsure":
			out.View = View{Software: value}
		default:
			t.Fatalf("%q is no testimony", word)
		}
	}
	return out
}

const keep = 10 * time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestVersionCountsUntilItsStreamsHaveEnded guards against a stream of a version whose last replica has just left going on at the version that replaced it.
func TestVersionCountsUntilItsStreamsHaveEnded(t *testing.T) {
	var v Versions
	v.Appear("v1")
	if got := v.View(start, keep, true); got != (View{Certainty: Sole, Software: "v1"}) {
		t.Errorf("one version: %+v", got)
	}
	if got := v.View(start, keep, false); got.Certainty != Unsure {
		t.Errorf("a view that may be old: %+v", got)
	}
	v.Appear("v2")
	v.Vanish(start, "v1")
	for after, want := range map[time.Duration]Certainty{0: Several, keep: Several, keep + 1: Sole} {
		if got := v.View(start.Add(after), keep, true); got.Certainty != want {
			t.Errorf("%s after the last replica left: %v, want %v", after, got.Certainty, want)
		}
	}
	v.Appear("v1")
	v.Prune(start.Add(2*keep), keep)
	if got := v.View(start.Add(2*keep), keep, true); got.Certainty != Several {
		t.Errorf("the version came back: %+v", got)
	}
	v.Vanish(start.Add(2*keep), "v1")
	v.Vanish(start.Add(2*keep), "v2")
	if v.Prune(start.Add(3*keep), keep) || !v.Prune(start.Add(3*keep+1), keep) {
		t.Error("versions are kept too short or too long")
	}
}

// TestRecordsAreBounded guards against records that fill a daemon's memory, and against contradicting ones being believed.
func TestRecordsAreBounded(t *testing.T) {
	const most = 4
	r := NewRecords(most)
	for i := range 10 * most {
		r.Add(start.Add(time.Duration(i)), Record{Key: Key(i), Software: "v1"})
	}
	if r.Len() != most || r.Find(Key(10*most-1)).Software != "v1" || r.Find(0).Found {
		t.Errorf("%d records", r.Len())
	}
	last := Key(10*most - 1)
	r.Add(start.Add(time.Second), Record{Key: last, Software: "v1"})
	if f := r.Find(last); f.Conflict {
		t.Error("a renewed record is a conflict")
	}
	r.Add(start.Add(time.Second), Record{Key: last, Software: "v2"})
	r.Add(start.Add(time.Second), Record{Key: last, Software: "v1"})
	if f := r.Find(last); !f.Conflict {
		t.Error("contradicting records are no conflict")
	}
	if n := len(r.All()); n != most-1 {
		t.Errorf("%d records are passed on", n)
	}
	r.Prune(start.Add(time.Second+keep), keep)
	if r.Len() != 1 {
		t.Errorf("%d records are left", r.Len())
	}
	r.Prune(start.Add(time.Second+keep+1), keep)
	if r.Len() != 0 {
		t.Errorf("%d records are left", r.Len())
	}
}

// TestKeysOfOrganisationsDiffer guards against an organisation that names another's request and changes where its stream goes on.
func TestKeysOfOrganisationsDiffer(t *testing.T) {
	keys := map[Key]bool{KeyOf("s", "a", "1"): true, KeyOf("s", "b", "1"): true, KeyOf("sa", "", "1"): true, KeyOf("s", "a1", ""): true}
	if len(keys) != 4 {
		t.Errorf("%d different keys", len(keys))
	}
}

func fleet(daemons, regions, domains int) []Member {
	out := make([]Member, daemons)
	for i := range out {
		out[i] = Member{Name: fmt.Sprint("vm", i), Region: fmt.Sprint("r", i%regions), FailureDomain: fmt.Sprint("d", i%domains)}
	}
	return out
}

func names(members []Member, indexes []int) map[string]bool {
	out := map[string]bool{}
	for _, i := range indexes {
		out[members[i].Name] = true
	}
	return out
}

func common(a, b map[string]bool) int {
	n := 0
	for name := range a {
		if b[name] {
			n++
		}
	}
	return n
}

// TestReaderAsksDaemonsThatWereTold guards against a record that nobody finds because daemons disagree on who is alive, or because the caller came back in another region.
func TestReaderAsksDaemonsThatWereTold(t *testing.T) {
	const daemons, regions, domains, copies = 390, 7, 18, 3
	all := fleet(daemons, regions, domains)
	missed := 0
	const streams = 2000
	for n := range streams {
		key := KeyOf("s", "o", fmt.Sprint(n))
		told := names(all, Keepers(all, key, "r1", copies))
		fewer := all[n%40:] // a reader that misses up to a tenth of the daemons
		if common(told, names(fewer, Keepers(fewer, key, "r1", copies))) == 0 {
			missed++
		}
		if common(told, names(all, Keepers(all, key, "r2", copies))) == 0 {
			t.Fatalf("stream %d is not found in another region", n)
		}
	}
	if missed > streams/100 {
		t.Errorf("%d of %d records are not found by a reader that misses daemons", missed, streams)
	}
}

// TestRecordsSpread guards against all records of a stream lying in one failure domain, and against daemons that keep many more records than others.
func TestRecordsSpread(t *testing.T) {
	const daemons, copies, streams = 120, 3, 12_000
	all := fleet(daemons, 1, 6)
	load := map[string]int{}
	for n := range streams {
		chosen := Keepers(all, KeyOf("s", "o", fmt.Sprint(n)), "r0", copies)
		domains := map[string]bool{}
		for _, i := range chosen {
			load[all[i].Name]++
			domains[all[i].FailureDomain] = true
		}
		if len(chosen) != copies || len(domains) != copies {
			t.Fatalf("stream %d has %d records in %d failure domains", n, len(chosen), len(domains))
		}
	}
	const mean = copies * streams / daemons
	for name, n := range load {
		if n > mean*3/2 {
			t.Errorf("%s keeps %d records, the mean is %d", name, n, mean)
		}
	}
	if got := Keepers(all[:2], 1, "r0", copies); len(got) != 2 {
		t.Errorf("two daemons keep %d records", len(got))
	}
	if got := Keepers(nil, 1, "r0", copies); len(got) != 0 {
		t.Errorf("no daemons keep %d records", len(got))
	}
}

func BenchmarkKeepers(b *testing.B) {
	for _, daemons := range []int{390, 2000} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			all := fleet(daemons, 7, 18)
			b.ReportAllocs()
			for i := range b.N {
				Keepers(all, Key(i), "r1", 3)
			}
		})
	}
}
