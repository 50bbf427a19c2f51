package quarantine

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/cespare/xxhash/v2"
)

// Death names one death of one target, for example "t1@7". Two daemons that see the
// same death give it the same name, so that it counts once.
type Death string

// unknownWindow tells deaths apart where the target's incarnation is not known. A
// death that two daemons see on either side of its end counts twice.
const unknownWindow = time.Minute

func deathOf(now time.Time, target request.TargetID, incarnation uint64) Death {
	if incarnation == 0 {
		return Death(string(target) + "@" + now.UTC().Truncate(unknownWindow).Format(time.RFC3339))
	}
	return Death(string(target) + "@" + strconv.FormatUint(incarnation, 10))
}

// CrashRecord says which targets died with a fingerprint in flight. It corresponds to
// peer.Finding.
type CrashRecord struct {
	Fingerprint Fingerprint
	Deaths      []Death // sorted, without repeats
	Expires     time.Time
	// Proven is set once a target died with nothing else in flight. Requests of others
	// that ran beside the cause have deaths, too, but none of these.
	Proven bool
	// Answered is set once a target ran the request to its end. It clears findings that
	// are counted (Params.Counted).
	Answered bool `json:",omitempty"`
}

// Merge takes findings of peers or of the store, and returns those that changed what
// is known here. A merged finding has the deaths of both and the later expiry, so that
// merging is idempotent and the order does not matter.
func (r *Registry) Merge(now time.Time, findings []CrashRecord) []CrashRecord {
	var changed []CrashRecord
	for _, f := range findings {
		if !f.Expires.After(now) || len(f.Deaths) == 0 {
			continue
		}
		known := r.finding(now, f.Fingerprint)
		if known == nil {
			known = &CrashRecord{Fingerprint: f.Fingerprint}
			r.findings[f.Fingerprint] = known
		}
		if known.absorb(f) {
			changed = append(changed, known.clone())
		}
	}
	r.trim()
	return changed
}

// absorb adds what another finding knows and reports whether that is anything new.
func (f *CrashRecord) absorb(other CrashRecord) bool {
	changed := other.Expires.After(f.Expires)
	if changed {
		f.Expires = other.Expires
	}
	if other.Proven && !f.Proven {
		f.Proven = true
		changed = true
	}
	if other.Answered && !f.Answered {
		f.Answered = true
		changed = true
	}
	for _, death := range other.Deaths {
		if i, ok := slices.BinarySearch(f.Deaths, death); !ok {
			f.Deaths = slices.Insert(f.Deaths, i, death)
			changed = true
		}
	}
	return changed
}

func (f *CrashRecord) clone() CrashRecord {
	out := *f
	out.Deaths = slices.Clone(f.Deaths)
	return out
}

// All returns the findings that count now, by fingerprint.
func (r *Registry) All(now time.Time) []CrashRecord {
	r.expire(now)
	out := make([]CrashRecord, 0, len(r.findings))
	for _, f := range r.findings {
		out = append(out, f.clone())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Fingerprint < out[j].Fingerprint })
	return out
}

// Hash covers All. Two registers with the same hash have nothing to tell each other.
func (r *Registry) Hash(now time.Time) uint64 {
	r.expire(now)
	var sum uint64
	for _, f := range r.findings {
		h := xxhash.New()
		write := func(s string) {
			_, _ = h.WriteString(s) // never fails
			_, _ = h.WriteString("\x00")
		}
		write(string(f.Fingerprint))
		write(strconv.FormatInt(f.Expires.UnixMilli(), 10))
		for _, death := range f.Deaths {
			write(string(death))
		}
		write(strconv.FormatBool(f.Proven))
		write(strconv.FormatBool(f.Answered))
		sum += h.Sum64()
	}
	return sum
}

// finding returns what is known of a fingerprint, or nil.
func (r *Registry) finding(now time.Time, fp Fingerprint) *CrashRecord {
	f, ok := r.findings[fp]
	if !ok {
		return nil
	}
	if !f.Expires.After(now) {
		delete(r.findings, fp)
		return nil
	}
	return f
}

func (r *Registry) expire(now time.Time) {
	for fp := range r.findings {
		r.finding(now, fp)
	}
}

// trim keeps the register within its bound. Each finding costs a target's life, so a
// caller can't push others out cheaply.
func (r *Registry) trim() {
	for len(r.findings) > r.params.MaxRecords {
		var first *CrashRecord
		for _, f := range r.findings {
			if first == nil || f.Expires.Before(first.Expires) || (f.Expires.Equal(first.Expires) && f.Fingerprint < first.Fingerprint) {
				first = f
			}
		}
		delete(r.findings, first.Fingerprint)
	}
}

func keys(set map[Fingerprint]bool) []Fingerprint {
	out := make([]Fingerprint, 0, len(set))
	for fp := range set {
		out = append(out, fp)
	}
	slices.Sort(out)
	return out
}
