package loadshare

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// TestSendersAreBounded guards against reports in ever new names, for each of which something is remembered, and against daemons that are
// heard no more because of them.
func TestSendersAreBounded(t *testing.T) {
	var s senders
	now := time.Now()
	admit := func(name string) bool {
		_, ok := s.admit(now, request.DaemonID(name))
		return ok
	}
	if admit(strings.Repeat("x", maxSenderBytes+1)) {
		t.Error("a name that is too long is accepted")
	}
	if !admit("known") {
		t.Error("the first name is refused")
	}
	accepted := 0
	for n := range 2 * maxSenders {
		if admit(fmt.Sprint("other-", n)) {
			accepted++
		}
	}
	if accepted != maxSenders-1 || len(s.heard) != maxSenders {
		t.Errorf("%d names are accepted and %d known, want %d and %d", accepted, len(s.heard), maxSenders-1, maxSenders)
	}
	now = now.Add(senderTTL)
	if !admit("known") || admit("new") {
		t.Error("a known name is refused, or a new one accepted without room")
	}
	now = now.Add(senderTTL / 2)
	expired, ok := s.admit(now, "new")
	if !ok || len(expired) != maxSenders-1 || len(s.heard) != 2 {
		t.Errorf("accepted: %t, %d names expired, %d are known", ok, len(expired), len(s.heard))
	}
}
