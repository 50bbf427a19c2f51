// Package quarantine keeps a request that crashes targets from crashing many.
//
// The requests in flight at a target that died are suspects. A suspect runs alone, so
// that a second death proves what caused it; at two deaths, one of them alone, it is
// refused for a time. A request of another caller that ran beside the cause twice, since
// its daemon died and the next one had not heard of the first death, is no more than a
// suspect.
// A request is known by its fingerprint, since its caller sends it again under a new
// request id. What was found outlives a daemon and reaches its peers as Findings,
// which merge in any order. docs/design/quarantine.md states the bound.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness. A Register is
// not safe for concurrent use.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// MaxDeaths is the number of targets that may fall to one fingerprint.
const MaxDeaths = 2

// Defaults of Params.
const (
	DefaultRetention  = 30 * time.Minute
	DefaultMaxRecords = 10_000
)

// Params bounds a register. Zero values take the defaults above.
type Params struct {
	// Retention is how long a finding counts after its last death.
	Retention time.Duration
	// MaxRecords bounds the findings kept; the first to expire go first.
	MaxRecords int
	// UnprovenDeaths is the number of deaths at which a request is refused although no death
	// alone proved that it caused them. It is for targets that can't be emptied for a
	// suspect: suspects run like any other request, and one that a target answered in
	// full is cleared by that. Zero: suspects run alone.
	UnprovenDeaths int
}

// Fingerprint identifies a request by its organisation and content.
type Fingerprint string

