// Package borrow decides whether a daemon whose group of replicas has no room for a prompt may send it to a
// replica of another group, to which group, and how often.
//
// Groups tell a few others in digests how much room they have. A digest is old by the time it is used, and
// others use it too. Therefore each daemon takes only a share of the room in it.
//
// Invariant: all daemons together take at most MaxOvercommit times the slots in a digest of a group, and at most the
// same multiple of the tokens that the group computes in the meantime, besides maxSavedWindows, whatever the
// borrowers know of each other. It holds while daemons agree on the members of their group, and survives lost and
// late digests, frozen borrowers and all groups filling at once.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness.
package borrow

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// Fanout is the most groups that hear of one group's room, and of whose room one group hears.
	Fanout = 5
	// MaxLenders is the most groups at whose replicas a daemon has borrowed work at a time. All daemons of each hear of it.
	MaxLenders = 2
	// lendShare is the share of a group's room that one borrowing group may take if it is the only one.
	lendShare = 0.4
	// MaxOvercommit bounds the sum of all shares of one digest as a multiple of its room.
	MaxOvercommit = lendShare * Fanout
	// MaxAge is the age from which a digest is not used.
	MaxAge = 2 * time.Second
	// fullValueAge is the age up to which the room in a digest counts fully.
	fullValueAge = 500 * time.Millisecond
	// TokenWindow is the time within which a group could compute the tokens in its digest.
	TokenWindow = 100 * time.Millisecond
	// goodShare is the part of the largest room that a lender must have to be considered.
	goodShare = 0.5
	// reportDelay is how long after its start work may be missing from a digest of the lender.
	reportDelay = 200 * time.Millisecond
	// takingInterval is the time over which taken slots are summed up.
	takingInterval = 10 * time.Millisecond
	// maxSavedWindows bounds the tokens that a borrower saves up while it takes none, in TokenWindows.
	maxSavedWindows = 2
	// reserve is the share of its capacity that a group doesn't lend.
	reserve = 0.2
	// newsInterval is the time after which a digest that says the same is news.
	newsInterval = 400 * time.Millisecond
	// MaxWithheld is the most replicas that a digest can name as withheld. A group with more lends nothing.
	MaxWithheld = 8
	// withheldTime is how long a replica is withheld after a digest last named it. One of a group's senders may
	// know it while the other doesn't.
	withheldTime = time.Second
	// distrustAfterStall is how long digests are ignored after a stall: those that arrived meanwhile look new.
	distrustAfterStall = time.Second
)

// Limits of the numbers in a digest. They are far above those of any group.
const (
	maxSlots   = 1 << 20
	maxTokens  = 1 << 28
	MaxWaiting = 1 << 20 // requests
	maxGroups  = 1 << 16
)

// Room is what a group, or a borrower's share of it, has free.
type Room struct {
	Slots  int // requests that could start
	Tokens int // prompt tokens that could be computed within TokenWindow
}

// Lendable returns what a group with a capacity may lend of what is free.
func Lendable(free, capacity Room) Room {
	return Room{
		Slots:  max(0, free.Slots-int(reserve*float64(capacity.Slots))),
		Tokens: max(0, free.Tokens-int(reserve*float64(capacity.Tokens))),
	}
}

// Digest is the room of one group for one service.
type Digest struct {
	Group, Groups int // index of the group, and the number of groups that the index refers to
	Room
	Waiting   int      // requests that wait in the group
	Withheld  []uint64 // hashes of the replicas that get no requests of other groups, at most MaxWithheld
	CountedAt time.Time
}

// InNeed reports whether the group needs its room itself.
func (d Digest) InNeed() bool { return d.Waiting > 0 || d.Slots == 0 || d.Tokens == 0 }

// Validate returns an error that names the first field with an impossible number.
func (d Digest) Validate() error {
	for _, field := range []struct {
		name           string
		value, maximum int
	}{
		{"groups", d.Groups, maxGroups}, {"group", d.Group, d.Groups - 1},
		{"slots", d.Slots, maxSlots}, {"tokens", d.Tokens, maxTokens}, {"waiting", d.Waiting, MaxWaiting},
		{"withheld", len(d.Withheld), MaxWithheld},
	} {
		if field.value < 0 || field.value > field.maximum {
			return errors.Newf("borrow: %s is %d, want 0 to %d", field.name, field.value, field.maximum)
		}
	}
	return nil
}

