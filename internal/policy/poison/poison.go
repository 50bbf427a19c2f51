// Package poison finds out what requests that crash replicas have in common, and refuses requests that have it.
//
// Requests have traits: their content as a whole, the parts of their prompts, their path and their model. When a replica dies, the
// traits of all requests in flight there are accused. An answer clears the traits of its request, since what crashes replicas
// crashes each one that begins an answer. A trait with enough independent deaths since its last answer is poisonous.
//
// Invariant: a trait that crashes each replica is refused once its limit of independent deaths is known. Two deaths are independent if
// the request of the second was sent after the first: a loss of power or a partition counts once. A trait that was answered in the last
// hour needs half as many deaths more.
//
// Each death has one cause: the first trait that reaches its limit explains its deaths, and the others must reach theirs
// without these. What sound requests have in common with the cause is therefore not blamed with it. Traits that reach their limit
// at the same death are blamed together, until a request that lacks one of them is answered. An organisation's requests are refused for deaths
// under its own requests, or for a value under which requests of two organisations had deaths.
//
// Blame ends with an answer to a trial, of which there is one after a time that doubles with each further death, or
// Params.Retention after the last death.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness. A Registry is not safe for concurrent use.
package poison

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Params bounds a registry.
type Params struct {
	// RequestDeaths, PartDeaths and BroadDeaths are the independent deaths from which a whole request, a part of prompts, and a
	// path or model are refused, if they were not answered in the last hour.
	RequestDeaths, PartDeaths, BroadDeaths int
	// TrialAfter is the time from the last death to the first trial, MaxTrialAfter bounds its doubling.
	TrialAfter, MaxTrialAfter time.Duration
	// TiedTrialAfter is the time to the trial of a trait that is blamed together with others, by a request that lacks one of them, and
	// half of the time to the next one, if the trial told nothing.
	TiedTrialAfter time.Duration
	Retention      time.Duration // how long a record is kept after its last change
	MaxRecords     int
	MaxAnswered    int // traits that are remembered as answered
}

// DefaultParams are the bounds without settings.
var DefaultParams = Params{
	RequestDeaths: 3, PartDeaths: 4, BroadDeaths: 8, TrialAfter: 2 * time.Minute, MaxTrialAfter: 30 * time.Minute, TiedTrialAfter: time.Second,
	Retention: time.Hour, MaxRecords: 10_000, MaxAnswered: 8192,
}

// answeredFactor is how many times as many deaths a trait needs that was answered within the retention.
const answeredFactor = 1.5

// limit returns the independent deaths from which a trait is poisonous.
func (p Params) limit(r *Record) int {
	n := p.BroadDeaths
	switch r.Trait.Kind {
	case KindRequest:
		return p.RequestDeaths
	case KindPart:
		n = p.PartDeaths
	}
	if !r.Answered.IsZero() {
		n = int(math.Ceil(answeredFactor * float64(n)))
	}
	return min(n, maxDeaths)
}

// Accused is a trait of a request that was in flight at a death.
type Accused struct {
	Trait Trait
	// Sent is when the request was sent: for KindRequest to the replica that died, otherwise to the first replica that got it. What
	// one request meets at several replicas then counts once against what it shares with others.
	Sent time.Time
}

// Report is the death of a replica with requests of one organisation in flight.
type Report struct {
	Death   string // see DeathID
	Org     Org
	At      time.Time
	Accused []Accused
}

// entry is a record and what follows from it.
type entry struct {
	Record
	held int // independent pending deaths
}

// blame says why a trait is poisonous.
type blame struct {
	*entry
	reached time.Time // when it reached its limit
	tied    []Trait   // that reached theirs at the same death
}

// Registry holds the records that one daemon knows.
type Registry struct {
	params    Params
	entries   map[Trait]*entry
	suspects  map[Trait]*entry // with enough deaths, explained or not
	poisonous map[Trait]*blame
	answers   answers
}

