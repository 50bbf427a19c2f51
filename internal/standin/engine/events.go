package engine

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
)

const (
	// keptEvents is how many cache events an engine remembers.
	keptEvents = 8192
	// pageEvents is the most events in one page.
	pageEvents = 512
)

type loggedEvent struct {
	event   engineapi.CacheEvent
	visible time.Time
}

// eventLog publishes cache events late. An event that is skipped leaves a hole in
// the sequence.
type eventLog struct {
	lag    time.Duration
	seq    uint64
	events []loggedEvent
}

func (l *eventLog) add(now time.Time, kind engineapi.EventKind, blocks []block.Hash, skip bool) {
	l.seq++
	if skip {
		return
	}
	e := engineapi.CacheEvent{Seq: l.seq, Kind: kind, Blocks: blocks}
	l.events = append(l.events, loggedEvent{event: e, visible: now.Add(l.lag)})
	if len(l.events) > keptEvents {
		l.events = append([]loggedEvent(nil), l.events[len(l.events)-keptEvents/2:]...)
	}
}

// after returns the visible events beyond a sequence. Next is the last event of the
// page, so that a skipped one shows as a hole before the following event.
func (l *eventLog) after(now time.Time, after uint64) ([]engineapi.CacheEvent, uint64) {
	page := []engineapi.CacheEvent{}
	next := min(after, l.seq)
	for _, logged := range l.events {
		if logged.visible.After(now) || len(page) == pageEvents {
			break
		}
		if logged.event.Seq <= after {
			continue
		}
		page = append(page, logged.event)
		next = logged.event.Seq
	}
	return page, next
}
