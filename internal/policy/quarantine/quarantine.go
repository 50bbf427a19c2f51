// Package quarantine limits the number of targets that one request can crash.
//
// The requests in flight at a target that died are suspects. A suspect runs alone, so that a second
// death proves its cause. After two deaths, at least one of them alone, the request is refused until
// the record expires. A request of another caller may run beside the cause twice, if its daemon dies
// and the next daemon has not received the record of the first death; it remains a suspect.
//
// A request is identified by its fingerprint, since callers send it again under a new request id. The
// state outlives a daemon and reaches its peers as CrashRecords, which merge in any order.
// docs/design/quarantine.md states the bound.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness. A Registry is not safe for
// concurrent use.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// MaxDeaths is the number of targets that one fingerprint may crash.
const MaxDeaths = 2

// Defaults of Params.
const (
	DefaultRetention  = 30 * time.Minute
	DefaultMaxRecords = 10_000
)

// Params bounds a registry. Zero values take the defaults above.
type Params struct {
	// Retention is how long a record is valid after its last death.
	Retention time.Duration
	// MaxRecords bounds the stored records; those that expire first are evicted first.
	MaxRecords int
}

// Fingerprint identifies a request by its organisation and content.
type Fingerprint string

// Of returns the fingerprint of a request: the SHA-256 digest of the organisation and of the parts
// that determine the target's work, such as the path and the body.
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

// Mode is the way in which a request may run.
type Mode string

const (
	// Unrestricted allows the request to run on any target.
	Unrestricted Mode = "free"
	// SameTarget allows it to run on Decision.Target, where the same request is in flight. If equal
	// requests were spread over many targets, all these targets could die before the first death is
	// known.
	SameTarget Mode = "only"
	// Alone allows it to run on a target with no other request in flight. The caller must have merged
	// the records that other daemons wrote.
	Alone Mode = "alone"
	// Wait means that an equal request is in flight as a suspect. The caller tries again after it has
	// ended.
	Wait Mode = "wait"
	// Refuse means that the request must not run: it reached MaxDeaths with a proven cause.
	Refuse Mode = "refuse"
)

// Decision is the result of Check and Begin.
type Decision struct {
	Mode   Mode
	Target request.TargetID // set with SameTarget
	Err    *request.Error   // set with Refuse: the final error
}

// inFlightRequest is a request that was sent to a target.
type inFlightRequest struct {
	fingerprint Fingerprint
	target      request.TargetID
	alone       bool
}

// Registry holds one daemon's crash records and the requests that it has in flight.
type Registry struct {
	params          Params
	inFlight        map[request.ID]inFlightRequest
	inFlightTargets map[Fingerprint]map[request.TargetID]int // number of requests in flight
	records         map[Fingerprint]*CrashRecord
}

// New returns an empty registry.
func New(p Params) *Registry {
	if p.Retention <= 0 {
		p.Retention = DefaultRetention
	}
	if p.MaxRecords <= 0 {
		p.MaxRecords = DefaultMaxRecords
	}
	return &Registry{
		params:          p,
		inFlight:        make(map[request.ID]inFlightRequest),
		inFlightTargets: make(map[Fingerprint]map[request.TargetID]int),
		records:         make(map[Fingerprint]*CrashRecord),
	}
}

// Check returns how a request may run now, before it is placed.
func (r *Registry) Check(now time.Time, fp Fingerprint) Decision {
	record := r.record(now, fp)
	running := r.inFlightTargets[fp]
	switch {
	case record != nil && record.Proven && len(record.Deaths) >= MaxDeaths:
		return Decision{Mode: Refuse, Err: quarantinedError(now, record)}
	case record != nil && len(running) > 0:
		return Decision{Mode: Wait}
	case record != nil:
		return Decision{Mode: Alone}
	}
	for target := range running {
		return Decision{Mode: SameTarget, Target: target}
	}
	return Decision{Mode: Unrestricted}
}

// Begin records a request that is about to be sent to a target. alone says that the target was granted
// with no other request in flight. If ok is false the request must not be sent: the decision has
// changed since Check, or never allowed it.
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
	r.inFlight[id] = inFlightRequest{fingerprint: fp, target: target, alone: alone && v.Mode == Alone}
	if r.inFlightTargets[fp] == nil {
		r.inFlightTargets[fp] = make(map[request.TargetID]int)
	}
	r.inFlightTargets[fp][target]++
	return v, true
}

// End records that a request is no longer in flight: it was answered, refused or cancelled. If its
// target died, OnTargetDied must be called first.
func (r *Registry) End(id request.ID) {
	f, ok := r.inFlight[id]
	if !ok {
		return
	}
	delete(r.inFlight, id)
	running := r.inFlightTargets[f.fingerprint]
	running[f.target]--
	if running[f.target] <= 0 {
		delete(running, f.target)
	}
	if len(running) == 0 {
		delete(r.inFlightTargets, f.fingerprint)
	}
}

// OnTargetDied makes all requests in flight at a target suspects, and returns the records that changed.
// The caller must write them and send them to peers before it sends any of these requests to a target
// again. incarnation distinguishes the deaths of one target; zero: unknown.
func (r *Registry) OnTargetDied(now time.Time, target request.TargetID, incarnation uint64) []CrashRecord {
	suspects := make(map[Fingerprint]bool) // whether it ran alone
	for id, f := range r.inFlight {
		if f.target == target {
			suspects[f.fingerprint] = suspects[f.fingerprint] || f.alone
			r.End(id)
		}
	}
	return r.recordDeath(now, target, incarnation, suspects)
}

// OnCoordinatorReport does the same as OnTargetDied for requests of other daemons, which the target's
// coordinator knows from its grants. It is needed if the daemon that sent the request died as well.
func (r *Registry) OnCoordinatorReport(now time.Time, target request.TargetID, incarnation uint64, suspects []Fingerprint) []CrashRecord {
	distinct := make(map[Fingerprint]bool)
	for _, fp := range suspects {
		distinct[fp] = false
	}
	if len(distinct) == 1 {
		distinct[suspects[0]] = true
	}
	return r.recordDeath(now, target, incarnation, distinct)
}

func (r *Registry) recordDeath(now time.Time, target request.TargetID, incarnation uint64, suspects map[Fingerprint]bool) []CrashRecord {
	var records []CrashRecord
	for _, fp := range sortedKeys(suspects) {
		records = append(records, CrashRecord{
			Fingerprint: fp,
			Deaths:      []Death{newDeath(now, target, incarnation)},
			Expires:     now.Add(r.params.Retention).Truncate(time.Millisecond),
			Proven:      suspects[fp],
		})
	}
	return r.Merge(now, records)
}

func quarantinedError(now time.Time, record *CrashRecord) *request.Error {
	return request.Refuse(request.CodeQuarantined, http.StatusServiceUnavailable, record.Expires.Sub(now),
		"%d targets died while they ran this request", len(record.Deaths))
}