// New returns an empty registry.
func New(p Params) *Registry {
	return &Registry{params: p, entries: map[Trait]*entry{}, suspects: map[Trait]*entry{}, poisonous: map[Trait]*blame{}, answers: newAnswers(p.MaxAnswered)}
}

// Len returns the number of records.
func (r *Registry) Len() int { return len(r.entries) }

// Verdict says whether a request may run.
type Verdict struct {
	Refused bool
	Cause   Trait // with Refused: the trait that is refused for longest
	// RetryAfter is the time to the next trial, with Refused.
	RetryAfter time.Duration
	// Trials are the poisonous traits of a request that may run as their trial, if no other daemon begins one.
	Trials []Trait
}

// Check returns whether a request with some traits may run now.
func (r *Registry) Check(now time.Time, traits []Trait) Verdict {
	var v Verdict
	if len(r.poisonous) == 0 {
		return v
	}
	for _, t := range traits {
		b := r.poisonous[t]
		if b == nil {
			continue
		}
		wait := r.trialAt(b, traits).Sub(now)
		if wait <= 0 {
			v.Trials = append(v.Trials, t)
			continue
		}
		if wait > v.RetryAfter {
			v.RetryAfter, v.Cause = wait, t
		}
		v.Refused = true
	}
	if v.Refused {
		v.Trials = nil
	}
	return v
}

// trialAt returns when a request with some traits may be the next trial of a poisonous one.
func (r *Registry) trialAt(b *blame, traits []Trait) time.Time {
	if slices.ContainsFunc(b.tied, func(t Trait) bool { return !slices.Contains(traits, t) }) {
		if !b.Trial.After(b.reached) {
			return b.reached.Add(r.params.TiedTrialAfter)
		}
		if !r.diedIn(b, traits) {
			return b.Trial.Add(2 * r.params.TiedTrialAfter)
		}
	}
	delay := r.params.TrialAfter
	for n := r.params.limit(&b.Record); n < b.held && delay < r.params.MaxTrialAfter; n++ {
		delay *= 2
	}
	last := b.Trial
	if n := len(b.Deaths); n > 0 && b.Deaths[n-1].At.After(last) {
		last = b.Deaths[n-1].At
	}
	return last.Add(min(delay, r.params.MaxTrialAfter))
}

// diedIn reports whether a replica died in the last trial of a trait, and no other poisonous trait explains that. Those with which it is tied and
// that a request has as well explain nothing for the request.
func (r *Registry) diedIn(b *blame, traits []Trait) bool {
	return slices.ContainsFunc(b.pending(), func(d Death) bool {
		return !d.Sent.Before(b.Trial) && !r.explains(d, func(other Trait) bool {
			return !other.sameValue(b.Trait) && !(slices.Contains(b.tied, other) && slices.Contains(traits, other))
		})
	})
}

// OnTrial records that a trial of some traits begins, and returns their records.
func (r *Registry) OnTrial(now time.Time, traits []Trait) []Record {
	return r.update(now, traits, func(e *entry) bool {
		e.Trial = milliseconds(now)
		return true
	})
}

// OnDeath records a death and returns the records that changed.
func (r *Registry) OnDeath(now time.Time, report Report) []Record {
	var changed []Record
	for _, a := range report.Accused {
		e := r.entries[a.Trait]
		if e == nil {
			e = &entry{Record: Record{Trait: a.Trait, Answered: r.answers.last(a.Trait, now.Add(-r.params.Retention))}}
			r.entries[a.Trait] = e
		}
		if e.addDeath(Death{ID: report.Death, Org: report.Org, Sent: milliseconds(a.Sent), At: milliseconds(report.At)}) {
			r.judge(e)
			changed = append(changed, e.clone())
		}
	}
	r.evict(now)
	return changed
}