// Listeners returns the groups that hear of a group's room: at most Fanout, spread over all groups.
func Listeners(group, groups int) []int {
	others := groups - 1
	n := min(Fanout, others)
	out := make([]int, 0, max(0, n))
	for i := range n {
		out = append(out, (group+1+i*others/n)%groups)
	}
	return out
}

// Place is a daemon's place in the fleet.
type Place struct {
	Self          string
	Group, Groups int
	Daemons       []string // of the group, including Self
}

// Ledger holds the digests of other groups for one service, and what this daemon borrowed on them. It holds at
// most Fanout digests. The zero Ledger is empty. It is not safe for concurrent use.
type Ledger struct {
	lenders  map[int]*lender // by group
	groups   int             // that the indexes of the lenders refer to
	group    int             // of this daemon: the digests of other lenders are sent to other groups
	distrust time.Time       // digests are ignored until then
}

// lender is a group whose digest is known.
type lender struct {
	digest Digest
	slots  []taking // taken by this daemon, if the digest may not include them; oldest first
	// tokens is what this daemon may take as of accruedAt. It accrues as the group computes.
	tokens    float64
	accruedAt time.Time
	newsAt    time.Time            // of the last digest that was news
	withheld  map[uint64]time.Time // replicas that get nothing, by hash, and when a digest last named each
}

// taking is the slots that this daemon took within takingInterval.
type taking struct {
	at    time.Time
	slots int
}

// Learn records a digest and reports whether it is news, to be passed on to the daemons of the group. It ignores one
// that is older than the known one, refers to another number of groups than this daemon sees, or is of a group that
// does not send digests here. Digests of a group that stays in need are no news: without them, nothing is borrowed.
func (l *Ledger) Learn(now time.Time, p Place, d Digest) (news bool) {
	if d.Groups != p.Groups || now.Before(l.distrust) || now.Sub(d.CountedAt) >= MaxAge || !slices.Contains(Listeners(d.Group, d.Groups), p.Group) {
		return false
	}
	l.adapt(p)
	known := l.lenders[d.Group]
	if known != nil && !d.CountedAt.After(known.digest.CountedAt) {
		return false
	}
	next := &lender{digest: d, accruedAt: d.CountedAt, newsAt: d.CountedAt}
	news = known == nil || known.digest.InNeed() != d.InNeed() || !d.InNeed() && d.CountedAt.Sub(known.newsAt) >= newsInterval
	news = next.withhold(known) || news
	if !news {
		next.newsAt = known.newsAt
	}
	if known == nil {
		next.tokens = next.share(p, 1) * float64(d.Tokens)
	} else {
		known.accrue(d.CountedAt, p, l.expectedBorrowers(now))
		next.tokens = known.tokens
		if known.accruedAt.After(next.accruedAt) {
			next.accruedAt = known.accruedAt // a late digest must not credit the same time twice
		}
		next.slots = slices.DeleteFunc(known.slots, func(t taking) bool { return d.CountedAt.Sub(t.at) >= reportDelay })
	}
	l.lenders[d.Group] = next
	return news
}

// withhold takes over the withheld replicas of the digest and of those before it. It reports whether the digest names
// a new one.
func (x *lender) withhold(before *lender) (news bool) {
	x.withheld = make(map[uint64]time.Time, len(x.digest.Withheld))
	if before != nil {
		for hash, named := range before.withheld {
			if x.digest.CountedAt.Sub(named) < withheldTime {
				x.withheld[hash] = named
			}
		}
	}
	for _, hash := range x.digest.Withheld {
		_, known := x.withheld[hash]
		news = news || !known
		x.withheld[hash] = x.digest.CountedAt
	}
	return news
}

// Withheld reports whether a replica of another group, given by its hash, may get no requests of this one.
func (l *Ledger) Withheld(group int, hash uint64) bool {
	x := l.lenders[group]
	if x == nil {
		return false
	}
	_, withheld := x.withheld[hash]
	return withheld
}

