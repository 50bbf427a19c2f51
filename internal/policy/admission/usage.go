package admission

import (
	"math"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	usageWindow    = 30 * time.Second // time constant of the exponential decay of usage
	usageMinTokens = 1                // tokens below which an organisation counts as idle
	// overShareFactor is the multiple of the mean usage per weight above which an
	// organisation is over its share. It exceeds 1 because equal organisations differ
	// by chance.
	overShareFactor = 1.5
)

// holdGain is the weight of a new measurement of the time that a slot is held.
const holdGain = 0.2

// usage measures each organisation's recent use of the target.
type usage struct {
	orgs      map[request.OrgID]*orgUsage
	decayedAt time.Time
	tokens    float64       // of all organisations
	weights   int           // of all organisations
	meanHold  time.Duration // time that a slot is held, mean of all organisations
}

type orgUsage struct {
	tokens float64 // decaying sum of the costs of grants
	weight int
	hold   time.Duration // mean time that a slot is held; zero until a request has ended
}

// recordHold records how long a request held its slot.
func (u *usage) recordHold(org request.OrgID, d time.Duration) {
	u.meanHold = smooth(u.meanHold, d)
	if o, ok := u.orgs[org]; ok {
		o.hold = smooth(o.hold, d)
	}
}

// expectedHold returns how long a request of the organisation is expected to hold its slot.
func (u *usage) expectedHold(org request.OrgID) time.Duration {
	if o, ok := u.orgs[org]; ok && o.hold > 0 {
		return o.hold
	}
	return u.meanHold
}

func smooth(mean, d time.Duration) time.Duration {
	if mean == 0 {
		return d
	}
	return mean + time.Duration(holdGain*float64(d-mean))
}

func newUsage() usage { return usage{orgs: make(map[request.OrgID]*orgUsage)} }

func (u *usage) add(now time.Time, org request.OrgID, weight int, cost int64) {
	u.decay(now)
	o, ok := u.orgs[org]
	if !ok {
		o = &orgUsage{}
		u.orgs[org] = o
	}
	u.weights += weight - o.weight
	u.tokens += float64(cost)
	o.weight = weight
	o.tokens += float64(cost)
}

func (u *usage) decay(now time.Time) {
	elapsed := now.Sub(u.decayedAt)
	u.decayedAt = now
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / usageWindow.Seconds())
	u.tokens = 0
	for id, o := range u.orgs {
		if o.tokens *= factor; o.tokens < usageMinTokens {
			u.weights -= o.weight
			delete(u.orgs, id)
			continue
		}
		u.tokens += o.tokens
	}
}

// isOverShare reports whether an organisation uses more than its share. An organisation
// that is the only active one counts as over its share, so that the reserve stays free
// for organisations that become active again.
func (u *usage) isOverShare(now time.Time, org request.OrgID, weight int) bool {
	u.decay(now)
	o, ok := u.orgs[org]
	if !ok {
		return false
	}
	if len(u.orgs) == 1 {
		return true
	}
	mean := u.tokens / float64(u.weights)
	return o.tokens/float64(weight) > overShareFactor*mean
}
