package placer

import (
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/pick"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// HasRoom implements relay.Placer. It also returns true if no replica will ever take the request, so that Place
// refuses it at once.
func (pp *PromptPlacer) HasRoom(j *relay.Job, tried []request.TargetID) bool {
	now := time.Now()
	pool := pp.pool(j, pp.Assigned(j.Service.ID))
	check := pp.newRoomCheck(now, j, tried)
	room, found := check.any(pool, ready)
	if found == 0 {
		room, found = check.any(pool, avoided)
	}
	if room {
		return true
	}
	if found > 0 && check.usable > 0 {
		return pp.CanBorrow(j, tried)
	}
	_, comesBack := pp.comesBack(now, j, tried)
	return !comesBack
}

// roomCheck looks for a replica at which a request would start in time.
type roomCheck struct {
	pp      *PromptPlacer
	now     time.Time
	j       *relay.Job
	tried   []request.TargetID
	need    pick.Request
	maxWait time.Duration
	usable  int // replicas on usable weights that were found so far
}

func (pp *PromptPlacer) newRoomCheck(now time.Time, j *relay.Job, tried []request.TargetID) roomCheck {
	return roomCheck{pp: pp, now: now, j: j, tried: tried, need: pp.pickRequest(j), maxWait: pp.waitLimit(j)}
}

// inTime reports whether a request would wait no longer than it may at a replica.
func (c *roomCheck) inTime(r *replicas.Replica) bool {
	candidate := c.pp.candidate(c.now, c.j, r)
	return startsInTime(c.need, &candidate, c.maxWait)
}

// anyInTime reports whether a request would wait no longer than it may at one of some replicas.
func (pp *PromptPlacer) anyInTime(j *relay.Job, at []*replicas.Replica) bool {
	check := pp.newRoomCheck(time.Now(), j, nil)
	return slices.ContainsFunc(at, check.inTime)
}

// any reports whether a replica of the pool with the given availability has room, and how many of them were
// found until then.
func (c *roomCheck) any(pool []*replicas.Replica, a availability) (room bool, found int) {
	for _, r := range pool {
		if c.pp.availability(c.now, c.j, r, c.tried) != a {
			continue
		}
		found++
		if !c.pp.hasUsableWeights(r, c.j.Model) {
			continue
		}
		c.usable++
		if c.inTime(r) {
			return true, found
		}
	}
	return false, found
}

// noneNow returns the error of a request that no replica takes now.
func (pp *PromptPlacer) noneNow(j *relay.Job, tried []request.TargetID) error {
	wait, comesBack := pp.comesBack(time.Now(), j, tried)
	if !comesBack {
		return noReplica()
	}
	return &relay.NoRoomError{Service: j.Service.ID, Wait: wait}
}

// comesBack returns after what time the first replica may take a request that none takes now, and false if
// no replica will. Backoffs, quotas and the loading of weights end within seconds.
func (pp *PromptPlacer) comesBack(now time.Time, j *relay.Job, tried []request.TargetID) (soonest time.Duration, comesBack bool) {
	for _, r := range pp.pool(j, pp.Assigned(j.Service.ID)) {
		if pp.availability(now, j, r, tried) == never || !pp.hasUsableWeights(r, j.Model) {
			continue
		}
		left := pp.untilAvailable(now, r)
		if !comesBack || left < soonest {
			soonest, comesBack = left, true
		}
	}
	return soonest, comesBack
}
