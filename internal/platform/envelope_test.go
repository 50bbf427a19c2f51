package platform

import (
	"testing"

	"pgregory.net/rapid"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

// register models one key of the key-value service.
type register struct {
	storeRevision Revision // latest revision of the key-value service
	keyRevision   Revision // revision of the key; zero: absent
	current       envelope
}

// write replaces the value. carry tells whether the writer copies the history of earlier writes, as
// Client does and other tools do not.
func (r *register) write(id writeID, carry bool) Revision {
	r.storeRevision++
	next := envelope{id: id}
	if carry && r.keyRevision != 0 {
		next.history = r.current.successorHistory(r.keyRevision)
	}
	r.current, r.keyRevision = decodeEnvelope(next.encode()), r.storeRevision
	return r.keyRevision
}

func (r *register) delete() {
	r.storeRevision++
	r.current, r.keyRevision = envelope{}, 0
}

// The response to a write is lost. No matter what other writers do afterwards and how late the write
// arrives, resolveOutcome returns the true outcome or outcomeUnknown.
func TestResolveOutcomeAgainstTrueHistory(t *testing.T) {
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
		lost, expect := writeID{2}, r.keyRevision
		var applied Revision
		refuted := false
		for _, step := range rapid.SliceOfN(rapid.SampledFrom([]string{"arrive", "other", "other", "tool", "delete"}), 1, 14).Draw(t, "steps") {
			switch step {
			case "arrive":
				if r.keyRevision == expect && applied == 0 {
					applied = r.write(lost, true)
				}
			case "other":
				r.write(other(), true)
			case "tool":
				r.write(other(), false)
			case "delete":
				r.delete()
			}
			outcome, revision := resolveOutcome(lost, expect, r.current, r.keyRevision)
			refuted = refuted || outcome == outcomeNotApplied
			if outcome == outcomeApplied && (applied == 0 || revision != applied) {
				t.Fatalf("resolved as applied at %d; it was applied at %d", revision, applied)
			}
			if refuted && applied != 0 {
				t.Fatal("resolved as not applied, but it was applied")
			}
		}
	})
}
