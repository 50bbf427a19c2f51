package platform

import (
	"testing"

	"pgregory.net/rapid"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

// register is one key of the service with its true history.
type register struct {
	revision Revision // of the service
	at       Revision // of the key; zero: absent
	current  envelope
}

// write puts a value; carry tells whether its writer names the writes before it, as
// Client does and another tool does not.
func (r *register) write(id writeID, carry bool) Revision {
	r.revision++
	next := envelope{id: id}
	if carry && r.at != 0 {
		next.history = r.current.successorHistory(r.at)
	}
	r.current, r.at = decodeEnvelope(next.encode()), r.revision
	return r.at
}

func (r *register) delete() {
	r.revision++
	r.current, r.at = envelope{}, 0
}

// Whatever other writers do after a write whose answer was lost, and however late it
// arrives, the judgement of it is right or says that it does not know.
func TestSettleAgainstTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r register
		others := 0
		other := func() writeID {
			others++
			return writeID{1, byte(others), byte(others >> 8)}
		}
		for range rapid.IntRange(0, 3).Draw(t, "before") {
			r.write(other(), true)
		}
		lost, expect := writeID{2}, r.at
		var applied Revision
		refuted := false
		for _, step := range rapid.SliceOfN(rapid.SampledFrom([]string{"arrive", "other", "other", "tool", "delete"}), 1, 14).Draw(t, "steps") {
			switch step {
			case "arrive":
				if r.at == expect && applied == 0 {
					applied = r.write(lost, true)
				}
			case "other":
				r.write(other(), true)
			case "tool":
				r.write(other(), false)
			case "delete":
				r.delete()
			}
			v, revision := settle(lost, expect, r.current, r.at)
			refuted = refuted || v == verdictNotApplied
			if v == verdictApplied && (applied == 0 || revision != applied) {
				t.Fatalf("judged applied at %d; it was applied at %d", revision, applied)
			}
			if refuted && applied != 0 {
				t.Fatal("judged not applied")
			}
		}
	})
}
