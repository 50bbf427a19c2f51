package daemon

import (
	"testing"

	"github.com/bluebellscale/bluebellscale/internal/transfer/headtest"
)

// TestHeadsAreBounded guards against a daemon in trouble whose headers without end fill the memory of another one.
func TestHeadsAreBounded(t *testing.T) { headtest.RequireBounded(t, newPeerPool().http.Transport) }
