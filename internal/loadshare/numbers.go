package loadshare

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/bounds"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
)

const (
	// maxBusy is longer than replicas are announced as busy at once. What takes longer is announced again.
	maxBusy = time.Minute
	// maxWorkRequests and maxWorkTokens bound what a daemon may report of one replica.
	maxWorkRequests = 1 << 20
	maxWorkTokens   = 1 << 30
)

// workMessage returns the wire format of a daemon's work at a replica.
func workMessage(replica uint64, w replicas.Work) *Work {
	return &Work{
		Replica: replica, Requests: int32(min(w.Requests, maxWorkRequests)), Streams: int32(min(w.Streams, maxWorkRequests)),
		Tokens: int32(min(w.Tokens, maxWorkTokens)), Prefill: int32(min(w.Prefill, maxWorkTokens)), Long: int32(min(w.LongTokens, maxWorkTokens)),
	}
}

// validate returns an error that names the first field with an impossible number.
func (w *Work) validate() error {
	for _, field := range []struct {
		name           string
		value, maximum int32
	}{
		{"requests", w.Requests, maxWorkRequests}, {"streams", w.Streams, maxWorkRequests},
		{"tokens", w.Tokens, maxWorkTokens}, {"prefill", w.Prefill, maxWorkTokens}, {"long", w.Long, maxWorkTokens},
	} {
		if field.value < 0 || field.value > field.maximum {
			return errors.Newf("loadshare: work: %s is %d, want 0 to %d", field.name, field.value, field.maximum)
		}
	}
	return nil
}

// validate returns an error that names the first impossible field.
func (s *State) validate() error {
	if s.BusyMs < 0 || s.BusyMs > int32(maxBusy.Milliseconds()) {
		return errors.Newf("loadshare: state: busy_ms is %d, want 0 to %d", s.BusyMs, maxBusy.Milliseconds())
	}
	if s.Weights == 0 {
		return nil
	}
	if err := bounds.CheckName(s.Model); err != nil {
		return errors.Wrap(err, "loadshare: state: model")
	}
	return errors.Wrap(bounds.CheckNumber(s.Weights), "loadshare: state: weights")
}

// validate returns an error if the limit is none that a replica can have.
func (l *Limit) validate() error {
	if !(l.PerSecond >= 0 && l.PerSecond <= bounds.MaxPerSecond) {
		return errors.Newf("loadshare: limit: per_second is %g, want 0 to %g", l.PerSecond, bounds.MaxPerSecond)
	}
	return nil
}

// isPossible logs the error of a part of a peer's report, which is then ignored.
func (s *Reporter) isPossible(from string, err error) bool {
	if err != nil {
		s.badNumbers.Do(func() { s.o.Logger.Warn("Ignoring a part of a peer's report", "from", from, "error", err) })
	}
	return err == nil
}