// OnAnswered records that a replica ran a request to its end, and returns the records that changed. Only the remembered
// traits outlast it without a record.
func (r *Registry) OnAnswered(now time.Time, traits, remembered []Trait) []Record {
	for _, t := range remembered {
		r.answers.add(milliseconds(now), t)
	}
	if len(r.entries) == 0 {
		return nil
	}
	return r.update(now, traits, func(e *entry) bool {
		held := len(e.pending()) > 0
		e.Answered = milliseconds(now)
		return held
	})
}

// update changes the records of some traits, and returns those for which change returns true.
func (r *Registry) update(now time.Time, traits []Trait, change func(*entry) bool) (changed []Record) {
	for _, t := range traits {
		if e := r.entries[t]; e != nil && change(e) {
			r.judge(e)
			changed = append(changed, e.clone())
		}
	}
	return changed
}

// Merge adds records of other daemons or of the key-value service. It returns the local records of which the other side did not
// know everything.
func (r *Registry) Merge(now time.Time, records []Record) (ahead []Record) {
	for _, record := range records {
		if record.last().Add(r.params.Retention).Before(now) {
			continue
		}
		e := r.entries[record.Trait]
		if e == nil {
			e = &entry{Record: Record{Trait: record.Trait, Answered: r.answers.last(record.Trait, now.Add(-r.params.Retention))}}
			r.entries[record.Trait] = e
		}
		if e.Record.merge(record.notAfter(now)) {
			r.judge(e)
		}
		if !Covers(record, e.Record) {
			ahead = append(ahead, e.clone())
		}
	}
	r.evict(now)
	return ahead
}

// Covers reports whether a record says all that another one of the same trait says.
func Covers(record, other Record) bool {
	merged := record.clone()
	return !merged.merge(other)
}

// judge finds out whether a trait has enough deaths to be poisonous.
func (r *Registry) judge(e *entry) {
	pending := e.pending()
	e.held = independent(pending)
	suspect := r.suspects[e.Trait] != nil
	switch {
	case e.held >= r.params.limit(&e.Record) && (e.Trait.Org != AllOrgs || organisations(pending) > 1):
		r.suspects[e.Trait] = e
	case suspect:
		delete(r.suspects, e.Trait)
	default:
		return
	}
	r.attribute()
}

// attribute finds out which suspects are poisonous: the first that reaches its limit, then the first that reaches it without the deaths
// that this one explains, and so on. Later deaths do not change the order.
func (r *Registry) attribute() {
	r.poisonous = map[Trait]*blame{}
	for {
		var first Death
		var reaching []*entry
		for t, e := range r.suspects {
			if r.poisonous[t] != nil {
				continue
			}
			d, ok := reaches(r.unexplained(e), r.params.limit(&e.Record))
			switch {
			case !ok:
			case len(reaching) == 0 || d.before(first):
				first, reaching = d, []*entry{e}
			case d.same(first):
				reaching = append(reaching, e)
			}
		}
		if len(reaching) == 0 {
			return
		}
		for _, e := range reaching {
			r.poisonous[e.Trait] = &blame{entry: e, reached: first.At, tied: tiedWith(e, reaching)}
		}
	}
}

// tiedWith returns the traits that may be blamed in place of e. A whole request is not.
func tiedWith(e *entry, reaching []*entry) (tied []Trait) {
	for _, other := range reaching {
		if other.Trait.Kind != KindRequest && !other.Trait.sameValue(e.Trait) {
			tied = append(tied, other.Trait)
		}
	}
	return tied
}

// unexplained returns the pending deaths of a suspect that no poisonous trait explains. A whole request explains nothing: it is poisonous
// for what it shares with others.
func (r *Registry) unexplained(e *entry) []Death {
	return slices.DeleteFunc(slices.Clone(e.pending()), func(d Death) bool {
		return r.explains(d, func(other Trait) bool { return !other.sameValue(e.Trait) })
	})
}

