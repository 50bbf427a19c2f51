package membership

import (
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/transfer/headtest"
)

// TestHeadsAreBounded guards against a member in trouble whose headers without end fill the memory of a daemon.
func TestHeadsAreBounded(t *testing.T) {
	headtest.RequireBounded(t, withDefaults(Options{Now: time.Now, Self: &peer.Member{}}).Client.Transport)
}
