// Package spread chooses which daemons callers connect to, so that each VM gets as many callers as it can
// carry.
//
// Callers connect to a random address of an answer and drop connections to addresses that a new answer
// lacks. Therefore a VM's weight is the share of callers whose answers contain it, and a caller's answer
// depends on the caller's key and the daemons only: it does not change while the daemons do not. The daemons
// of an answer are those with the lowest scores. A score depends on the caller, one VM and the mean weight of the
// VM's group, so that a VM that joins or leaves replaces few addresses, mostly one.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness.
package spread

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// MaxAddresses bounds an answer.
	MaxAddresses = 64
	// minAddresses is the length of the shortest answer if there are as many daemons: a few of them may be
	// dead or overloaded.
	minAddresses = 6
	// minLocal is the number of daemons in the caller's failure domain or region from which an answer omits
	// the other daemons. A single daemon may be unreachable or overloaded.
	minLocal = 2
	// maxWeight bounds a VM's weight, relative to the median, and 1/maxWeight is the least. It bounds the
	// effect of a wrong capacity.
	maxWeight = 8
	// maxGroupFactor bounds the factor between a VM's weight and what it would be in a fleet of one group.
	maxGroupFactor = 2
	// answersPerVM is the number of callers whose answers should contain the median VM. With fewer, chance
	// decides how many connections a VM gets.
	answersPerVM = 4
	// enoughCallers is the number of callers from which the length of an answer does not depend on it.
	enoughCallers = answersPerVM * maxWeight * maxGroupFactor
	// roundingError covers the sum of a few thousand weights.
	roundingError = 1e-9
)

// VM is a daemon's VM.
type VM struct {
	Name          string
	Address       string // for callers
	FailureDomain string
	Cores         float64 // computing power; not positive: unknown
	Mbps          float64 // bandwidth of the link; not positive: unknown
	Serves        bool    // whether it accepts callers now
	Group         int     // daemons of one group share replicas; groups have equal numbers of them
	Silent        bool    // whether it is presumably dead, stalled or cut off
	Cut           bool    // whether it reaches no replica, and serves its callers through other daemons
}

// avoided reports whether callers are not told of a VM while enough others are near.
func (vm *VM) avoided() bool { return vm.Silent || vm.Cut }

// Caller is a caller that asks for addresses.
type Caller struct {
	Key           uint64 // the same for all its questions
	FailureDomain string
	Region        routing.Region
	Homes         []routing.Region // home regions of the host's routes; empty if no route has any
}

// Fleet is the live daemons. It is immutable.
type Fleet struct {
	members []member // in the order of the VMs
	domains map[string][]member
	avoided bool            // whether some are to be avoided
	reduced map[string]bool // failure domains that carry much less than lately
}

// member is a daemon that may be in an answer.
type member struct {
	index  int // in the list of VMs
	vm     VM
	hash   uint64 // of its name
	weight float64
}

// NewFleet returns the fleet of the given daemons. Daemons that do not serve are omitted, unless none does.
func NewFleet(vms []VM) *Fleet {
	f := &Fleet{domains: map[string][]member{}}
	noneServes := !slices.ContainsFunc(vms, func(vm VM) bool { return vm.Serves })
	weights := weigh(vms)
	for i, vm := range vms {
		if !vm.Serves && !noneServes {
			continue
		}
		m := member{index: i, vm: vm, hash: xxhash.Sum64String(vm.Name), weight: weights[i]}
		f.members = append(f.members, m)
		f.domains[vm.FailureDomain] = append(f.domains[vm.FailureDomain], m)
		f.avoided = f.avoided || vm.avoided()
	}
	return f
}

// weigh returns the weights of VMs: what each can carry, adjusted to its group.
func weigh(vms []VM) []float64 {
	weights := capacities(vms)
	total, totals, sizes := 0.0, map[int]float64{}, map[int]float64{}
	for i, vm := range vms {
		total += weights[i]
		totals[vm.Group] += weights[i]
		sizes[vm.Group]++
	}
	for i, vm := range vms {
		factor := total / float64(len(vms)) / (totals[vm.Group] / sizes[vm.Group])
		weights[i] *= min(maxGroupFactor, max(1.0/maxGroupFactor, factor))
	}
	return weights
}

// capacities returns what each VM can carry: the smaller of processor and link, relative to the median VM.
func capacities(vms []VM) []float64 {
	cores, mbps := make([]float64, len(vms)), make([]float64, len(vms))
	for i, vm := range vms {
		cores[i], mbps[i] = vm.Cores, vm.Mbps
	}
	cores, mbps = relativeToMedian(cores), relativeToMedian(mbps)
	weights := make([]float64, len(vms))
	for i := range weights {
		weights[i] = min(maxWeight, max(1.0/maxWeight, min(cores[i], mbps[i])))
	}
	return weights
}

// relativeToMedian divides values by the median of those that are possible, and replaces the others by 1.
func relativeToMedian(values []float64) []float64 {
	var known []float64
	for _, v := range values {
		if isPossible(v) {
			known = append(known, v)
		}
	}
	slices.Sort(known)
	relative := make([]float64, len(values))
	for i, v := range values {
		relative[i] = 1
		if isPossible(v) {
			relative[i] = v / known[len(known)/2]
		}
	}
	return relative
}

func isPossible(v float64) bool { return v > 0 && !math.IsInf(v, 1) }

