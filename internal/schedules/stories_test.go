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

// The stories of testdata/stories: one key k, sent to daemons d0 and d1, played with the
// journal and with naive twins. Commands: ready (a daemon takes what is free), begin,
// dispatch, finish, abort, kill, step, pass, down, up, cut, join, lose (answers of
// writes), late (the next write is delayed), deliver.
func TestStories(t *testing.T) {
	datadriven.RunTest(t, "testdata/stories", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, v := range []struct {
			name  string
			build newOnce
		}{
			{"journal", newRealOnce},
			{"check then run", newCheckThenRun},
			{"intent in memory", newIntentInMemory},
		} {
			fmt.Fprintf(&out, "%s: %s\n", v.name, play(t, d.Input, v.build))
		}
		return out.String()
	})
}

// intentInMemory trusts its lease: the holder remembers what it began, and writes
// only results. Holding is asked once, at the begin.
type intentInMemory struct {
	checkThenRun
	real  *realOnce
	began map[string]bool
}

func newIntentInMemory(kv platform.KV, clock *daemonClock, id request.DaemonID) once {
	return &intentInMemory{
		checkThenRun: checkThenRun{kv: kv},
		real:         newRealOnce(kv, clock, id).(*realOnce),
		began:        map[string]bool{},
	}
}

func (n *intentInMemory) Beat(ctx context.Context) { n.real.Beat(ctx) }

func (n *intentInMemory) Start(key string) (starting, *journal.Result, error) {
	if _, err := n.real.leases.Acquire(context.Background(), key); err != nil {
		return nil, nil, journal.ErrNotHolder
	}
	if n.began[key] {
		return nil, nil, journal.ErrInDoubt
	}
	s, result, err := n.checkThenRun.Start(key)
	n.began[key] = s != nil
	return s, result, err
}

func (n *intentInMemory) Abort(_ context.Context, ticket any) {
	delete(n.began, string(ticket.(naiveTicket)))
}

// player plays one story.
type player struct {
	t      *testing.T
	w      *world
	ctx    context.Context
	ticket map[string]any
	ran    int
	log    []string
}

func play(t *testing.T, script string, build newOnce) string {
	w := newWorld(firstSeed, build)
	w.calm = true // no random faults
	p := &player{t: t, w: w, ctx: context.Background(), ticket: map[string]any{}}
	for _, line := range strings.Split(strings.TrimSpace(script), "\n") {
		p.command(strings.Fields(line))
	}
	return fmt.Sprintf("ran %d: %s", p.ran, strings.Join(p.log, ", "))
}

func (p *player) daemon(id string) *daemon {
	for _, d := range p.w.daemons {
		if string(d.id) == id {
			return d
		}
	}
	p.t.Fatalf("no daemon %s", id)
	return nil
}

func (p *player) command(words []string) {
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
		p.w.pass(d)
	case "down", "up":
		p.w.fake.SetDown(words[0] == "down")
	case "cut", "join":
		p.w.fake.Partition(arg, words[0] == "cut")
	case "lose":
		p.w.fake.DropWriteResponses(1)
	default:
		p.onDaemon(words[0], p.daemon(arg))
	}
}

func (p *player) onDaemon(command string, d *daemon) {
	id := string(d.id)
	switch command {
	case "ready":
		for range 2 {
			d.once.Beat(p.ctx)
			d.once.Scan(p.ctx)
			d.once.Step(p.ctx)
			d.once.Step(p.ctx)
		}
	case "step":
		d.once.Step(p.ctx)
	case "begin":
		p.begin(id, d)
	case "dispatch":
		if p.ticket[id] != nil {
			p.ran++
		}
	case "finish":
		if ticket := p.ticket[id]; ticket != nil {
			d.once.Finish(ticket, journal.Result{Body: []byte("card")})
			d.once.Step(p.ctx)
		}
	case "abort":
		ctx, cancel := context.WithCancel(p.ctx)
		cancel()
		d.once.Abort(ctx, p.ticket[id])
		d.once.Step(p.ctx)
	case "kill":
		p.w.restart(d)
		delete(p.ticket, id)
	default:
		p.t.Fatalf("unknown command %s", command)
	}
}

// begin sends the key and notes what the caller sees.
func (p *player) begin(id string, d *daemon) {
	delete(p.ticket, id)
	start, result, err := d.once.Start("k")
	if start != nil {
		d.once.Step(p.ctx)
		var ok bool
		p.ticket[id], ok, err = start.Poll()
		if !ok {
			start.Cancel()
			err = journal.ErrUnavailable
		}
	}
	switch {
	case result != nil:
		p.log = append(p.log, id+" answers the result")
	case err != nil:
		p.log = append(p.log, id+" answers "+strings.TrimPrefix(err.Error(), "journal: "))
	default:
		p.log = append(p.log, id+" has a ticket")
	}
}
