package spread

import (
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/subset"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// reducedBelow is the share of what a failure domain could carry lately below which it counts as reduced. Its
// callers have not become fewer, and the daemons that are left may be its smallest ones.
const reducedBelow = 0.5

// Losses makes fleets and remembers what their failure domains could carry lately. The zero value is ready to use;
// it is not safe for concurrent use.
type Losses struct {
	peaks   map[string]*peakLoad // by failure domain
	expires time.Time            // zero if no failure domain is reduced
}

// Fleet is NewFleet for the daemons that are live now. While a failure domain carries less than half of what it
// did lately, answers to its callers are filled up with daemons of their region.
func (l *Losses) Fleet(now time.Time, vms []VM) *Fleet {
	f := NewFleet(vms)
	f.reduced = map[string]bool{}
	present := f.carried()
	if l.peaks == nil {
		l.peaks = map[string]*peakLoad{}
	}
	for domain := range present {
		if l.peaks[domain] == nil {
			l.peaks[domain] = &peakLoad{}
		}
	}
	l.expires = time.Time{}
	for domain, peak := range l.peaks {
		cores, mbps := peak.cores.Update(now, present[domain].cores), peak.mbps.Update(now, present[domain].mbps)
		if cores == 0 && mbps == 0 {
			delete(l.peaks, domain)
		}
		if present[domain].cores < reducedBelow*cores || present[domain].mbps < reducedBelow*mbps {
			f.reduced[domain] = true
			l.expireBy(&peak.cores)
			l.expireBy(&peak.mbps)
		}
	}
	return f
}

// carriable is what VMs can carry together. A VM counts as 1 where its capacity is unknown.
type carriable struct{ cores, mbps float64 }

// peakLoad is the most that a failure domain could carry lately. It is kept in absolute units, since capacities
// relative to the median VM change with the fleet.
type peakLoad struct{ cores, mbps subset.Peak[float64] }

// expireBy lets the fleet expire when a peak falls.
func (l *Losses) expireBy(peak *subset.Peak[float64]) {
	if at, falls := peak.Expires(); falls && (l.expires.IsZero() || at.Before(l.expires)) {
		l.expires = at
	}
}

// Expires returns when Fleet has to be called again although the daemons have not changed, and false if it need
// not be.
func (l *Losses) Expires() (time.Time, bool) { return l.expires, !l.expires.IsZero() }

// carried returns what the members of each failure domain that are not to be avoided can carry.
func (f *Fleet) carried() map[string]carriable {
	out := map[string]carriable{}
	for _, m := range f.members {
		if m.vm.avoided() {
			continue
		}
		sum := out[m.vm.FailureDomain]
		sum.cores += knownOr(m.vm.Cores, 1)
		sum.mbps += knownOr(m.vm.Mbps, 1)
		out[m.vm.FailureDomain] = sum
	}
	return out
}

func knownOr(v, fallback float64) float64 {
	if isPossible(v) {
		return v
	}
	return fallback
}

// Reduced returns the failure domains whose callers are also told of other daemons of their region, sorted.
func (f *Fleet) Reduced() []string {
	var out []string
	for domain := range f.reduced {
		out = append(out, domain)
	}
	slices.Sort(out)
	return out
}

// filledUp appends to the members of an answer those with the lowest scores of the rest of the caller's region,
// up to minAddresses, if the caller's failure domain is reduced.
func (f *Fleet) filledUp(chosen []member, c Caller, regionOf func(domain string) routing.Region) []member {
	if !f.reduced[c.FailureDomain] || len(chosen) >= minAddresses {
		return chosen
	}
	var rest []member
	for domain, members := range f.domains {
		if at := regionOf(domain); at != "" && at == c.Region && domain != c.FailureDomain {
			rest = append(rest, members...)
		}
	}
	rest = slices.DeleteFunc(f.withoutAvoided(inOrder(rest)), func(m member) bool { return contains(chosen, m) })
	count := min(len(rest), minAddresses-len(chosen))
	if count == 0 {
		return chosen
	}
	return inOrder(slices.Concat(chosen, lowest(rest, c.Key, count)))
}

func contains(members []member, m member) bool {
	return slices.ContainsFunc(members, func(other member) bool { return other.index == m.index })
}
