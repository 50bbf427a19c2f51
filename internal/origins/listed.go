package origins

import (
	"context"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// listDelay is how long a stream whose version is not listed leaves the write to the daemons that saw the version first.
	listDelay = 50 * time.Millisecond
	// listTimeout bounds how long the first event of a stream waits until its version is listed.
	listTimeout = 500 * time.Millisecond
)

// awaitListed waits until the key-value service lists a version at which a stream begins, so that no daemon that reads the entry later takes
// the others for all. It gives up after listTimeout, and at once while the service does not answer.
func (e *Exchange) awaitListed(ctx context.Context, service routing.ServiceID, software string) {
	if e.o.KV == nil || !e.o.Reachable() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	urgent := time.NewTimer(listDelay)
	defer urgent.Stop()
	for {
		changed, listed := e.isListed(service, software)
		if listed {
			return
		}
		select {
		case <-changed:
		case <-urgent.C:
			e.listNow(service)
		case <-ctx.Done():
			e.o.Metrics.Counter("streams_of_unlisted_software").Inc(1)
			return
		}
	}
}

// isListed reports whether the key-value service lists a version, or has no entry of the service, which then tells nobody anything. changed
// is closed when that may have changed.
func (e *Exchange) isListed(service routing.ServiceID, software string) (changed <-chan struct{}, listed bool) {
	synced := e.mirror == nil || e.mirror.InSync()
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.histories[service]
	return e.listChanged, synced && (h == nil || h.lists(software))
}

// listNow makes this daemon write the entry of a service, whatever its rank.
func (e *Exchange) listNow(service routing.ServiceID) {
	e.mu.Lock()
	e.urgent[service] = true
	e.mu.Unlock()
	e.wakeHistory()
}

func (e *Exchange) wakeHistory() {
	select {
	case e.historyWake <- struct{}{}:
	default:
	}
}
