package admission

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Renew extends a grant. It returns false if the request holds none, for example
// because it lapsed or an earlier steward gave it.
func (s *Coordinator) Renew(now time.Time, id request.ID) bool {
	g, ok := s.grants[id]
	if !ok {
		return false
	}
	g.expires = now.Add(s.params.GrantTTL)
	return true
}
