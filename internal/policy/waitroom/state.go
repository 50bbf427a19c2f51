package waitroom

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// Backlog is what waits for one service with one priority.
type Backlog struct {
	Priority int   `json:"priority"`
	Requests int   `json:"requests"`
	Tokens   int64 `json:"tokens"`
}

// Backlog returns what waits for a service, the most urgent first.
func (r *Room) Backlog(service routing.ServiceID) []Backlog {
	l := r.services[service]
	if l == nil || l.requests == 0 {
		return nil
	}
	var backlog []Backlog
	for p, lv := range l.levels {
		if lv != nil && lv.shares.Len() > 0 {
			backlog = append(backlog, Backlog{Priority: p, Requests: lv.shares.Len(), Tokens: lv.shares.Cost()})
		}
	}
	return backlog
}

// Behind describes the requests before which a request can't start.
type Behind struct {
	First      request.ID // the first of its service in order
	MoreUrgent int        // requests of more urgent priorities
	Same       int        // requests of its priority
	Orgs       int        // organisations of these
}

// Behind returns what already waits for a service at least as urgently as the given priority.
func (r *Room) Behind(now time.Time, service routing.ServiceID, priority int) Behind {
	var b Behind
	l := r.services[service]
	if l == nil || l.requests == 0 {
		return b
	}
	priority = clampPriority(priority)
	for p := range priority + 1 {
		lv := l.levels[p]
		if lv == nil || lv.shares.Len() == 0 {
			continue
		}
		if p < priority {
			b.MoreUrgent += lv.shares.Len()
		} else {
			b.Same, b.Orgs = lv.shares.Len(), len(lv.orgs)
		}
	}
	if first := r.Candidates(now, service, 1); len(first) > 0 {
		b.First = first[0].ID
	}
	return b
}

// Waiting is what waits of one organisation for one service with one priority.
type Waiting struct {
	Service  routing.ServiceID `json:"service"`
	Priority int               `json:"priority"`
	Org      request.OrgID     `json:"organisation"`
	Requests int               `json:"requests"`
	Bytes    int64             `json:"bytes"`
	Late     int               `json:"late"` // requests that can't keep their objective any more
}

// Services returns the services for which requests wait, in order of their ids.
func (r *Room) Services() []routing.ServiceID {
	var ids []routing.ServiceID
	for id, l := range r.services {
		if l.requests > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Rate returns the rate at which waiting work of a service starts, in tokens a second; zero: unknown.
func (r *Room) Rate(service routing.ServiceID) float64 {
	l := r.services[service]
	if l == nil {
		return 0
	}
	rate, known := l.rate.rate()
	if !known {
		return 0
	}
	return rate
}

// Waiting returns what waits, by service, priority and organisation.
func (r *Room) Waiting(now time.Time) []Waiting {
	var all []Waiting
	for _, id := range r.Services() {
		for p, lv := range r.services[id].levels {
			if lv == nil {
				continue
			}
			first := len(all)
			for _, o := range lv.orgs {
				o.moveLate(now)
				all = append(all, Waiting{Service: id, Priority: p, Org: o.id, Requests: o.requests, Bytes: o.bytes, Late: o.late.Len()})
			}
			slices.SortFunc(all[first:], func(a, b Waiting) int { return cmp.Compare(a.Org, b.Org) })
		}
	}
	return all
}
