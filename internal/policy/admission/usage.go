package admission

import (
	"math"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	usageWindow = 30 * time.Second // over which usage decays
	usageLeast  = 1                // tokens below which an organisation is idle
	// overShare is how far above the mean of all, by weight, an organisation is over
	// its share. Above 1, since equal ones differ by chance.
	overShare = 1.5
)

// holdGain is the weight of a new measurement of how long a place is held.
const holdGain = 0.2

// usage measures what each organisation took of the target lately.
type usage struct {
	orgs    map[request.OrgID]*orgUsage
	at      time.Time
	tokens  float64       // over all
	weights int           // over all
	mean    time.Duration // for which a place is held, over all
}

type orgUsage struct {
	tokens float64 // cost of what was granted, decaying
	weight int
	hold   time.Duration // zero: none has ended
}

// held is told how long a request had its place.
func (u *usage) held(org request.OrgID, d time.Duration) {
	u.mean = smooth(u.mean, d)
	if o, ok := u.orgs[org]; ok {
		o.hold = smooth(o.hold, d)
	}
}

// hold returns how long a request of the organisation is expected to have its place.
func (u *usage) hold(org request.OrgID) time.Duration {
	if o, ok := u.orgs[org]; ok && o.hold > 0 {
		return o.hold
	}
	return u.mean
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
	elapsed := now.Sub(u.at)
	u.at = now
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / usageWindow.Seconds())
	u.tokens = 0
	for id, o := range u.orgs {
		if o.tokens *= factor; o.tokens < usageLeast {
			u.weights -= o.weight
			delete(u.orgs, id)
			continue
		}
		u.tokens += o.tokens
	}
}

// over reports whether an organisation uses more than its share. One that is alone is
// over it too: what is kept back then is for whoever comes back.
func (u *usage) over(now time.Time, org request.OrgID, weight int) bool {
	u.decay(now)
	o, ok := u.orgs[org]
	if !ok {
		return false
	}
	if len(u.orgs) == 1 {
		return true
	}
	mean := u.tokens / float64(u.weights)
	return o.tokens/float64(weight) > overShare*mean
}
