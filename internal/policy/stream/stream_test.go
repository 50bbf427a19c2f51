package stream

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

var epoch = time.Unix(1_700_000_000, 0)

func TestAssembler(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var a *Assembler
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var ms int64
			d.MaybeScanArgs(t, "at", &ms)
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			var actions []Action
			switch d.Cmd {
			case "new":
				p := Params{RequestID: "r1", Version: "v1", ReorderWindow: 4}
				var deadline int64
				d.MaybeScanArgs(t, "deadline", &deadline)
				if deadline > 0 {
					p.Deadline = epoch.Add(time.Duration(deadline) * time.Millisecond)
				}
				a = New(epoch, p)
				return ""
			case "frame":
				f := engineapi.Frame{RequestID: "r1", Version: "v1"}
				d.ScanArgs(t, "seq", &f.Seq)
				d.MaybeScanArgs(t, "text", &f.Text)
				var id, version, code string
				if d.MaybeScanArgs(t, "id", &id); id != "" {
					f.RequestID = request.ID(id)
				}
				if d.MaybeScanArgs(t, "version", &version); version != "" {
					f.Version = request.Version(version)
				}
				if d.MaybeScanArgs(t, "error", &code); code != "" {
					f.Error = &engineapi.Error{Code: code, Started: d.HasArg("started")}
				}
				if f.Done = d.HasArg("done"); f.Done {
					f.Usage = &engineapi.Usage{OutputTokens: f.Seq}
				}
				actions = a.OnFrame(now, f)
			case "cut":
				actions = a.OnDisconnect(now)
			case "tick":
				actions = a.Tick(now)
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return describe(actions)
		})
	})
}

func describe(actions []Action) string {
	var out strings.Builder
	for _, action := range actions {
		switch a := action.(type) {
		case Emit:
			fmt.Fprintf(&out, "emit %d %s\n", a.Seq, a.Text)
		case Resume:
			fmt.Fprintf(&out, "resume from %d: %s\n", a.From, a.Reason)
		case Finish:
			fmt.Fprintf(&out, "finish, %d output tokens\n", a.Usage.OutputTokens)
		case Fail:
			fmt.Fprintf(&out, "fail: %s %d %s\n", a.Err.Code, a.Err.Status, a.Err.Ran)
		}
	}
	return out.String()
}

// target holds complete answers and sends their frames from any sequence number on.
type target map[request.ID][]engineapi.Frame

func newTarget(rng *rand.Rand, ids ...request.ID) target {
	tg := make(target)
	for _, id := range ids {
		n := 1 + rng.Intn(30)
		for seq := range n {
			f := engineapi.Frame{RequestID: id, Seq: seq, Text: fmt.Sprintf("%s.%d ", id, seq), Version: "v1"}
			if f.Done = seq == n-1; f.Done {
				f.Usage = &engineapi.Usage{OutputTokens: n}
			}
			tg[id] = append(tg[id], f)
		}
	}
	return tg
}

func (tg target) text(id request.ID) string {
	var out strings.Builder
	for _, f := range tg[id] {
		out.WriteString(f.Text)
	}
	return out.String()
}

// sendWithFaults returns the frames of an answer from a sequence number on, with injected
// faults: it drops, duplicates and reorders frames and replaces them by frames of another
// answer. The connection may close early or become idle.
func (tg target) sendWithFaults(rng *rand.Rand, id, other request.ID, from int, fault float64) (frames []engineapi.Frame, idle bool) {
	for _, f := range tg[id][from:] {
		switch {
		case rng.Float64() >= fault:
			frames = append(frames, f)
		case rng.Intn(5) == 0:
			return frames, rng.Intn(2) == 0
		case rng.Intn(3) == 0:
			frames = append(frames, f, f)
		case rng.Intn(2) == 0:
			frames = append(frames, tg[other][rng.Intn(len(tg[other]))])
		}
		if n := len(frames); n > 1 && rng.Float64() < fault {
			i := rng.Intn(n)
			frames[i], frames[n-1] = frames[n-1], frames[i]
		}
	}
	return frames, false
}

