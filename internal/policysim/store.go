package policysim

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/retention"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// transfer is work for a channel.
type transfer struct {
	bytes     int64
	cancelled bool
	done      func()
}

// channel is a link or a disk: it carries transfers in order.
type channel struct {
	clock   *clock
	rate    float64 // bytes a second
	queue   []*transfer
	busy    bool
	carried int64
}

func (c *channel) send(t *transfer) {
	c.queue = append(c.queue, t)
	if !c.busy {
		c.next()
	}
}

// cancel takes a transfer off; the reader has closed its connection.
func (c *channel) cancel(t *transfer) {
	t.cancelled = true
	if len(c.queue) > 0 && c.queue[0] == t {
		c.next()
	}
}

// next starts the first transfer that still counts.
func (c *channel) next() {
	c.busy = false
	for len(c.queue) > 0 && c.queue[0].cancelled {
		c.queue = c.queue[1:]
	}
	if len(c.queue) == 0 {
		return
	}
	t := c.queue[0]
	c.busy = true
	c.clock.after(time.Duration(float64(t.bytes)/c.rate*float64(time.Second)), func() {
		if t.cancelled {
			return
		}
		c.carried += t.bytes
		c.queue = c.queue[1:]
		c.next()
		t.done()
	})
}

// queued returns the bytes waiting.
func (c *channel) queued() int64 {
	var sum int64
	for _, t := range c.queue {
		if !t.cancelled {
			sum += t.bytes
		}
	}
	return sum
}

// storeVM is a store VM with its link and disk.
type storeVM struct {
	id         request.StoreID
	link       channel
	disk       channel
	room       retention.StoreUsage
	budget     *retention.Budget
	waiting    [2][]*background // prefetches, exports
	retrying   bool             // the budget will be asked again
	promotions []retention.Move // still to do
}

// background is a transfer in chunks that gives way to callers.
type background struct {
	class retention.Class
	ctx   *contextTrace // set for prefetches
	bytes int64
	alive func() bool // asked before each chunk
	done  func(carried int64)
	sent  int64
}
