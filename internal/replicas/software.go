package replicas

import (
	"context"

	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/upstream"
)

// ConfirmFunc returns how a connection is found to lead to the process of a replica's entry.
type ConfirmFunc func(*Replica) *upstream.Confirmation

// ConfirmWith sets how the processes of replicas are confirmed, and isWatched, which reports whether the registry would show a restart
// soon. Without it replicas are taken never to restart under their ids. It must be called before the first Apply.
func (s *Set) ConfirmWith(confirm ConfirmFunc, isWatched func() bool) {
	s.confirm, s.isWatched = confirm, isWatched
}

// identified reports whether the replica may restart under its id: its entry says which process it is of. Others have a new id after
// each start.
func (r *Replica) identified() bool { return r.confirm != nil && r.Info().Started != 0 }

// Confirmation returns how a connection is found to lead to the process of the replica's entry; nil: it is taken to. If required
// is set, a request must reach that process or none. If assume is set, a process is asked only if it may have been replaced.
func (r *Replica) Confirmation(required, assume bool) *upstream.Confirmation {
	if !r.identified() {
		return nil
	}
	c := r.confirm(r)
	c.Required, c.Assume = required, assume
	return c
}

// Verify reports whether a response, which has ended, came from the process of the replica's entry, unless that can't be told any more.
func (r *Replica) Verify(ctx context.Context, response *upstream.Response) bool {
	confirm := r.Confirmation(true, false)
	return confirm == nil || response.Verify(ctx, confirm)
}

// SoftwareOf returns the version of the software of the process that answered a request at the replica, if it is known.
func (r *Replica) SoftwareOf(response *upstream.Response) (version string, known bool) {
	info := r.Info()
	return info.Software, !r.identified() || response.KnownProcess() && !info.SoftwareUnknown
}

// completes reports whether an entry says the version of a process that was known without it.
func (r *Replica) completes(info Info) bool {
	known := r.Info()
	return known.SoftwareUnknown && info.Started == known.Started
}

// withoutStart returns an entry that does not say its process, as one of a process that is known. It tells nothing of the version.
func (r *Replica) withoutStart(info Info) Info {
	known := r.Info()
	info.Started = known.Started
	info.SoftwareUnknown = known.SoftwareUnknown || info.Software != known.Software
	return info
}

// softwareOf is a version of the software of a service's replicas.
type softwareOf struct {
	service routing.ServiceID
	version string
}

// OnSoftware registers a function that is called when the first replica of a version of a service's software is registered, and
// when the last one is no longer. Replicas that are leaving count. It must be called before the first Apply, and must not
// block or use the set.
func (s *Set) OnSoftware(f func(service routing.ServiceID, version string, present bool)) {
	s.listeners.software = f
}

// countSoftware adds to the number of replicas that run the version of an entry.
func (s *Set) countSoftware(info *Info, n int) {
	key := softwareOf{service: info.Service, version: info.Software}
	before := s.software[key]
	s.software[key] = before + n
	switch {
	case before == 0:
		s.listeners.software(key.service, key.version, true)
	case before+n == 0:
		delete(s.software, key)
		s.listeners.software(key.service, key.version, false)
	}
}
