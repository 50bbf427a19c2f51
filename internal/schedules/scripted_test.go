package schedules

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// TestScriptedSchedules runs the scripts of testdata/stories: one key k is sent to daemons d0
// and d1, with the journal and with naive implementations. Commands: ready (a daemon acquires
// the free partitions), begin, dispatch, finish, abort, kill, step, pass (advances the clock),
// down and up (of the key-value service), cut and join (partition a daemon from the service
// and reconnect it), lose (drops the response of the next write).
func TestScriptedSchedules(t *testing.T) {
	datadriven.RunTest(t, "testdata/stories", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, v := range []struct {
			name  string
			build journalFactory
		}{
			{"journal", newRealJournal},
			{"check then run", newCheckThenRun},
			{"intent in memory", newMemoryIntentJournal},
		} {
			fmt.Fprintf(&out, "%s: %s\n", v.name, runScript(t, d.Input, v.build))
		}
		return out.String()
	})
}

// memoryIntentJournal is an unsafe journal for comparison. It relies on its lease: the
// holder records started calls only in memory and writes only results. It checks its lease
// once, when a call starts.
type memoryIntentJournal struct {
	checkThenRun
	real    *realJournal
	started map[string]bool
}

func newMemoryIntentJournal(kv platform.KV, clock *daemonClock, id request.DaemonID) journalAPI {
	return &memoryIntentJournal{
		checkThenRun: checkThenRun{kv: kv},
		real:         newRealJournal(kv, clock, id).(*realJournal),
		started:      map[string]bool{},
	}
}

func (n *memoryIntentJournal) Heartbeat(ctx context.Context) { n.real.Heartbeat(ctx) }

func (n *memoryIntentJournal) Start(key string) (pendingStart, *journal.Result, error) {
	if _, err := n.real.leases.Acquire(context.Background(), key); err != nil {
		return nil, nil, journal.ErrNotHolder
	}
	if n.started[key] {
		return nil, nil, journal.ErrInDoubt
	}
	s, result, err := n.checkThenRun.Start(key)
	n.started[key] = s != nil
	return s, result, err
}

func (n *memoryIntentJournal) Abort(_ context.Context, ticket any) {
	delete(n.started, string(ticket.(naiveTicket)))
}

// scriptRunner runs one script.
type scriptRunner struct {
	t        *testing.T
	w        *world
	ctx      context.Context
	ticket   map[string]any
	runs     int
	observed []string
}

func runScript(t *testing.T, script string, build journalFactory) string {
	w := newWorld(firstSeed, build)
	w.faultsOff = true // no random faults
	p := &scriptRunner{t: t, w: w, ctx: context.Background(), ticket: map[string]any{}}
	for _, line := range strings.Split(strings.TrimSpace(script), "\n") {
		p.runCommand(strings.Fields(line))
	}
	return fmt.Sprintf("ran %d: %s", p.runs, strings.Join(p.observed, ", "))
}

func (p *scriptRunner) daemon(id string) *daemon {
	for _, d := range p.w.daemons {
		if string(d.id) == id {
			return d
		}
	}
	p.t.Fatalf("no daemon %s", id)
	return nil
}

func (p *scriptRunner) runCommand(words []string) {
	arg := ""
	if len(words) > 1 {
		arg = words[1]
	}
	switch words[0] {
	case "pass":
		d, err := time.ParseDuration(arg)
		if err != nil {
			p.t.Fatal(err)
		}
		p.w.advanceClock(d)
	case "down", "up":
		p.w.fake.SetDown(words[0] == "down")
	case "cut", "join":
		p.w.fake.Partition(arg, words[0] == "cut")
	case "lose":
		p.w.fake.DropWriteResponses(1)
	default:
		p.runDaemonCommand(words[0], p.daemon(arg))
	}
}

func (p *scriptRunner) runDaemonCommand(command string, d *daemon) {
	id := string(d.id)
	switch command {
	case "ready":
		for range 2 {
			d.journal.Heartbeat(p.ctx)
			d.journal.Scan(p.ctx)
			d.journal.Step(p.ctx)
			d.journal.Step(p.ctx)
		}
	case "step":
		d.journal.Step(p.ctx)
	case "begin":
		p.begin(id, d)
	case "dispatch":
		if p.ticket[id] != nil {
			p.runs++
		}
	case "finish":
		if ticket := p.ticket[id]; ticket != nil {
			d.journal.Finish(ticket, journal.Result{Body: []byte("card")})
			d.journal.Step(p.ctx)
		}
	case "abort":
		ctx, cancel := context.WithCancel(p.ctx)
		cancel()
		d.journal.Abort(ctx, p.ticket[id])
		d.journal.Step(p.ctx)
	case "kill":
		p.w.restart(d)
		delete(p.ticket, id)
	default:
		p.t.Fatalf("unknown command %s", command)
	}
}

// begin sends the key and records the answer that the caller observes.
func (p *scriptRunner) begin(id string, d *daemon) {
	delete(p.ticket, id)
	start, result, err := d.journal.Start("k")
	if start != nil {
		d.journal.Step(p.ctx)
		var ok bool
		p.ticket[id], ok, err = start.Poll()
		if !ok {
			start.Cancel()
			err = journal.ErrUnavailable
		}
	}
	switch {
	case result != nil:
		p.observed = append(p.observed, id+" answers the result")
	case err != nil:
		p.observed = append(p.observed, id+" answers "+strings.TrimPrefix(err.Error(), "journal: "))
	default:
		p.observed = append(p.observed, id+" has a ticket")
	}
}