// Of returns the fingerprint of a request: the SHA-256 digest of the organisation and
// the parts that decide what a target does, such as the path and the body.
func Of(org request.OrgID, parts ...[]byte) Fingerprint {
	h := sha256.New()
	write := func(part []byte) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	write([]byte(org))
	for _, part := range parts {
		write(part)
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

// Mode says how a request may run.
type Mode string

const (
	// Unrestricted lets the request run anywhere.
	Unrestricted Mode = "free"
	// SameTarget lets it run at Verdict.Target, where the same request is in flight. Were
	// equal requests spread over many targets, all of those could die before the
	// first death is known.
	SameTarget Mode = "only"
	// Alone lets it run at a target with nothing else in flight. Findings that were
	// written by others have to be read and merged before.
	Alone Mode = "alone"
	// Wait means that it is in flight as a suspect, and has to wait for that.
	Wait Mode = "wait"
	// Refuse means that it has brought down MaxDeaths targets.
	Refuse Mode = "refuse"
)

// Decision answers Gate and Begin.
type Decision struct {
	Mode   Mode
	Target request.TargetID // with Only
	Err    *request.Error   // with Refuse: the final answer
}

// flight is one request that a target holds.
type flight struct {
	fingerprint Fingerprint
	target      request.TargetID
	alone       bool
}

// Registry is one daemon's knowledge of suspects, and of what it has in flight.
type Registry struct {
	params   Params
	flights  map[request.ID]flight
	targets  map[Fingerprint]map[request.TargetID]int // requests in flight
	findings map[Fingerprint]*CrashRecord
}

// New returns an empty register.
func New(p Params) *Registry {
	if p.Retention <= 0 {
		p.Retention = DefaultRetention
	}
	if p.MaxRecords <= 0 {
		p.MaxRecords = DefaultMaxRecords
	}
	return &Registry{
		params:   p,
		flights:  make(map[request.ID]flight),
		targets:  make(map[Fingerprint]map[request.TargetID]int),
		findings: make(map[Fingerprint]*CrashRecord),
	}
}

// Check says how a request may run now, before it is placed.
func (r *Registry) Check(now time.Time, fp Fingerprint) Decision {
	finding := r.finding(now, fp)
	if r.params.UnprovenDeaths > 0 {
		return r.count(now, finding)
	}
	running := r.targets[fp]
	switch {
	case finding != nil && finding.Proven && len(finding.Deaths) >= MaxDeaths:
		return Decision{Mode: Refuse, Err: refusal(now, finding)}
	case finding != nil && len(running) > 0:
		return Decision{Mode: Wait}
	case finding != nil:
		return Decision{Mode: Alone}
	}
	for target := range running {
		return Decision{Mode: SameTarget, Target: target}
	}
	return Decision{Mode: Unrestricted}
}

// count refuses a request that was in flight at too many deaths, and was never answered.
func (r *Registry) count(now time.Time, f *CrashRecord) Decision {
	if f == nil || f.Answered || len(f.Deaths) < r.params.UnprovenDeaths {
		return Decision{Mode: Unrestricted}
	}
	return Decision{Mode: Refuse, Err: refusal(now, f)}
}

// CrashReport is the death of a target with a request in flight.
type CrashReport struct {
	Fingerprint Fingerprint
	Target      request.TargetID
	Incarnation uint64 // as for OnTargetDied
}

// OnCrashReport notes a death with a request that is not in the register, and returns the
// finding if it changed.
func (r *Registry) OnCrashReport(now time.Time, s CrashReport) []CrashRecord {
	return r.suspect(now, s.Target, s.Incarnation, map[Fingerprint]bool{s.Fingerprint: false})
}

// OnAnswered is told that a target ran a request to its end. One that is suspect is cleared:
// what crashes targets crashes each that runs it. It returns the finding if it changed.
func (r *Registry) OnAnswered(now time.Time, fp Fingerprint) []CrashRecord {
	f := r.finding(now, fp)
	if f == nil || f.Answered {
		return nil
	}
	f.Answered = true
	return []CrashRecord{f.clone()}
}

// Begin enters a request that is about to be sent to a target. alone says that the
// target was granted with nothing else in flight. If ok is false the request must not
// be sent: the verdict has changed since Gate, or never allowed it.
func (r *Registry) Begin(now time.Time, fp Fingerprint, id request.ID, target request.TargetID, alone bool) (v Decision, ok bool) {
	v = r.Check(now, fp)
	switch v.Mode {
	case Unrestricted:
		ok = true
	case SameTarget:
		ok = v.Target == target
	case Alone:
		ok = alone
	}
	if !ok {
		return v, false
	}
	r.End(id)
	r.flights[id] = flight{fingerprint: fp, target: target, alone: alone && v.Mode == Alone}
	if r.targets[fp] == nil {
		r.targets[fp] = make(map[request.TargetID]int)
	}
	r.targets[fp][target]++
	return v, true
}

// End is told that a request is no longer in flight: it was answered, refused or
// cancelled. If its target has died, OnTargetDied comes first.
func (r *Registry) End(id request.ID) {
	f, ok := r.flights[id]
	if !ok {
		return
	}
	delete(r.flights, id)
	running := r.targets[f.fingerprint]
	running[f.target]--
	if running[f.target] <= 0 {
		delete(running, f.target)
	}
	if len(running) == 0 {
		delete(r.targets, f.fingerprint)
	}
}

// OnTargetDied makes suspects of all that was in flight at a target, and returns the
// findings that changed, to be written and sent to peers before any of them is sent to
// a target again. incarnation tells the deaths of one target apart; zero: unknown.
func (r *Registry) OnTargetDied(now time.Time, target request.TargetID, incarnation uint64) []CrashRecord {
	suspects := make(map[Fingerprint]bool) // whether it ran alone
	for id, f := range r.flights {
		if f.target == target {
			suspects[f.fingerprint] = suspects[f.fingerprint] || f.alone
			r.End(id)
		}
	}
	return r.suspect(now, target, incarnation, suspects)
}

// OnCoordinatorReport is OnTargetDied for requests that other daemons had in flight, known from
// the grants of the target's steward. It matters when the daemon that sent the request
// has died as well.
func (r *Registry) OnCoordinatorReport(now time.Time, target request.TargetID, incarnation uint64, suspects []Fingerprint) []CrashRecord {
	distinct := make(map[Fingerprint]bool)
	for _, fp := range suspects {
		distinct[fp] = false
	}
	if len(distinct) == 1 {
		distinct[suspects[0]] = true
	}
	return r.suspect(now, target, incarnation, distinct)
}

func (r *Registry) suspect(now time.Time, target request.TargetID, incarnation uint64, suspects map[Fingerprint]bool) []CrashRecord {
	var found []CrashRecord
	for _, fp := range keys(suspects) {
		found = append(found, CrashRecord{
			Fingerprint: fp,
			Deaths:      []Death{deathOf(now, target, incarnation)},
			Expires:     now.Add(r.params.Retention).Truncate(time.Millisecond),
			Proven:      suspects[fp],
		})
	}
	return r.Merge(now, found)
}

func refusal(now time.Time, f *CrashRecord) *request.Error {
	return request.Refuse(request.CodeQuarantined, http.StatusServiceUnavailable, f.Expires.Sub(now),
		"%d targets died while they ran this request", len(f.Deaths))
}
