package replicas

import (
	"context"
	"time"

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

// SettleWith sets how it is known whether the entry of a replica that doesn't say which process it is of is of the one that has been
// at its address since a time; zero: since the entry was written. It must be called before the first Apply.
func (s *Set) SettleWith(settled func(since time.Time) bool) { s.settled = settled }

// identified reports whether the replica's entry says which process it is of.
func (r *Replica) identified() bool { return r.Info().Started != 0 }

// KnowsSoftware reports whether a request can reach a process of the replica whose version is known.
func (r *Replica) KnowsSoftware() bool {
	if r.Info().SoftwareUnknown {
		return false
	}
	return r.confirm == nil || r.identified() || r.Pool.MayReachKnown()
}

// Confirmation returns how a connection is found to lead to the process of the replica's entry; nil: it is taken to. If required
// is set, a request must reach that process or none. If assume is set, a process is asked only if it may have been replaced.
func (r *Replica) Confirmation(required, assume bool) *upstream.Confirmation {
	if r.confirm == nil {
		return nil
	}
	c := &upstream.Confirmation{}
	if r.identified() {
		c = r.confirm(r)
	}
	c.Required, c.Assume = required, assume
	return c
}

// Verify reports whether a response, which has ended, came from the process of the replica's entry, unless that can't be told any more.
func (r *Replica) Verify(ctx context.Context, response *upstream.Response) bool {
	confirm := r.Confirmation(true, false)
	switch {
	case confirm == nil:
		return true
	case confirm.Report == nil:
		return response.Continuous(ctx)
	}
	return response.Verify(ctx, confirm)
}

// SoftwareOf returns the version of the software of the process that answered a request at the replica, if it is known.
func (r *Replica) SoftwareOf(ctx context.Context, response *upstream.Response) (version string, known bool) {
	info := r.Info()
	switch {
	case r.confirm == nil:
		return info.Software, true
	case info.SoftwareUnknown:
		return info.Software, false
	case !r.identified():
		return info.Software, response.Continuous(ctx)
	}
	return info.Software, response.KnownProcess()
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

// SawSignsSince returns the replicas that may have restarted under their ids, and don't say so, by what this daemon has seen since a
// time.
func (s *Set) SawSignsSince(since time.Time) []*Replica {
	var out []*Replica
	for _, r := range s.NotLeaving() {
		if !r.identified() && r.Pool.SawSignSince(since) {
			out = append(out, r)
		}
	}
	return out
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
