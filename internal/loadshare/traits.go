package loadshare

import (
	"net/netip"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/poison"
)

const (
	// maxTraitDeaths bounds the deaths in one datagram of records, 40 bytes each, and maxTraitRecords the records, 50 bytes each.
	maxTraitDeaths  = 20
	maxTraitRecords = 12
	// maxAccused bounds the traits in one message of a death; a request with more is reported in several.
	maxAccused = 8
)

// ReportDeath reports to all daemons, within one tick, that a replica died while it ran a request.
func (s *Reporter) ReportDeath(report poison.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for accused := report.Accused; len(accused) > 0; {
		n := min(len(accused), maxAccused)
		part := report
		part.Accused, accused = accused[:n], accused[n:]
		s.deaths = append(s.deaths, part)
	}
	s.Wake()
}

// SendTraits sends records of traits to some daemons at once. They may be lost on the way.
func (s *Reporter) SendTraits(to []netip.AddrPort, records []poison.Record) {
	for len(records) > 0 {
		n, deaths := 0, 0
		for n < len(records) && n < maxTraitRecords && (n == 0 || deaths+len(records[n].Deaths) <= maxTraitDeaths) {
			deaths += len(records[n].Deaths)
			n++
		}
		s.send(&Report{From: string(s.o.Self), Traits: recordMessages(records[:n])}, to)
		records = records[n:]
	}
}

func (s *Reporter) applyTraits(messages []*TraitRecord) {
	if s.o.OnTraits == nil {
		return
	}
	records := make([]poison.Record, 0, len(messages))
	for _, m := range messages {
		trait, ok := traitOf(m.Trait)
		if !ok {
			s.o.Logger.Debug("Ignoring a record of an unknown trait")
			continue
		}
		r := poison.Record{Trait: trait, Answered: poison.FromUnixMilli(m.AnsweredMs), Trial: poison.FromUnixMilli(m.TrialMs)}
		for _, d := range m.Deaths {
			r.Deaths = append(r.Deaths, poison.Death{ID: d.Id, Org: poison.Org(d.Org), Sent: time.UnixMilli(d.SentMs), At: time.UnixMilli(d.AtMs)})
		}
		records = append(records, r)
	}
	s.o.OnTraits(records)
}

func recordMessages(records []poison.Record) []*TraitRecord {
	out := make([]*TraitRecord, len(records))
	for i, r := range records {
		out[i] = &TraitRecord{Trait: traitMessage(r.Trait), AnsweredMs: poison.UnixMilli(r.Answered), TrialMs: poison.UnixMilli(r.Trial)}
		for _, d := range r.Deaths {
			out[i].Deaths = append(out[i].Deaths, &TraitDeath{Id: d.ID, Org: uint64(d.Org), SentMs: d.Sent.UnixMilli(), AtMs: d.At.UnixMilli()})
		}
	}
	return out
}

// deathMessages returns messages whose times are relative, since daemons' clocks differ.
func deathMessages(now time.Time, reports []poison.Report) []*Death {
	out := make([]*Death, len(reports))
	for i, r := range reports {
		out[i] = &Death{Replica: r.Death, Org: uint64(r.Org), AgeMs: int32(now.Sub(r.At).Milliseconds())}
		for _, a := range r.Accused {
			out[i].Accused = append(out[i].Accused, &Accused{Trait: traitMessage(a.Trait), SentBeforeMs: int32(r.At.Sub(a.Sent).Milliseconds())})
		}
	}
	return out
}

func deathReport(now time.Time, d *Death) poison.Report {
	at := now.Add(-time.Duration(max(0, d.AgeMs)) * time.Millisecond)
	r := poison.Report{Death: d.Replica, Org: poison.Org(d.Org), At: at}
	for _, a := range d.Accused {
		if trait, ok := traitOf(a.Trait); ok {
			r.Accused = append(r.Accused, poison.Accused{Trait: trait, Sent: at.Add(-time.Duration(max(0, a.SentBeforeMs)) * time.Millisecond)})
		}
	}
	return r
}

func traitMessage(t poison.Trait) *Trait {
	return &Trait{Kind: int32(t.Kind), Org: uint64(t.Org), Key: t.Key[:]}
}

// traitOf returns the trait of a message; ok is false if this version does not know its kind.
func traitOf(m *Trait) (t poison.Trait, ok bool) {
	if m == nil || len(m.Key) != poison.KeyBytes || m.Kind < 0 || m.Kind > int32(^uint8(0)) {
		return t, false
	}
	t = poison.Trait{Kind: poison.Kind(m.Kind), Org: poison.Org(m.Org), Key: poison.Key(m.Key)}
	return t, t.Kind.Valid()
}
