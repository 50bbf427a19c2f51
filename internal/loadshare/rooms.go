package loadshare

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/policy/borrow"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	maxRooms = 12 // in one datagram, 30 to 100 bytes each
	// maxQueuedRooms bounds those that wait to be passed on.
	maxQueuedRooms = 64
	// maxRoomAge bounds the age that a digest may claim: that of one passed on by a slow daemon.
	maxRoomAge = time.Minute
	// badReportLogInterval bounds the log lines about impossible numbers.
	badReportLogInterval = time.Second
)

// ServiceHash identifies a service in datagrams.
type ServiceHash uint64

// HashService returns the hash of a service's ID.
func HashService(id routing.ServiceID) ServiceHash {
	return ServiceHash(xxhash.Sum64String(string(id)))
}

// GroupRoom is the room of a group for one service.
type GroupRoom struct {
	Service ServiceHash
	borrow.Digest
}

// Message returns the wire format of a room, as it is sent at now.
func (g GroupRoom) Message(now time.Time) *Room {
	return &Room{
		Service: uint64(g.Service), Group: int32(g.Group), Groups: int32(g.Groups),
		Slots: int32(g.Slots), Tokens: int32(g.Tokens), Waiting: int32(min(g.Waiting, borrow.MaxWaiting)), AgeMs: int32(now.Sub(g.CountedAt).Milliseconds()),
		Withheld: g.Withheld,
	}
}

// parseRoom returns a room that was received at now, or an error that names the field with an impossible number.
func parseRoom(now time.Time, r *Room) (GroupRoom, error) {
	age := time.Duration(r.AgeMs) * time.Millisecond
	if age < 0 || age > maxRoomAge {
		return GroupRoom{}, errors.Newf("loadshare: age_ms is %d, want 0 to %d", r.AgeMs, maxRoomAge.Milliseconds())
	}
	g := GroupRoom{Service: ServiceHash(r.Service), Digest: borrow.Digest{
		Group: int(r.Group), Groups: int(r.Groups), Room: borrow.Room{Slots: int(r.Slots), Tokens: int(r.Tokens)},
		Waiting: int(r.Waiting), Withheld: r.Withheld, CountedAt: now.Add(-age),
	}}
	return g, g.Validate()
}

// SendRooms sends the room of this daemon's group to a daemon of another group.
func (s *Reporter) SendRooms(rooms []GroupRoom, to netip.AddrPort) {
	for chunk := range slices.Chunk(rooms, maxRooms) {
		s.send(&Report{From: string(s.o.Self), ChangesOnly: true, Rooms: messages(chunk)}, []netip.AddrPort{to})
	}
}

// PassOnRooms adds the room of another group to the next reports to peers.
func (s *Reporter) PassOnRooms(rooms []GroupRoom) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rooms = append(s.rooms, rooms...)
	s.rooms = s.rooms[max(0, len(s.rooms)-maxQueuedRooms):]
	s.Wake()
}

func messages(rooms []GroupRoom) []*Room {
	now := time.Now()
	out := make([]*Room, len(rooms))
	for i, g := range rooms {
		out[i] = g.Message(now)
	}
	return out
}

// applyRooms passes on the possible ones of received rooms.
func (s *Reporter) applyRooms(now time.Time, r *Report) {
	if s.o.OnRooms == nil || len(r.Rooms) == 0 {
		return
	}
	rooms := make([]GroupRoom, 0, min(len(r.Rooms), maxRooms))
	for _, room := range r.Rooms[:min(len(r.Rooms), maxRooms)] {
		g, err := parseRoom(now, room)
		if err != nil {
			s.badRooms.Do(func() { s.o.Logger.Warn("Ignoring the room of a group", "from", r.From, "error", err) })
			continue
		}
		rooms = append(rooms, g)
	}
	s.o.OnRooms(request.DaemonID(r.From), rooms)
}