// adapt drops the digests of another division into groups, and those sent to another group.
func (l *Ledger) adapt(p Place) {
	if l.lenders == nil || !l.fits(p) {
		l.lenders, l.groups, l.group = map[int]*lender{}, p.Groups, p.Group
	}
	delete(l.lenders, p.Group)
}

// fits reports whether the digests were sent to a daemon at this place.
func (l *Ledger) fits(p Place) bool { return l.groups == p.Groups && l.group == p.Group }

// HandleStall drops all digests, and ignores those that arrive soon after: they may have been queued meanwhile.
func (l *Ledger) HandleStall(now time.Time) {
	l.lenders, l.distrust = nil, now.Add(distrustAfterStall)
}

// Digests returns the known digests in the order of their groups.
func (l *Ledger) Digests() []Digest {
	out := make([]Digest, 0, len(l.lenders))
	for _, x := range l.lenders {
		out = append(out, x.digest)
	}
	slices.SortFunc(out, func(a, b Digest) int { return cmp.Compare(a.Group, b.Group) })
	return out
}

// Reason says why nothing can be borrowed.
type Reason string

const (
	ReasonNoDigest  Reason = "no_digest"  // no other group's room is known
	ReasonInNeed    Reason = "in_need"    // the other groups need their room
	ReasonShare     Reason = "share"      // this daemon's share of their room is used up or too small
	ReasonNoReplica Reason = "no_replica" // no replica there may receive the request
)

// Offer is a group at which this daemon may take room.
type Offer struct {
	Group int
	Room  Room // what this daemon may still take there
}

// Offers returns the groups at which this daemon may take room, the first to be tried in front, or the reason
// why there is none.
func (l *Ledger) Offers(now time.Time, p Place) ([]Offer, Reason) {
	if !l.fits(p) {
		return nil, ReasonNoDigest
	}
	var offers []Offer
	reason := ReasonNoDigest
	borrowers := l.expectedBorrowers(now)
	for group, x := range l.lenders {
		if group == p.Group || !x.current(now) {
			continue
		}
		if x.digest.InNeed() {
			if reason == ReasonNoDigest {
				reason = ReasonInNeed
			}
			continue
		}
		reason = ReasonShare
		if left := x.left(now, p, borrowers); left.Slots > 0 && left.Tokens > 0 {
			offers = append(offers, Offer{Group: group, Room: left})
		}
	}
	if len(offers) == 0 {
		return nil, reason
	}
	sortOffers(offers, p.Self)
	return offers, ""
}

// Take counts a prompt that this daemon places at a group, and the tokens that are computed for it. It does nothing if
// there is no room for the prompt: another one may have taken it since it was offered.
func (l *Ledger) Take(now time.Time, p Place, group, tokens int) (taken bool) {
	x := l.lenders[group]
	if x == nil || !l.fits(p) || group == p.Group || !x.current(now) || x.digest.InNeed() {
		return false
	}
	if left := x.left(now, p, l.expectedBorrowers(now)); left.Slots < 1 || left.Tokens < tokens {
		return false
	}
	x.tokens -= float64(tokens)
	if n := len(x.slots); n == 0 || now.Sub(x.slots[n-1].at) >= takingInterval {
		x.slots = append(x.slots, taking{at: now})
	}
	x.slots[len(x.slots)-1].slots++
	return true
}

// Return gives back what Take counted for a prompt that was not placed.
func (l *Ledger) Return(group, tokens int) {
	x := l.lenders[group]
	if x == nil {
		return
	}
	x.tokens += float64(tokens)
	if n := len(x.slots); n > 0 && x.slots[n-1].slots > 0 {
		x.slots[n-1].slots--
	}
}

// expectedBorrowers returns how many groups are expected to borrow from a lender: this one, and as large a part of the
// lender's other listeners as the known groups in need are of all known ones.
func (l *Ledger) expectedBorrowers(now time.Time) float64 {
	known, inNeed := 0, 0
	for _, x := range l.lenders {
		if !x.current(now) {
			continue
		}
		known++
		if x.digest.InNeed() {
			inNeed++
		}
	}
	if known == 0 {
		return 1
	}
	others := min(Fanout, l.groups-1) - 1
	return 1 + float64(others)*float64(inNeed)/float64(known)
}

func (x *lender) current(now time.Time) bool { return now.Sub(x.digest.CountedAt) < MaxAge }

