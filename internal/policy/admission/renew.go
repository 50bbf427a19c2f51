package admission

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Renew extends a grant. It returns false if the request holds no grant, for example
// because the grant expired or was issued by an earlier coordinator.
func (c *Coordinator) Renew(now time.Time, id request.ID) bool {
	g, ok := c.grants[id]
	if !ok {
		return false
	}
	g.expires = now.Add(c.params.GrantTTL)
	return true
}
