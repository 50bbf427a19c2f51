package replicas

import (
	"testing"
	"time"
)

// A probe fails while a replica that refuses new connections answers on an open one: the answer came first, and the process
// must neither end nor take the replica out of use.
func TestFailedProbeAfterAnswerIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	var h Health
	h.RecordDown(now)
	if !h.ProbeDue(now.Add(minBackoff)) {
		t.Fatal("no probe is due")
	}
	h.RecordAnswer(false)
	h.RecordProbe(now.Add(minBackoff), false)
	if h.BackingOff(now.Add(minBackoff)) || h.ConfirmedDown() {
		t.Error("a replica that answers counts as down")
	}
}
