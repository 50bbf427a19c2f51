package quarantine

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/cespare/xxhash/v2"
)

// Death identifies the death of a target, for example "t1@7". Two daemons that observe the same death
// derive the same identifier, so that it counts once.
type Death string

// deathWindow is the period within which all deaths of a target with unknown incarnation count as one.
// A death that two daemons observe on either side of a boundary counts twice.
const deathWindow = time.Minute

func newDeath(now time.Time, target request.TargetID, incarnation uint64) Death {
	if incarnation == 0 {
		return Death(string(target) + "@" + now.UTC().Truncate(deathWindow).Format(time.RFC3339))
	}
	return Death(string(target) + "@" + strconv.FormatUint(incarnation, 10))
}

// CrashRecord lists the targets that died with a fingerprint in flight. It corresponds to peer.Finding.
type CrashRecord struct {
	Fingerprint Fingerprint
	Deaths      []Death // sorted, without duplicates
	Expires     time.Time
	// Proven is set once a target died with no other request in flight. Requests of others that ran
	// beside the cause have deaths as well, but no such death.
	Proven bool
}

// Merge merges records of peers or of the key-value service, and returns the local records that
// changed. A merged record has the deaths of both and the later expiry, so that merging is idempotent
// and independent of the order.
func (r *Registry) Merge(now time.Time, records []CrashRecord) []CrashRecord {
	var changed []CrashRecord
	for _, record := range records {
		if !record.Expires.After(now) || len(record.Deaths) == 0 {
			continue
		}
		known := r.record(now, record.Fingerprint)
		if known == nil {
			known = &CrashRecord{Fingerprint: record.Fingerprint}
			r.records[record.Fingerprint] = known
		}
		if known.merge(record) {
			changed = append(changed, known.clone())
		}
	}
	r.evict()
	return changed
}

// merge adds the content of another record and reports whether anything changed.
func (c *CrashRecord) merge(other CrashRecord) bool {
	changed := other.Expires.After(c.Expires)
	if changed {
		c.Expires = other.Expires
	}
	if other.Proven && !c.Proven {
		c.Proven = true
		changed = true
	}
	for _, death := range other.Deaths {
		if i, ok := slices.BinarySearch(c.Deaths, death); !ok {
			c.Deaths = slices.Insert(c.Deaths, i, death)
			changed = true
		}
	}
	return changed
}

func (c *CrashRecord) clone() CrashRecord {
	out := *c
	out.Deaths = slices.Clone(c.Deaths)
	return out
}

// All returns the records that have not expired, by fingerprint.
func (r *Registry) All(now time.Time) []CrashRecord {
	r.removeExpired(now)
	out := make([]CrashRecord, 0, len(r.records))
	for _, record := range r.records {
		out = append(out, record.clone())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Fingerprint < out[j].Fingerprint })
	return out
}

// Hash covers All. Two registries with equal hashes need not exchange records.
func (r *Registry) Hash(now time.Time) uint64 {
	r.removeExpired(now)
	var sum uint64
	for _, record := range r.records {
		h := xxhash.New()
		write := func(s string) {
			_, _ = h.WriteString(s) // never fails
			_, _ = h.WriteString("\x00")
		}
		write(string(record.Fingerprint))
		write(strconv.FormatInt(record.Expires.UnixMilli(), 10))
		for _, death := range record.Deaths {
			write(string(death))
		}
		write(strconv.FormatBool(record.Proven))
		sum += h.Sum64()
	}
	return sum
}

// record returns the record of a fingerprint, or nil if there is none.
func (r *Registry) record(now time.Time, fp Fingerprint) *CrashRecord {
	record, ok := r.records[fp]
	if !ok {
		return nil
	}
	if !record.Expires.After(now) {
		delete(r.records, fp)
		return nil
	}
	return record
}

func (r *Registry) removeExpired(now time.Time) {
	for fp := range r.records {
		r.record(now, fp)
	}
}

// evict keeps the registry within its bound. Each record costs the life of a target, so that a caller
// can't cheaply evict other records.
func (r *Registry) evict() {
	for len(r.records) > r.params.MaxRecords {
		var first *CrashRecord
		for _, record := range r.records {
			if first == nil || record.Expires.Before(first.Expires) || (record.Expires.Equal(first.Expires) && record.Fingerprint < first.Fingerprint) {
				first = record
			}
		}
		delete(r.records, first.Fingerprint)
	}
}

func sortedKeys(set map[Fingerprint]bool) []Fingerprint {
	out := make([]Fingerprint, 0, len(set))
	for fp := range set {
		out = append(out, fp)
	}
	slices.Sort(out)
	return out
}