// left returns the room that a daemon may still take on a digest.
func (x *lender) left(now time.Time, p Place, borrowers float64) Room {
	x.accrue(now, p, borrowers)
	trust := discount(now.Sub(x.digest.CountedAt))
	left := Room{
		Slots:  int(trust * x.share(p, borrowers) * float64(x.digest.Slots)),
		Tokens: int(trust * x.tokens),
	}
	for _, t := range x.slots {
		left.Slots -= t.slots
	}
	return left
}

// accrue adds the tokens of a daemon's share that the group could compute since the last call. An old digest adds
// none.
func (x *lender) accrue(now time.Time, p Place, borrowers float64) {
	if end := x.digest.CountedAt.Add(fullValueAge); now.After(end) {
		now = end
	}
	if !now.After(x.accruedAt) {
		return
	}
	perWindow := x.share(p, borrowers) * float64(x.digest.Tokens)
	windows := float64(now.Sub(x.accruedAt)) / float64(TokenWindow)
	x.tokens = min(x.tokens+windows*perWindow, maxSavedWindows*perWindow)
	x.accruedAt = now
}

// share returns the share of the group's room that a daemon may take.
func (x *lender) share(p Place, borrowers float64) float64 {
	return lendShare / borrowers * part(p, x.digest.Group)
}

// discount returns the part of a digest's room that counts at an age.
func discount(age time.Duration) float64 {
	if age <= fullValueAge {
		return 1
	}
	return max(0, float64(MaxAge-age)/float64(MaxAge-fullValueAge))
}

// part returns the part of its group's share that a daemon gets at a lender. The parts of all daemons of the
// group add up to one. Half is divided evenly and half by rank, since one of equal parts may be smaller than any
// prompt, and the last by rank would get nearly nothing.
func part(p Place, lender int) float64 {
	own := hash(p.Self, lender)
	rank, member, sum := 0, false, 0.0
	for n, name := range p.Daemons {
		sum += 1 / float64(n+1)
		if name == p.Self {
			member = true
			continue
		}
		if cmp.Or(cmp.Compare(hash(name, lender), own), cmp.Compare(name, p.Self)) < 0 {
			rank++
		}
	}
	if !member {
		return 0
	}
	return (1/float64(len(p.Daemons)) + 1/float64(rank+1)/sum) / 2
}

// sortOffers puts those with much room in front, in an order that depends on the daemon, so that borrowers spread
// and each stays with its lender.
func sortOffers(offers []Offer, self string) {
	most := 0
	for _, o := range offers {
		most = max(most, o.Room.Tokens)
	}
	isGood := func(o Offer) bool { return float64(o.Room.Tokens) >= goodShare*float64(most) }
	slices.SortFunc(offers, func(a, b Offer) int {
		switch goodA, goodB := isGood(a), isGood(b); {
		case goodA && !goodB:
			return -1
		case goodB && !goodA:
			return 1
		case !goodA:
			return cmp.Or(cmp.Compare(b.Room.Tokens, a.Room.Tokens), cmp.Compare(a.Group, b.Group))
		}
		return cmp.Or(cmp.Compare(hash(self, a.Group), hash(self, b.Group)), cmp.Compare(a.Group, b.Group))
	})
}

// maxReplicas is the number of replicas of one group that a daemon uses. With one, an unlucky choice would meet
// a full replica; with many, none would hold the parts of the daemon's prompts in its memory.
const maxReplicas = 3

// UsedReplicas returns the replicas that a daemon uses among those that it may borrow, given the hash of each. A daemon uses
// the same ones as long as they may be borrowed, and other daemons use others.
func UsedReplicas[R any](self string, replicas []R, hashOf func(R) uint64) []R {
	own := xxhash.Sum64String(self)
	out := slices.Clone(replicas)
	slices.SortFunc(out, func(a, b R) int {
		return cmp.Compare(mix(own, hashOf(a)), mix(own, hashOf(b)))
	})
	return out[:min(len(out), maxReplicas)]
}

func hash(name string, group int) uint64 { return mix(xxhash.Sum64String(name), uint64(group)) }

func mix(a, b uint64) uint64 {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], a)
	binary.LittleEndian.PutUint64(raw[8:], b)
	return xxhash.Sum64(raw[:])
}
