package policysim

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/retention"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// transfer is a number of bytes to send over a channel.
type transfer struct {
	bytes     int64
	cancelled bool
	done      func()
}

// channel is a link or a disk. It serves transfers in order.
type channel struct {
	clock       *clock
	rate        float64 // bytes per second
	queue       []*transfer
	busy        bool
	transferred int64
}

func (c *channel) send(t *transfer) {
	c.queue = append(c.queue, t)
	if !c.busy {
		c.startNext()
	}
}

// cancel cancels a transfer whose reader has closed its connection.
func (c *channel) cancel(t *transfer) {
	t.cancelled = true
	if len(c.queue) > 0 && c.queue[0] == t {
		c.startNext()
	}
}

// startNext starts the first transfer that is not cancelled.
func (c *channel) startNext() {
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
		c.transferred += t.bytes
		c.queue = c.queue[1:]
		c.startNext()
		t.done()
	})
}

// queuedBytes returns the bytes of the transfers in the queue.
func (c *channel) queuedBytes() int64 {
	var sum int64
	for _, t := range c.queue {
		if !t.cancelled {
			sum += t.bytes
		}
	}
	return sum
}

// storeVM simulates a store VM with its link and disk.
type storeVM struct {
	id             request.StoreID
	link           channel
	disk           channel
	usage          retention.StoreUsage
	budget         *retention.Budget
	waiting        [2][]*background // prefetches, exports
	retryScheduled bool             // a retry of a refused chunk is scheduled
	promotions     []retention.Move // pending
}

// background is a transfer in chunks, with lower priority than the transfers of callers.
type background struct {
	class retention.Class
	ctx   *contextTrace // set for prefetches
	bytes int64
	valid func() bool // checked before each chunk; false ends the transfer
	done  func(transferred int64)
	sent  int64
}
