package spread

import "time"

// callerWindow is how long a caller is counted at least. Callers ask again within seconds.
const callerWindow = time.Minute

// CallerCounter estimates from how many addresses callers ask. Callers behind one address can't be told
// apart: all get the same answer. The zero value is ready to use; it is not safe for concurrent use.
type CallerCounter struct {
	current, previous map[uint64]struct{} // keys seen in this window and in the one before
	began             time.Time           // of the current window
}

// Observe records a question of the caller with the given key. It returns the number of callers that asked
// lately, at most as many as answers depend on.
func (c *CallerCounter) Observe(now time.Time, key uint64) int {
	c.advance(now)
	if len(c.current) < enoughCallers {
		c.current[key] = struct{}{}
	}
	return c.Count(now)
}

// Count returns the number of callers that asked lately, at most as many as answers depend on.
func (c *CallerCounter) Count(now time.Time) int {
	c.advance(now)
	count := len(c.current)
	for key := range c.previous {
		if _, counted := c.current[key]; !counted {
			count++
		}
	}
	return min(count, enoughCallers)
}

// advance begins a new window if the current one has ended.
func (c *CallerCounter) advance(now time.Time) {
	elapsed := now.Sub(c.began)
	if c.current != nil && elapsed < callerWindow {
		return
	}
	c.previous = c.current
	if elapsed >= 2*callerWindow {
		c.previous = nil
	}
	c.current, c.began = map[uint64]struct{}{}, now
}
