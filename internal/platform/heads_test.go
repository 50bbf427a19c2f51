package platform

import (
	"testing"

	"github.com/bluebellscale/bluebellscale/internal/transfer/headtest"
)

// TestHeadsAreBounded guards against a key-value service in trouble whose headers without end fill the memory of a daemon.
func TestHeadsAreBounded(t *testing.T) {
	headtest.RequireBounded(t, newTransport(Options{}, nil).http.HTTP.Transport)
}
