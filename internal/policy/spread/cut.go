package spread

import (
	"maps"
	"slices"
	"time"
)

// cutHold is how long a daemon that reaches its replicas again is still avoided. Callers drop their connections to daemons
// that an answer omits, so that a path that comes and goes must not change the answers each time.
const cutHold = 3 * time.Second

// Cuts tracks which daemons are or were lately cut off from replicas. The zero value is ready to use; it is not safe for
// concurrent use.
type Cuts struct{ last map[string]time.Time }

// Update records which daemons are cut off now, and returns those to be avoided, in order.
func (c *Cuts) Update(now time.Time, cut []string) []string {
	if len(cut) == 0 && len(c.last) == 0 {
		return nil
	}
	if c.last == nil {
		c.last = map[string]time.Time{}
	}
	for name, at := range c.last {
		if now.Sub(at) > cutHold {
			delete(c.last, name)
		}
	}
	for _, name := range cut {
		c.last[name] = now
	}
	return slices.Sorted(maps.Keys(c.last))
}
