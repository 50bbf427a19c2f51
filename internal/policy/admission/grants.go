package admission

import (
	"strconv"
	"time"
)

// grant is a place at the target, held by one request until released or expired.
type grant struct {
	ask     Request
	id      string
	alone   bool
	cost    int64
	over    bool // its organisation was over its share
	granted time.Time
	expires time.Time
	ended   time.Time // zero while live
}

func (g *grant) action() Grant {
	out := Grant{Request: g.ask, ID: g.id, Expires: g.expires, Exclusive: g.alone, Priority: PriorityWithinShare}
	if g.over {
		out.Priority = PriorityOverShare
	}
	return out
}

// liveAt reports whether the grant was held at t.
func (g *grant) liveAt(t time.Time) bool {
	if g.granted.After(t) {
		return false
	}
	return g.ended.IsZero() || g.ended.After(t)
}

func (s *Coordinator) grant(now time.Time, ask Request, alone bool) Action {
	s.seq++
	g := &grant{
		ask:     ask,
		id:      s.params.Instance + "." + strconv.FormatUint(s.seq, 10),
		alone:   alone,
		cost:    s.cost(ask),
		over:    s.usage.over(now, ask.Org, ask.Weight),
		granted: now,
		expires: now.Add(s.params.GrantTTL),
	}
	s.usage.add(now, ask.Org, ask.Weight, g.cost)
	s.grants[ask.ID] = g
	s.order = append(s.order, g)
	s.alone = s.alone || alone
	s.count.granted++
	return g.action()
}

// Release ends a grant. An id that is unknown, for example of an earlier steward,
// is ignored.
func (s *Coordinator) Release(now time.Time, grantID string, out Outcome) []Action {
	actions := s.advance(now)
	for _, g := range s.order {
		if g.id == grantID {
			s.meter.served(g.cost)
			s.usage.held(g.ask.Org, now.Sub(g.granted))
			s.end(now, g)
			break
		}
	}
	return append(actions, s.pump(now)...)
}

// expireGrants frees the places of daemons that died. Should the request still run
// at the target, the next load report shows it as work of others.
func (s *Coordinator) expireGrants(now time.Time) {
	for i := 0; i < len(s.order); {
		g := s.order[i]
		if g.expires.After(now) {
			i++
			continue
		}
		s.end(now, g)
		s.count.expired++
	}
	s.pruneEnded(now)
}

func (s *Coordinator) end(now time.Time, g *grant) {
	g.ended = now
	delete(s.grants, g.ask.ID)
	for i, other := range s.order {
		if other == g {
			s.order = append(s.order[:i], s.order[i+1:]...)
			break
		}
	}
	s.ended = append(s.ended, g)
	if g.alone {
		s.alone = false
		s.aloneEnd = now
	}
}

func (s *Coordinator) pruneEnded(now time.Time) {
	old := now.Add(-s.params.LoadTTL)
	i := 0
	for i < len(s.ended) && s.ended[i].ended.Before(old) {
		i++
	}
	s.ended = s.ended[i:]
}

// cost returns what a request takes of the target, in tokens: its prompt, or its place
// for as long as one of its organisation is held, whichever is the larger part of the
// target. Without the second, an organisation with short prompts and long answers
// could hold most places within its share.
func (s *Coordinator) cost(ask Request) int64 {
	hold := s.usage.hold(ask.Org).Seconds()
	place := hold * s.params.PrefillRate / float64(s.params.MaxRunning)
	return max(ask.Tokens, int64(place))
}

// fits reports whether one more request of the given size may go to the target. over
// says that its organisation is over its share.
func (s *Coordinator) fits(now time.Time, tokens int64, over bool) bool {
	places := s.params.MaxRunning
	if over {
		places -= s.params.Reserve
	}
	if s.running(now) >= places {
		return false
	}
	if s.params.MaxPrefillTokens <= 0 {
		return true
	}
	backlog := s.prefillBacklog(now)
	if !over {
		backlog = min(backlog, s.withinShareBacklog(now))
	}
	return backlog < 1 || backlog+float64(tokens) <= float64(s.params.MaxPrefillTokens)
}

// saturated reports whether the target is as busy as it may be, so that what is
// served now measures its rate.
func (s *Coordinator) saturated() bool {
	return len(s.waiting) > 0 || len(s.order) >= s.params.MaxRunning
}
