package daemon

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// suspects implements gateway.Quarantine.
type suspects struct {
	log hclog.Logger
}

func newSuspects(log hclog.Logger) *suspects { return &suspects{log: log.Named("quarantine")} }

// Enter implements gateway.Quarantine.
func (s *suspects) Enter(string) (bool, *request.Error) { return false, nil }

// Leave implements gateway.Quarantine.
func (s *suspects) Leave(_ context.Context, fingerprint string, t request.TargetID, died bool) {
	if died {
		s.log.Warn("Target died with a request in flight.", "target", t, "fingerprint", fingerprint)
	}
}