// Near returns the addresses of all daemons that are near enough to a caller, in the order of the VMs. It
// prefers daemons of the caller's failure domain, then those of its region, because traffic between failure
// domains is expensive. If the host has home regions, a daemon that is neither in one of them nor in the
// caller's region is returned only if there is no other: a request's body must not leave these regions.
//
// regionOf returns the region of a failure domain, or an empty one if it is not known.
func (f *Fleet) Near(c Caller, regionOf func(domain string) routing.Region) []string {
	return addresses(f.near(c, regionOf))
}

// Answer returns the addresses for a caller, at most MaxAddresses. callers is the number of callers with
// different keys: with few of them, answers are longer.
func (f *Fleet) Answer(c Caller, callers int, regionOf func(domain string) routing.Region) []string {
	candidates := f.withoutAvoided(f.near(c, regionOf))
	count := answerLength(candidates, callers)
	chosen := candidates
	if count < len(candidates) {
		chosen = lowest(candidates, c.Key, count)
	}
	return addresses(f.filledUp(chosen, c, regionOf))
}

// lowest returns the members with the lowest scores for a caller, in the order of the VMs.
func lowest(members []member, key uint64, count int) []member {
	scores := make([]float64, len(members))
	for i := range members {
		scores[i] = score(&members[i], key)
	}
	sorted := slices.Clone(scores)
	slices.Sort(sorted)
	chosen := make([]member, 0, count)
	for i, s := range scores {
		if s <= sorted[count-1] && len(chosen) < count {
			chosen = append(chosen, members[i])
		}
	}
	return chosen
}

// near returns the daemons that are near enough to a caller.
func (f *Fleet) near(c Caller, regionOf func(domain string) routing.Region) []member {
	if local := f.domains[c.FailureDomain]; len(local) >= minLocal {
		return local
	}
	var region, home []member
	for domain, members := range f.domains {
		at := regionOf(domain)
		switch {
		case at != "" && at == c.Region:
			region = append(region, members...)
		case slices.Contains(c.Homes, at):
			home = append(home, members...)
		}
	}
	switch {
	case len(region) >= minLocal:
		return inOrder(region)
	case len(c.Homes) > 0 && len(region)+len(home) > 0:
		return append(inOrder(region), inOrder(home)...)
	}
	return f.members
}

// withoutAvoided omits daemons that are to be avoided, unless too few others are left. They may serve all the same, so that
// callers are not told of daemons farther away because of them.
func (f *Fleet) withoutAvoided(members []member) []member {
	if !f.avoided {
		return members
	}
	kept := slices.DeleteFunc(slices.Clone(members), func(m member) bool { return m.vm.avoided() })
	if len(kept) < min(len(members), minLocal) {
		return members
	}
	return kept
}

// inOrder sorts members into the order of the VMs.
func inOrder(members []member) []member {
	slices.SortFunc(members, func(a, b member) int { return cmp.Compare(a.index, b.index) })
	return members
}

func addresses(members []member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.vm.Address
	}
	return out
}

// score returns a VM's score for a caller: uniform between 0 and the inverse of its weight. The VMs with
// the lowest scores are chosen, so that the probability of a VM grows in proportion to its weight, until it
// is 1.
func score(m *member, key uint64) float64 {
	const mantissa = 53 // bits of a float64's integers
	uniform := float64(mix(m.hash^mix(key))>>(64-mantissa)+1) / (1 << mantissa)
	return uniform / m.weight
}

// mix is the finalizer of SplitMix64. Each bit of the result depends on all bits of h.
func mix(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// answerLength returns the number of addresses in answers about the given daemons.
func answerLength(candidates []member, callers int) int {
	bound := min(len(candidates), MaxAddresses)
	if bound <= minAddresses {
		return bound
	}
	total, largest := 0.0, 0.0
	for _, m := range candidates {
		total += m.weight
		largest = max(largest, m.weight)
	}
	// With more addresses, the largest VMs would be in all answers and still get less than their share.
	count := max(minAddresses, int(total/largest+roundingError))
	if float64(callers) < answersPerVM*largest {
		count = max(count, fairestLength(candidates, total))
	}
	return min(count, bound)
}

// fairestLength returns how many of the largest VMs a single answer for all callers should contain, so that
// the most loaded one is loaded least.
func fairestLength(candidates []member, total float64) int {
	weights := make([]float64, len(candidates))
	for i, m := range candidates {
		weights[i] = m.weight
	}
	slices.SortFunc(weights, func(a, b float64) int { return cmp.Compare(b, a) })
	best, bestLoad := 0, math.Inf(1)
	for i, smallest := range weights[:min(len(weights), MaxAddresses)] {
		if load := total / (float64(i+1) * smallest); load <= bestLoad {
			best, bestLoad = i+1, load
		}
	}
	return best
}

// Shares returns the expected share of each daemon among the callers of its failure domain, by name.
func (f *Fleet) Shares(callers int) map[string]float64 {
	out := make(map[string]float64, len(f.members))
	for domain := range f.domains {
		maps.Copy(out, f.SharesIn(domain, callers))
	}
	return out
}

// SharesIn is Shares for one failure domain. It leaves out daemons of other failure domains.
func (f *Fleet) SharesIn(domain string, callers int) map[string]float64 {
	members := slices.Clone(f.withoutAvoided(f.domains[domain]))
	slices.SortFunc(members, func(a, b member) int { return cmp.Compare(b.weight, a.weight) })
	length := float64(answerLength(members, callers))
	total := 0.0
	for _, m := range members {
		total += m.weight
	}
	out := make(map[string]float64, len(members))
	left := length
	for _, m := range members {
		probability := min(1, left*m.weight/total)
		out[m.vm.Name] = probability / length
		left -= probability
		total -= m.weight
	}
	return out
}
