package engine

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
)

const (
	// maxEvents is the maximum number of cache events that an engine retains.
	maxEvents = 8192
	// maxPageEvents is the maximum number of events in one page.
	maxPageEvents = 512
)

type loggedEvent struct {
	event     engineapi.CacheEvent
	visibleAt time.Time
}

// eventLog publishes cache events after a delay. A skipped event leaves a gap in the
// sequence.
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
	l.events = append(l.events, loggedEvent{event: e, visibleAt: now.Add(l.lag)})
	if len(l.events) > maxEvents {
		l.events = append([]loggedEvent(nil), l.events[len(l.events)-maxEvents/2:]...)
	}
}

// pageAfter returns the visible events after a sequence number, and the sequence number
// of the last event of the page. A skipped event therefore appears as a gap before the
// next event.
func (l *eventLog) pageAfter(now time.Time, after uint64) ([]engineapi.CacheEvent, uint64) {
	page := []engineapi.CacheEvent{}
	next := min(after, l.seq)
	for _, logged := range l.events {
		if logged.visibleAt.After(now) || len(page) == maxPageEvents {
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