// explains reports whether one of those poisonous traits for which among is true has a death.
func (r *Registry) explains(d Death, among func(Trait) bool) bool {
	for t, b := range r.poisonous {
		if t.Kind != KindRequest && among(t) && slices.ContainsFunc(b.pending(), d.same) {
			return true
		}
	}
	return false
}

// IsPoisonous reports whether requests with a trait are refused.
func (r *Registry) IsPoisonous(t Trait) bool { return r.poisonous[t] != nil }

// Held returns the number of independent deaths of a trait since its last answer.
func (r *Registry) Held(t Trait) int {
	if e := r.entries[t]; e != nil {
		return e.held
	}
	return 0
}

// IsHalfWay reports whether a record has at least half of the deaths that make its trait poisonous.
func (p Params) IsHalfWay(r Record) bool { return p.isHalfWay(&r, independent(r.pending())) }

func (p Params) isHalfWay(r *Record, held int) bool { return 2*held >= p.limit(r) }

// Suspicion says how far the traits of a request are from being poisonous.
type Suspicion int

// Degrees of suspicion.
const (
	Unsuspected Suspicion = iota
	Suspected             // a replica died since a trait's last answer
	HalfWay               // a trait has at least half of the deaths that make it poisonous
)

// Suspicion returns the highest suspicion of some traits.
func (r *Registry) Suspicion(traits []Trait) Suspicion {
	highest := Unsuspected
	for _, t := range traits {
		e := r.entries[t]
		switch {
		case e == nil || e.held == 0:
		case r.params.isHalfWay(&e.Record, e.held):
			return HalfWay
		default:
			highest = Suspected
		}
	}
	return highest
}

// Poisonous returns the records of poisonous traits, those that changed last first.
func (r *Registry) Poisonous() []Record {
	out := make([]Record, 0, len(r.poisonous))
	for _, b := range r.poisonous {
		out = append(out, b.clone())
	}
	slices.SortFunc(out, func(a, b Record) int { return b.last().Compare(a.last()) })
	return out
}

// All returns all records, those with the most independent deaths since their last answer first.
func (r *Registry) All() []Record {
	all := slices.Collect(maps.Values(r.entries))
	slices.SortFunc(all, func(a, b *entry) int {
		if a.held != b.held {
			return b.held - a.held
		}
		return slices.Compare(a.Trait.Key[:], b.Trait.Key[:])
	})
	out := make([]Record, len(all))
	for i, e := range all {
		out[i] = e.clone()
	}
	return out
}

// Record returns the record of a trait.
func (r *Registry) Record(t Trait) (Record, bool) {
	e := r.entries[t]
	if e == nil {
		return Record{}, false
	}
	return e.clone(), true
}

// Prune drops the records that did not change within the retention.
func (r *Registry) Prune(now time.Time) {
	for t, e := range r.entries {
		if e.last().Add(r.params.Retention).Before(now) {
			r.drop(t)
		}
	}
}

func (r *Registry) drop(t Trait) {
	delete(r.entries, t)
	if r.suspects[t] != nil {
		delete(r.suspects, t)
		r.attribute()
	}
}

// evictedShare is the part of the records that evict drops at once, so that it sorts them rarely.
const evictedShare = 8

// evict keeps the registry within its bound. Records with few deaths go first, then those that changed least lately: each death
// costs a replica, so that nobody can cheaply displace others' records.
func (r *Registry) evict(now time.Time) {
	if len(r.entries) <= r.params.MaxRecords {
		return
	}
	r.Prune(now)
	all := slices.Collect(maps.Values(r.entries))
	slices.SortFunc(all, func(a, b *entry) int {
		if a.held != b.held {
			return a.held - b.held
		}
		return a.last().Compare(b.last())
	})
	keep := r.params.MaxRecords - r.params.MaxRecords/evictedShare
	for _, e := range all[:max(0, len(all)-keep)] {
		r.drop(e.Trait)
	}
}

func milliseconds(t time.Time) time.Time { return time.UnixMilli(t.UnixMilli()) }
