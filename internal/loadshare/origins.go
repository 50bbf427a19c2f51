package loadshare

import (
	"net/netip"

	"github.com/bluebellscale/bluebellscale/internal/policy/origin"
)

// maxOrigins is the number of records of streams in one datagram. A record has 14 to 80 bytes.
const maxOrigins = 16

// SendOrigins sends records of streams to a daemon at once. They may be lost on the way.
func (s *Reporter) SendOrigins(to netip.AddrPort, records []origin.Record) {
	for len(records) > 0 {
		n := min(len(records), maxOrigins)
		s.send(&Report{From: string(s.o.Self), Origins: originMessages(records[:n])}, []netip.AddrPort{to})
		records = records[n:]
	}
}

func originMessages(records []origin.Record) []*Origin {
	out := make([]*Origin, len(records))
	for i, r := range records {
		out[i] = &Origin{Stream: uint64(r.Key), Software: r.Software}
	}
	return out
}

func (s *Reporter) applyOrigins(messages []*Origin) {
	if s.o.OnOrigins == nil {
		return
	}
	records := make([]origin.Record, len(messages))
	for i, m := range messages {
		records[i] = origin.Record{Key: origin.Key(m.Stream), Software: m.Software}
	}
	s.o.OnOrigins(records)
}
