package replicas

import "github.com/bluebellscale/bluebellscale/internal/routing"

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
