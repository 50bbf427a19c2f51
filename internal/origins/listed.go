package origins

import (
	"context"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/monotime"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// listDelay is how long a stream whose version is not listed leaves the write to the daemons that saw the version first.
	listDelay = 50 * time.Millisecond
	// listTimeout bounds how long the first event of a stream waits until its version is listed.
	listTimeout = 500 * time.Millisecond
)

// preferences are those of the services that have replicas of listed versions and of others.
type preferences map[routing.ServiceID]*preference

// preference is for the versions with replicas that the key-value service lists, of a service that has replicas of other versions too.
type preference struct {
	listed map[string]bool
	due    *monotime.Instant // when this daemon asks next that the others be listed, if streams still begin
}

// Preferred returns the versions of a service's software at which streams that may be resumed begin, unless their replicas have no room: those
// that the key-value service lists, as far as is known. nil: there is no difference between the versions that have replicas. It is called for
// streams that begin, and sees to it that the other versions are listed.
func (e *Exchange) Preferred(service routing.ServiceID) map[string]bool {
	all := e.preferences.Load()
	if all == nil || (*all)[service] == nil {
		return nil
	}
	p := (*all)[service]
	if now := time.Now(); !p.due.After(now) {
		p.due.Set(now.Add(listDelay))
		e.listSoon(service)
	}
	return p.listed
}

// publishPreferences updates what Preferred returns. The mutex must be held.
func (e *Exchange) publishPreferences() {
	now, before, all := time.Now(), e.preferences.Load(), preferences{}
	for service, h := range e.histories {
		v := e.versions[service]
		if v == nil || v.AllPresent(h.lists) {
			continue
		}
		listed := v.Present(h.lists)
		if len(listed) == 0 {
			continue
		}
		p := &preference{listed: listed, due: &monotime.Instant{}}
		p.due.Set(now.Add(listDelay))
		if before != nil && (*before)[service] != nil {
			p.due = (*before)[service].due
		}
		all[service] = p
	}
	e.preferences.Store(&all)
}

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
	e.asked.urgent[service] = true
	e.mu.Unlock()
	e.wakeHistory()
}

// listSoon makes this daemon write the entry of a service unless one of a lower rank does so first.
func (e *Exchange) listSoon(service routing.ServiceID) {
	e.mu.Lock()
	e.asked.passedOver[service] = true
	e.mu.Unlock()
	e.wakeHistory()
}

func (e *Exchange) wakeHistory() {
	select {
	case e.historyWake <- struct{}{}:
	default:
	}
}
