package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/peer"
)

// TestMembersAreBounded guards against calls that name ever new daemons, each of which is remembered.
func TestMembersAreBounded(t *testing.T) {
	core := NewCore(&peer.Member{Id: "a", PeerAddress: "10.0.0.1:9000", Incarnation: 1}, nil, Params{})
	now := time.Unix(0, 0)
	core.mergeAll(now, []*peer.Member{{Id: "b" + strings.Repeat("x", maxMemberBytes), Incarnation: 1}})
	if n := core.entries.len(); n != 0 {
		t.Errorf("%d members of a large record are known", n)
	}
	for n := range maxMembers + 10 {
		core.mergeAll(now, []*peer.Member{{Id: fmt.Sprint("b-", n), PeerAddress: "10.0.0.2:9000", Incarnation: 1}})
	}
	if n := core.entries.len(); n != maxMembers {
		t.Errorf("%d members are known, want %d", n, maxMembers)
	}
}
