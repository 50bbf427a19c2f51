package poison

import (
	"fmt"
	"testing"
	"time"
)

// TestRecordsAreBounded guards against an organisation that displaces the records of others, or fills the memory, with deaths of its own.
func TestRecordsAreBounded(t *testing.T) {
	p := DefaultParams
	p.MaxRecords, p.MaxAnswered = 100, 50
	r := New(p)
	at := epoch
	bad := NewTrait(KindPart, 1, []byte("bad"))
	for n := range p.PartDeaths {
		at = at.Add(time.Second)
		r.OnDeath(at, Report{Death: fmt.Sprint("r", n), Org: 1, At: at, Accused: []Accused{{Trait: bad, Sent: at.Add(-time.Millisecond)}}})
	}
	for n := range 20 * p.MaxRecords {
		at = at.Add(time.Millisecond)
		trait := NewTrait(KindPart, 2, []byte(fmt.Sprint(n)))
		r.OnDeath(at, Report{Death: fmt.Sprint("q", n), Org: 2, At: at, Accused: []Accused{{Trait: trait, Sent: at}}})
		r.OnAnswered(at, nil, []Trait{trait})
		if r.Len() > p.MaxRecords {
			t.Fatalf("%d records", r.Len())
		}
	}
	if !r.IsPoisonous(bad) {
		t.Error("the record of a poisonous trait was displaced")
	}
	if n := len(r.answers.newer) + len(r.answers.older); n > p.MaxAnswered {
		t.Errorf("%d remembered answers", n)
	}
	for n := range 10 * maxDeaths {
		at = at.Add(time.Second)
		r.OnDeath(at, Report{Death: fmt.Sprint("s", n), Org: 1, At: at, Accused: []Accused{{Trait: bad, Sent: at}}})
	}
	if record, _ := r.Record(bad); len(record.Deaths) > maxDeaths || !r.IsPoisonous(bad) {
		t.Errorf("%d deaths, poisonous %t", len(record.Deaths), r.IsPoisonous(bad))
	}
}

// TestMergeIsIdempotent guards against daemons whose records grow or change by being exchanged.
func TestMergeIsIdempotent(t *testing.T) {
	a, b := New(DefaultParams), New(DefaultParams)
	bad := NewTrait(KindPart, 1, []byte("bad"))
	at := epoch
	for n := range 3 {
		at = at.Add(time.Second)
		report := Report{Death: fmt.Sprint("r", n), Org: 1, At: at, Accused: []Accused{{Trait: bad, Sent: at}}}
		a.OnDeath(at, report)
		if n == 1 {
			report.At = at.Add(300 * time.Millisecond) // by another clock
			b.OnDeath(at.Add(time.Second), report)
		}
	}
	b.OnDeath(at.Add(time.Second), Report{Death: "q", Org: 1, At: at.Add(time.Second), Accused: []Accused{{Trait: bad, Sent: at}}})
	for range 3 {
		recordA, _ := a.Record(bad)
		recordB, _ := b.Record(bad)
		a.Merge(at.Add(2*time.Second), []Record{recordB})
		b.Merge(at.Add(2*time.Second), []Record{recordA})
	}
	recordA, _ := a.Record(bad)
	recordB, _ := b.Record(bad)
	if !Covers(recordA, recordB) || !Covers(recordB, recordA) || len(recordA.Deaths) != 4 || !a.IsPoisonous(bad) {
		t.Errorf("%+v and %+v", recordA, recordB)
	}
}

// TestMergeCountsDeathsOfUnknownStarts guards against deaths of one id that count once more because another daemon's clock differs, and
// against those that a daemon which starts does not learn.
func TestMergeCountsDeathsOfUnknownStarts(t *testing.T) {
	const skew = 5 * time.Second
	bad := NewTrait(KindPart, 1, []byte("bad"))
	a, b := New(DefaultParams), New(DefaultParams)
	at := epoch
	for range 4 {
		at = at.Add(2 * time.Second)
		report := Report{Death: DeathID("r", 0), Org: 1, At: at, Accused: []Accused{{Trait: bad, Sent: at.Add(-time.Millisecond)}}}
		a.OnDeath(at, report)
		report.At = at.Add(skew)
		report.Accused[0].Sent = report.At.Add(-time.Millisecond)
		b.OnDeath(report.At, report)
	}
	late := at.Add(time.Minute)
	recordA, _ := a.Record(bad)
	recordB, _ := b.Record(bad)
	starts := New(DefaultParams)
	for _, to := range []*Registry{a, b, starts} {
		to.Merge(late, []Record{recordA})
		to.Merge(late, []Record{recordB})
		to.Merge(late, []Record{recordA})
		if r, _ := to.Record(bad); len(r.Deaths) != 4 || !to.IsPoisonous(bad) {
			t.Errorf("%d deaths, want 4: %+v", len(r.Deaths), r.Deaths)
		}
	}
}
