package origin

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream over all requests of its caller.
type Key uint64

// KeyOf returns the key of the stream that a request began. It contains the organisation, so that no organisation's records
// concern another's streams.
func KeyOf(service, org, request string) Key {
	d := xxhash.New()
	for _, part := range []string{service, org, request} {
		_, _ = d.WriteString(part) // never fails
		_, _ = d.Write([]byte{0})
	}
	return Key(d.Sum64())
}

// UnknownSoftware stands in a record for a version that was not known: the replica's process may have been another one than
// that of its entry. Such a stream doesn't go on.
const UnknownSoftware = "\x00"

// Record says at which version a stream began.
type Record struct {
	Key      Key
	Software string
}

// Records are the records that a daemon keeps. They are bounded: the oldest yields. It is not safe for concurrent use.
type Records struct {
	max   int
	byKey map[Key]*list.Element
	order list.List // of *kept, the oldest in front
}

type kept struct {
	Record
	conflict bool
	at       time.Time
}

// NewRecords returns an empty table of at most max records.
func NewRecords(max int) *Records { return &Records{max: max, byKey: map[Key]*list.Element{}} }

// Len returns the number of records.
func (r *Records) Len() int { return len(r.byKey) }

// Add adds a record, or renews it. Two records of one stream that name different versions make it conflicting for good.
func (r *Records) Add(now time.Time, record Record) {
	if e := r.byKey[record.Key]; e != nil {
		k := e.Value.(*kept)
		k.conflict = k.conflict || k.Software != record.Software
		k.at = now
		r.order.MoveToBack(e)
		return
	}
	if len(r.byKey) >= r.max {
		r.remove(r.order.Front())
	}
	r.byKey[record.Key] = r.order.PushBack(&kept{Record: record, at: now})
}

// Find returns what is recorded of a stream.
func (r *Records) Find(key Key) Finding {
	e := r.byKey[key]
	if e == nil {
		return Finding{}
	}
	k := e.Value.(*kept)
	return Finding{Found: true, Software: k.Software, Conflict: k.conflict}
}

// All returns the records without a conflict, the oldest in front.
func (r *Records) All() []Record {
	out := make([]Record, 0, len(r.byKey))
	for e := r.order.Front(); e != nil; e = e.Next() {
		if k := e.Value.(*kept); !k.conflict {
			out = append(out, k.Record)
		}
	}
	return out
}

// Prune forgets records that were added or renewed longer than keep ago.
func (r *Records) Prune(now time.Time, keep time.Duration) {
	for e := r.order.Front(); e != nil && now.Sub(e.Value.(*kept).at) > keep; e = r.order.Front() {
		r.remove(e)
	}
}

func (r *Records) remove(e *list.Element) {
	delete(r.byKey, e.Value.(*kept).Key)
	r.order.Remove(e)
}
