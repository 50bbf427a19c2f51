package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

var epoch = time.Unix(1_700_000_000, 0)

func TestDecide(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var b *Budget
		rng := rand.New(rand.NewPCG(1, 1))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var ms int64
			d.MaybeScanArgs(t, "at", &ms)
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			switch d.Cmd {
			case "budget":
				var p Params
				d.MaybeScanArgs(t, "burst", &p.Burst)
				d.MaybeScanArgs(t, "share", &p.Share)
				d.MaybeScanArgs(t, "per-second", &p.PerSecond)
				b = NewBudget(epoch, p)
				return ""
			case "first-try":
				b.OnFirstAttempt(now)
				return fmt.Sprintf("%.1f left\n", b.Remaining(now))
			case "decide":
				r := Request{Repeatable: d.HasArg("repeatable"), Started: d.HasArg("started")}
				d.MaybeScanArgs(t, "retries", &r.Retries)
				d.MaybeScanArgs(t, "resumes", &r.Resumes)
				var deadline int64
				if d.MaybeScanArgs(t, "deadline", &deadline); deadline > 0 {
					r.Deadline = epoch.Add(time.Duration(deadline) * time.Millisecond)
				}
				var code, ran string
				d.ScanArgs(t, "code", &code)
				d.ScanArgs(t, "ran", &ran)
				f := Failure{Err: &request.Error{Code: request.Code(code), Ran: request.RunOutcome(ran)}, Resumable: d.HasArg("resumable")}
				return describe(b.Decide(now, rng, r, f)) + fmt.Sprintf("%.1f left\n", b.Remaining(now))
			}
			d.Fatalf(t, "unknown command %s", d.Cmd)
			return ""
		})
	})
}

// TestProvisionalBudgetGetsItsShareOnce guards against a budget that keeps the least share for good which it had before its holder knew
// the others, and against one that gains when a share that was known grows.
func TestProvisionalBudgetGetsItsShareOnce(t *testing.T) {
	b := NewBudget(epoch, Params{Burst: 1, Provisional: true})
	if !b.TryTake(epoch) || b.TryTake(epoch) {
		t.Error("a provisional budget has not the one retry that it begins with")
	}
	for _, c := range []struct {
		burst, want float64
	}{{5, 4}, {10, 4}, {3, 3}, {10, 3}} {
		b.SetParams(epoch, Params{Burst: c.burst})
		if got := b.Remaining(epoch); got != c.want {
			t.Errorf("%.0f retries are left at a burst of %.0f, want %.0f", got, c.burst, c.want)
		}
	}
}

func describe(d Decision) string {
	switch d := d.(type) {
	case RetryElsewhere:
		return "retry elsewhere\n"
	case ResumeStream:
		return "resume\n"
	case GiveUp:
		return fmt.Sprintf("give up: %s %s after %s\n", d.Err.Code, d.Err.Ran, d.Err.RetryAfter)
	}
	return "nothing\n"
}

// The retries of a target set never exceed its share of the first attempts, the burst and the rate,
// and the retries of a request never exceed its limit. A request is not retried if its answer has
// begun, or if it may have run and must not run twice.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := Params{
			MaxRetries: rapid.IntRange(1, 4).Draw(rt, "max"),
			Share:      rapid.Float64Range(0.01, 1).Draw(rt, "share"),
			Burst:      rapid.Float64Range(1, 20).Draw(rt, "burst"),
			PerSecond:  rapid.Float64Range(0.01, 2).Draw(rt, "rate"),
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		b, now := NewBudget(epoch, p), epoch
		first, retries := 0, 0
		codes := []request.Code{request.CodeTargetFailed, request.CodeNoTarget, request.CodeBadRequest, request.CodeQuarantined}
		for range rapid.IntRange(1, 300).Draw(rt, "requests") {
			now = now.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
			b.OnFirstAttempt(now)
			first++
			r := Request{Repeatable: rng.IntN(2) == 0, Started: rng.IntN(4) == 0}
			for {
				ran := []request.RunOutcome{request.NotRun, request.DidRun, request.InDoubt}[rng.IntN(3)]
				f := Failure{Err: &request.Error{Code: codes[rng.IntN(len(codes))], Ran: ran}, Resumable: rng.IntN(4) == 0}
				d := b.Decide(now, rng, r, f)
				if _, ok := d.(ResumeStream); ok {
					r.Resumes++
					continue
				}
				if _, ok := d.(RetryElsewhere); !ok {
					break
				}
				if r.Started || (ran != request.NotRun && !r.Repeatable) || f.Err.Code == request.CodeBadRequest {
					rt.Fatalf("request %+v retried after %v", r, f.Err)
				}
				r.Retries++
				retries++
			}
			if r.Retries > p.MaxRetries || r.Resumes > DefaultMaxResumes {
				rt.Fatalf("one request: %d retries, %d resumes", r.Retries, r.Resumes)
			}
		}
		bound := p.Burst + p.Share*float64(first) + p.PerSecond*now.Sub(epoch).Seconds()
		if float64(retries) > bound+1e-6 {
			rt.Fatalf("%d retries, bound %.1f", retries, bound)
		}
	})
}

// All targets of a model fail for some time. If each call is attempted three times, the remaining
// targets receive three times the usual load and fail too. The naive variant retries by count alone.
func TestOutageDoesNotMultiplyLoad(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	b := NewBudget(epoch, Params{})
	const calls = 1000
	naive, bounded := 0, 0
	for i := range calls {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		b.OnFirstAttempt(now)
		naive += 1 + DefaultMaxRetries
		bounded++
		r := Request{Repeatable: true}
		f := Failure{Err: request.Refuse(request.CodeTargetFailed, 502, 0, "connection refused")}
		for {
			if _, ok := b.Decide(now, rng, r, f).(RetryElsewhere); !ok {
				break
			}
			r.Retries++
			bounded++
		}
	}
	if naive < 3*calls {
		t.Fatal("the naive variant does not multiply the load, so the test proves nothing")
	}
	if bounded > calls*115/100 {
		t.Errorf("%d attempts for %d calls", bounded, calls)
	}
	t.Logf("%d calls: %d attempts, naive variant %d", calls, bounded, naive)
}

// A replica dies with all its streams after a time with few failures. The saved share may be used
// then, but no window may have more retries than its share of the requests allows.
func TestSavedShareIsBoundedPerWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, share, burst = 10 * time.Second, 0.084, 2.0
		p := Params{Share: share, SavedShare: 0.056, Window: window, Burst: burst, PerSecond: 0.0001}
		b := NewBudget(epoch, p)
		rate := rapid.IntRange(1, 200).Draw(t, "requests a second")
		failAt := time.Duration(rapid.IntRange(0, 40_000).Draw(t, "failure at ms")) * time.Millisecond
		var retries []time.Time
		for i := range 40 * rate {
			now := epoch.Add(time.Duration(i) * time.Second / time.Duration(rate))
			b.OnFirstAttempt(now)
			for now.Sub(epoch) >= failAt && b.TryTake(now) {
				retries = append(retries, now)
			}
		}
		from := 0
		for to := range retries {
			for retries[to].Sub(retries[from]) >= window {
				from++
			}
			if n, most := float64(to-from+1), 0.2*float64(rate)*window.Seconds()+burst+2; n > most {
				t.Fatalf("%v retries in a window, at most %v allowed", n, most)
			}
		}
	})
}