// run drives an Assembler against a target until it ends.
func run(rng *rand.Rand, tg target, a *Assembler, fault float64) (text string, end Action) {
	var out strings.Builder
	now := epoch
	var frames []engineapi.Frame
	idle := false
	connect := func(from int) {
		more, stalled := tg.sendWithFaults(rng, "r1", "r2", from, fault)
		frames, idle = append(frames, more...), stalled
	}
	connect(0)
	for range 10_000 {
		now = now.Add(time.Duration(rng.Intn(150)) * time.Millisecond)
		actions := a.Tick(now)
		switch {
		case len(actions) > 0:
		case len(frames) > 0:
			actions = a.OnFrame(now, frames[0])
			frames = frames[1:]
		case !idle:
			actions = a.OnDisconnect(now)
		}
		for _, action := range actions {
			switch act := action.(type) {
			case Emit:
				out.WriteString(act.Text)
			case Resume:
				connect(act.From)
			case Finish, Fail:
				return out.String(), act
			}
		}
	}
	return out.String(), nil
}

// TestAnswerIsCompleteOrFails checks that the caller receives a prefix of its own answer in
// order, and at the end the complete answer or an error, under any connection faults.
func TestAnswerIsCompleteOrFails(t *testing.T) {
	finished, failed := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed")))
		tg := newTarget(rng, "r1", "r2")
		a := New(epoch, Params{RequestID: "r1", Version: "v1", ReorderWindow: rapid.IntRange(1, 16).Draw(rt, "reorder")})
		text, end := run(rng, tg, a, rapid.Float64Range(0, 0.7).Draw(rt, "fault"))
		want := tg.text("r1")
		switch e := end.(type) {
		case Finish:
			finished++
			if text != want || e.Usage.OutputTokens != len(tg["r1"]) {
				rt.Fatalf("got %q, want %q", text, want)
			}
		case Fail:
			failed++
			if !strings.HasPrefix(want, text) || e.Err.Ran == request.NotRun {
				rt.Fatalf("got %q then %v, want a prefix of %q", text, e.Err, want)
			}
		default:
			rt.Fatalf("no Finish or Fail after %q", text)
		}
		if len(a.OnFrame(epoch, tg["r1"][0])) != 0 || len(a.OnDisconnect(epoch)) != 0 || len(a.Tick(epoch.Add(time.Hour))) != 0 {
			rt.Fatal("got an action after Finish or Fail")
		}
	})
	t.Logf("%d finished, %d failed", finished, failed)
}

// TestForeignAndDuplicateFramesAreDropped guards against a caller that receives text of
// another organisation's answer within its own, or text twice. This happens if a target
// swaps one frame between two streams and a resume sends frames again. A naive relay that
// forwards all frames until the last one shows the failure.
func TestForeignAndDuplicateFramesAreDropped(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	tg := newTarget(rng, "r1", "r2")
	own, other := tg["r1"], tg["r2"]
	arriving := append([]engineapi.Frame{own[0], other[1]}, own...)

	var naive strings.Builder
	for _, f := range arriving {
		naive.WriteString(f.Text)
	}
	if !strings.Contains(naive.String(), "r2.1") || naive.String() == tg.text("r1") {
		t.Fatal("the naive relay did not mix the answers, so the test does not cover the failure")
	}
	a := New(epoch, Params{RequestID: "r1", Version: "v1"})
	var got strings.Builder
	for _, f := range arriving {
		for _, action := range a.OnFrame(epoch, f) {
			if e, ok := action.(Emit); ok {
				got.WriteString(e.Text)
			}
		}
	}
	if got.String() != tg.text("r1") || !a.Ended() {
		t.Errorf("got %q, want %q", got.String(), tg.text("r1"))
	}
	if d := a.Dropped(); d.Foreign != 1 || d.Duplicate != 1 {
		t.Errorf("dropped %+v, want one foreign and one duplicate frame", d)
	}
}
