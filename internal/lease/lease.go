package lease

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Lease is the possession of a name under one epoch. It ends permanently by Release, with its
// session, or when the holder could not renew the session in time.
type Lease struct {
	manager       *Manager
	name          string
	epoch         uint64
	session       *session
	revision      platform.Revision // of the record
	actAfter      time.Time
	expiredHolder request.DaemonID // the previous holder, if it did not release the name

	once sync.Once
	done chan struct{}
}

// UnknownHolder represents a holder whose record the key-value service has lost.
const UnknownHolder request.DaemonID = "?"

// Name returns the held name.
func (l *Lease) Name() string { return l.name }

// Epoch returns the fencing number, which is higher than that of every earlier holder.
func (l *Lease) Epoch() uint64 { return l.epoch }

// Done returns a channel that is closed after the lease has ended. It may lag behind Valid.
func (l *Lease) Done() <-chan struct{} { return l.done }

// Valid reports whether the lease is valid now. It checks the clock and does not depend on a
// message, which a process that was paused past the end of its lease may not have read yet.
func (l *Lease) Valid() bool { return l.Remaining() > 0 }

// Remaining returns the time for which the lease stays valid, less the margin.
func (l *Lease) Remaining() time.Duration {
	select {
	case <-l.done:
		return 0
	default:
		return max(0, l.session.remaining(l.manager.opts.Now()))
	}
}

// MayAct reports whether an order with this timeout may start. It protects targets that ignore
// epochs: an order completes or times out before another process can hold the name, and no order
// starts before those of the previous holder have ended.
func (l *Lease) MayAct(timeout time.Duration) bool {
	now := l.manager.opts.Now()
	return !now.Before(l.actAfter) && l.Remaining() > timeout
}

// ActAfter returns the time before which MayAct returns false. It is zero without a takeover.
func (l *Lease) ActAfter() time.Time { return l.actAfter }

// ExpiredHolder returns the daemon whose lease of the name expired before this one began. It is
// empty if the name was released or never held. It may be UnknownHolder or this daemon, including
// an earlier process of it.
func (l *Lease) ExpiredHolder() request.DaemonID { return l.expiredHolder }

// Release ends the lease and frees the name. If the key-value service does not respond, the manager frees
// the name later or the session expires.
func (l *Lease) Release(ctx context.Context) error {
	l.end()
	return l.manager.release(ctx, l)
}

func (l *Lease) end() { l.once.Do(func() { close(l.done) }) }
