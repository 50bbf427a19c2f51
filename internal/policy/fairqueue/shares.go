package fairqueue

import (
	"cmp"
	"slices"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// share is the state of one organisation.
type share struct {
	id     request.OrgID
	weight int
	count  int   // waiting items
	queued int64 // sum of the costs of the waiting items
	// start is the virtual start time of the next item while items wait; otherwise
	// the virtual finish time of the last item served.
	start float64
	turn  uint64 // sequence number of the last service or of becoming active; breaks ties
}

// Shares divides a contended resource between organisations by start-time fair queueing. It counts
// the items that wait, but does not hold them: the caller decides which item of an organisation goes
// first.
type Shares struct {
	orgs      map[request.OrgID]*share
	order     []*share // orgs in the order of their first item, for deterministic iteration
	virtual   float64
	maxFinish float64 // highest virtual finish time served
	count     int
	queued    int64
	seq       uint64
}

// NewShares returns Shares without items.
func NewShares() *Shares { return &Shares{orgs: make(map[request.OrgID]*share)} }

// Len returns the number of waiting items.
func (s *Shares) Len() int { return s.count }

// Cost returns the total cost of the waiting items.
func (s *Shares) Cost() int64 { return s.queued }

// Add counts an item that begins to wait.
func (s *Shares) Add(org request.OrgID, weight int, cost int64) {
	o := s.get(org)
	if o.count == 0 {
		o.start = max(o.start, s.virtual)
		s.seq++
		o.turn = s.seq
	}
	o.weight = max(weight, 1)
	o.count++
	o.queued += cost
	s.count++
	s.queued += cost
}

// Remove counts an item that leaves without being served. It costs its organisation nothing.
func (s *Shares) Remove(org request.OrgID, cost int64) {
	o := s.orgs[org]
	if o == nil || o.count == 0 {
		return
	}
	s.subtract(o, cost)
	s.endBusyPeriod()
}

// Serve counts an item that is served. Its organisation is charged the given amount for it.
func (s *Shares) Serve(org request.OrgID, cost, charge int64) {
	o := s.orgs[org]
	if o == nil || o.count == 0 {
		return
	}
	if o == s.next() { // an item served out of order must not advance virtual time past waiting organisations
		s.virtual = o.start
	}
	finish := o.start + float64(charge)/float64(o.weight)
	s.maxFinish = max(s.maxFinish, finish)
	s.subtract(o, cost)
	o.start = finish
	s.seq++
	o.turn = s.seq
	s.removeIdle()
	s.endBusyPeriod()
}

// Next returns the first n organisations in fair order.
func (s *Shares) Next(n int) []request.OrgID {
	first := s.first(n)
	ids := make([]request.OrgID, len(first))
	for i, o := range first {
		ids[i] = o.id
	}
	return ids
}

// insertionLimit is the number of organisations up to which insertion is faster than sorting all.
const insertionLimit = 8

// first returns the first n organisations with waiting items in fair order.
func (s *Shares) first(n int) []*share {
	if n > insertionLimit {
		all := s.inOrder()
		return all[:min(n, len(all))]
	}
	first := make([]*share, 0, n+1)
	for _, o := range s.order {
		if o.count == 0 {
			continue
		}
		i := len(first)
		for i > 0 && o.before(first[i-1]) {
			i--
		}
		if i < n {
			first = slices.Insert(first, i, o)
			first = first[:min(n, len(first))]
		}
	}
	return first
}

// inOrder returns the organisations with waiting items in fair order.
func (s *Shares) inOrder() []*share {
	var waiting []*share
	for _, o := range s.order {
		if o.count > 0 {
			waiting = append(waiting, o)
		}
	}
	slices.SortFunc(waiting, func(a, b *share) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.turn, b.turn))
	})
	return waiting
}

// Start returns the virtual start time of an organisation's next item.
func (s *Shares) Start(org request.OrgID) float64 {
	if o, ok := s.orgs[org]; ok && o.count > 0 {
		return o.start
	}
	return s.virtual
}

// Ahead estimates the cost that would be served before an item of the given organisation and weight
// that waits behind own cost of its organisation. It counts the items that start earlier in virtual
// time, so the estimate may be short by one item per other organisation.
func (s *Shares) Ahead(org request.OrgID, weight int, own int64) int64 {
	start := s.virtual
	if o, ok := s.orgs[org]; ok {
		start = max(start, o.start)
	}
	return own + s.othersAhead(org, start+float64(own)/float64(max(weight, 1)))
}

// othersAhead estimates the cost served to other organisations before virtual time
// reaches start. The estimate for each organisation is capped at its queued cost.
func (s *Shares) othersAhead(org request.OrgID, start float64) int64 {
	var ahead int64
	for _, o := range s.order {
		if o.id == org || o.count == 0 {
			continue
		}
		part := int64(max(start-o.start, 0) * float64(o.weight))
		ahead += min(o.queued, part)
	}
	return ahead
}

// get returns the state of an organisation, creating it if needed.
func (s *Shares) get(id request.OrgID) *share {
	if o, ok := s.orgs[id]; ok {
		return o
	}
	o := &share{id: id}
	s.orgs[id] = o
	s.order = append(s.order, o)
	return o
}

func (s *Shares) subtract(o *share, cost int64) {
	o.count--
	o.queued -= cost
	s.count--
	s.queued -= cost
}

// removeIdle removes idle organisations whose virtual time has been reached.
func (s *Shares) removeIdle() {
	remaining := s.order[:0]
	for _, o := range s.order {
		if o.count == 0 && o.start <= s.virtual {
			delete(s.orgs, o.id)
			continue
		}
		remaining = append(remaining, o)
	}
	clear(s.order[len(remaining):])
	s.order = remaining
}

// endBusyPeriod resets all organisations when nothing waits. An organisation is not
// charged later for service that it received while no other organisation was waiting.
func (s *Shares) endBusyPeriod() {
	if s.count > 0 {
		return
	}
	s.virtual = max(s.virtual, s.maxFinish)
	clear(s.orgs)
	s.order = s.order[:0]
}

// next returns the organisation to serve next: the one with the lowest virtual start
// time, and among equals the one that was served least recently.
func (s *Shares) next() *share {
	var best *share
	for _, o := range s.order {
		if o.count > 0 && (best == nil || o.before(best)) {
			best = o
		}
	}
	return best
}

// before reports whether o is served before other.
func (o *share) before(other *share) bool {
	return o.start < other.start || o.start == other.start && o.turn < other.turn
}
