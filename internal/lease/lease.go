package lease

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Lease is one name held under one epoch. It ends for good by Release, by the end of
// its session, or when its holder could not renew in time.
type Lease struct {
	manager  *Manager
	name     string
	epoch    uint64
	session  *session
	revision platform.Revision // of the record
	actAfter time.Time
	lapsed   request.DaemonID // the holder before, if it did not release the name

	once sync.Once
	done chan struct{}
}

// UnknownHolder stands for a holder whose record the service has lost.
const UnknownHolder request.DaemonID = "?"

// Name returns the name held.
func (l *Lease) Name() string { return l.name }

// Epoch returns the fencing number; it is higher than that of every earlier holder.
func (l *Lease) Epoch() uint64 { return l.epoch }

// Done is closed when the lease has ended. It may lag behind Valid.
func (l *Lease) Done() <-chan struct{} { return l.done }

// Valid reports whether the lease can be relied on now. It guards against a holder
// that was paused past its lease: it asks the clock, not a message that the paused
// process might not have read yet.
func (l *Lease) Valid() bool { return l.Remaining() > 0 }

// Remaining is the time for which the lease can be relied on, the margin taken off.
func (l *Lease) Remaining() time.Duration {
	select {
	case <-l.done:
		return 0
	default:
		return max(0, l.session.left(l.manager.opts.Now()))
	}
}

// MayAct reports whether an order with this timeout may start. It is for targets
// that ignore epochs: the order ends, or its sender gives it up, before another
// process can hold the name, and none starts until the former holder's have ended.
func (l *Lease) MayAct(timeout time.Duration) bool {
	now := l.manager.opts.Now()
	return !now.Before(l.actAfter) && l.Remaining() > timeout
}

// ActAfter is the time before which MayAct refuses; zero without a takeover.
func (l *Lease) ActAfter() time.Time { return l.actAfter }

// ExpiredHolder returns the daemon whose lease of the name ran out before this one; empty if the
// name was released, or never held. It may be this daemon, also before its last start, or
// UnknownHolder.
func (l *Lease) ExpiredHolder() request.DaemonID { return l.lapsed }

// Release ends the lease and frees the name. When the service does not answer, the
// manager frees the name later, or the session lapses.
func (l *Lease) Release(ctx context.Context) error {
	l.end()
	return l.manager.release(ctx, l)
}

func (l *Lease) end() { l.once.Do(func() { close(l.done) }) }
