package loadshare

import (
	"context"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellscale/bluebellscale/internal/policy/borrow"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

func goodRoom() *Room {
	return &Room{Service: 5, Group: 1, Groups: 8, Slots: 100, Tokens: 5000, Waiting: 2, AgeMs: 300}
}

// Impossible numbers in a peer's datagram must not steer traffic, and must not fill the log.
func TestImpossibleRoomsAreDroppedAndNamed(t *testing.T) {
	for field, change := range map[string]func(*Room){
		"age_ms":   func(r *Room) { r.AgeMs = -1 },
		"group":    func(r *Room) { r.Group = 8 },
		"groups":   func(r *Room) { r.Groups = -8 },
		"slots":    func(r *Room) { r.Slots = 1 << 30 },
		"tokens":   func(r *Room) { r.Tokens = -1 },
		"waiting":  func(r *Room) { r.Waiting = -1 << 31 },
		"withheld": func(r *Room) { r.Withheld = make([]uint64, borrow.MaxWithheld+1) },
	} {
		n := start(t, "a")
		var log strings.Builder
		n.o.Logger = hclog.New(&hclog.LoggerOptions{Output: &log})
		var got []GroupRoom
		n.o.OnRooms = func(_ request.DaemonID, rooms []GroupRoom) { got = append(got, rooms...) }
		bad := goodRoom()
		change(bad)
		for range 50 {
			n.apply(context.Background(), time.Now(), &Report{From: "b", ChangesOnly: true, Rooms: []*Room{bad, goodRoom()}})
		}
		if len(got) != 50 {
			t.Errorf("%s: %d rooms are passed on, want the 50 possible ones", field, len(got))
		}
		if lines := strings.Count(log.String(), "\n"); lines != 1 || !strings.Contains(log.String(), field+" is") {
			t.Errorf("%s: %d log lines: %s", field, lines, log.String())
		}
	}
}

// A digest's age must survive the datagram: what a slow daemon passes on must not look new.
func TestRoomKeepsItsAge(t *testing.T) {
	now := time.Now()
	want := GroupRoom{Service: 9, Digest: borrow.Digest{Group: 1, Groups: 8, Room: borrow.Room{Slots: 3, Tokens: 4}, Waiting: 5, Withheld: []uint64{6, 7}, CountedAt: now.Add(-700 * time.Millisecond)}}
	raw, err := proto.Marshal(want.Message(now))
	if err != nil {
		t.Fatal(err)
	}
	var message Room
	if err := proto.Unmarshal(raw, &message); err != nil {
		t.Fatal(err)
	}
	if got, err := parseRoom(now, &message); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
}

// A digest must reach a daemon of another group in one datagram, and its peers with the next report.
func TestRoomsReachOtherGroupsAndPeers(t *testing.T) {
	a, b, c := start(t, "a"), start(t, "b"), start(t, "c")
	ctx, cancel := context.WithCancel(context.Background())
	received := make(chan []GroupRoom, 10)
	b.peers = []netip.AddrPort{netip.MustParseAddrPort(c.conn.LocalAddr().String())}
	b.o.OnRooms = func(_ request.DaemonID, rooms []GroupRoom) { b.PassOnRooms(rooms) }
	c.o.OnRooms = func(from request.DaemonID, rooms []GroupRoom) {
		if from == "b" {
			received <- rooms
		}
	}
	done := make(chan struct{}, 2)
	for _, n := range []*node{b, c} {
		go func() {
			_ = n.Run(ctx) // ends with ctx
			done <- struct{}{}
		}()
	}
	defer func() {
		cancel()
		<-done
		<-done
		a.conn.Close()
	}()
	counted := time.Now().Add(-300 * time.Millisecond)
	sent := GroupRoom{Service: 9, Digest: borrow.Digest{Group: 1, Groups: 8, Room: borrow.Room{Slots: 3, Tokens: 4}, CountedAt: counted}}
	a.SendRooms([]GroupRoom{sent}, netip.MustParseAddrPort(b.conn.LocalAddr().String()))
	select {
	case rooms := <-received:
		got := rooms[0]
		if late := got.CountedAt.Sub(counted).Abs(); late > time.Second {
			t.Errorf("the digest's age changed by %s", late)
		}
		if got.CountedAt = counted; len(rooms) != 1 || !reflect.DeepEqual(got, sent) {
			t.Errorf("got %+v, want %+v", rooms, sent)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the digest was not passed on")
	}
}

// With more services than a datagram holds, the same ones must not be dropped each time, on the way to another group or to
// the peers.
func TestRoomsOfManyServicesAllArrive(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	defer a.conn.Close()
	defer b.conn.Close()
	const services = 40
	rooms := make([]GroupRoom, services)
	for i := range rooms {
		rooms[i] = GroupRoom{Service: ServiceHash(i), Digest: borrow.Digest{Group: 1, Groups: 8, Room: borrow.Room{Slots: 3, Tokens: 4}, Withheld: make([]uint64, borrow.MaxWithheld), CountedAt: time.Now()}}
	}
	got := map[ServiceHash]bool{}
	b.o.OnRooms = func(_ request.DaemonID, rooms []GroupRoom) {
		for _, room := range rooms {
			got[room.Service] = true
		}
	}
	a.SendRooms(rooms, netip.MustParseAddrPort(b.conn.LocalAddr().String()))
	buffer := make([]byte, readBuffer)
	for len(got) < services {
		if err := b.conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		n, _, err := b.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			t.Fatalf("%d of %d services arrive: %v", len(got), services, err)
		}
		if n > maxDatagram {
			t.Errorf("a datagram has %d bytes", n)
		}
		var r Report
		if err := proto.Unmarshal(buffer[:n], &r); err != nil {
			t.Fatal(err)
		}
		b.apply(context.Background(), time.Now(), &r)
	}
	clear(got)
	b.PassOnRooms(rooms)
	for range services {
		if r := b.nextReport(time.Now()); r != nil {
			b.applyRooms(time.Now(), r)
		}
	}
	if len(got) != services {
		t.Errorf("%d of %d services are passed on", len(got), services)
	}
}

// A daemon that counts more waiting requests than a peer believes must not have its digests dropped.
func TestWaitingInDigestIsBounded(t *testing.T) {
	now := time.Now()
	for waiting, want := range map[int]int{5: 5, 1 << 22: borrow.MaxWaiting, 1 << 40: borrow.MaxWaiting} {
		room := GroupRoom{Digest: borrow.Digest{Group: 1, Groups: 8, Waiting: waiting, CountedAt: now}}
		if got, err := parseRoom(now, room.Message(now)); err != nil || got.Waiting != want {
			t.Errorf("%d waiting requests arrive as %d, %v", waiting, got.Waiting, err)
		}
	}
}

// What waits to be passed on must not grow while this daemon sends nothing.
func TestQueuedRoomsAreBounded(t *testing.T) {
	n := start(t, "a")
	for range 1000 {
		n.PassOnRooms(make([]GroupRoom, 10))
	}
	if len(n.rooms) != maxQueuedRooms {
		t.Errorf("%d rooms are queued", len(n.rooms))
	}
	if r := n.nextReport(time.Now()); len(r.Rooms) != maxRooms || len(n.rooms) != maxQueuedRooms-maxRooms {
		t.Errorf("%d rooms are sent and %d left", len(r.Rooms), len(n.rooms))
	}
}

// The daemons of a group must know what a daemon of another group runs at their replicas, and when it ends: otherwise
// they fill them as if they were idle.
func TestLendersHearOfBorrowedWork(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	defer a.conn.Close()
	lender := netip.MustParseAddrPort(b.conn.LocalAddr().String())
	a.o.Lenders = func(*replicas.Replica) (int, []netip.AddrPort) { return 3, []netip.AddrPort{lender} }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		b.receive(ctx)
		close(done)
	}()
	defer func() {
		cancel()
		b.conn.Close()
		<-done
	}()
	flight := a.set.Get("r").Load.Begin(100, 60)
	a.report(time.Now())
	awaitWork(t, b, replicas.Work{Requests: 1, Tokens: 100, Prefill: 60})
	flight.End()
	a.report(time.Now().Add(lenderInterval))
	awaitWork(t, b, replicas.Work{})
}

func awaitWork(t *testing.T, n *node, want replicas.Work) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); n.set.Get("r").Load.Total(time.Now()) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the lender sees %+v, want %+v", n.set.Get("r").Load.Total(time.Now()), want)
		}
	}
}

// Borrowed work that ends just when a full report is due, while other work goes on elsewhere, must not count at the
// lender until it expires.
func TestLendersHearOfEndWithFullReport(t *testing.T) {
	a := start(t, "a")
	defer a.conn.Close()
	a.set.Apply(time.Now(), replicas.Change{Present: []replicas.Info{{ID: "own", Service: "s", Address: "127.0.0.1:2"}}})
	lent := a.set.Get("r")
	now := time.Now()
	a.set.Get("own").Load.Begin(10, 5)
	flight := lent.Load.Begin(100, 60)
	a.nextReport(now)
	flight.End()
	r := a.nextReport(now.Add(fullReportInterval))
	if r.ChangesOnly {
		t.Fatal("no full report is due")
	}
	for _, w := range r.Work {
		if w.Replica == lent.Hash() && proto.Equal(w, &Work{Replica: lent.Hash()}) {
			return
		}
	}
	t.Errorf("the end is not reported: %v", r.Work)
}
