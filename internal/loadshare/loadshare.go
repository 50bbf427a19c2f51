// Package loadshare exchanges the load that each daemon puts on the replicas, so that each daemon can
// place its requests as if it saw all of them.
//
// Datagrams carry the changed counts several times a second, and all counts less often. A lost
// datagram is made up for by the next one with all counts. The load of a peer that stops reporting
// expires. Correctness never depends on these datagrams.
package loadshare

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellscale/bluebellscale/internal/placer"
	"github.com/bluebellscale/bluebellscale/internal/policy/origin"
	"github.com/bluebellscale/bluebellscale/internal/policy/poison"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
	"github.com/bluebellscale/bluebellscale/internal/weights"
)

const (
	// reportInterval bounds the age of what peers know. A prompt takes 30 ms to some hundred, so that
	// peers learn of most prompts before they end.
	reportInterval = 60 * time.Millisecond
	// fullReportInterval is how often all work is reported, changed or not. It is shorter than the time
	// after which peers drop it.
	fullReportInterval = 400 * time.Millisecond
	// reportSlack is how much earlier than that a full report may be due, since timers vary.
	reportSlack = reportInterval / 2
	// maxDatagram is the size up to which a datagram fits in one packet.
	maxDatagram = 1400
	maxPlaced   = 12 // prompts in one datagram, 40 to 60 bytes each
	maxDeaths   = 4  // in one datagram, with the traits of a request: 35 bytes each
	maxLimits   = 24 // in one datagram, 24 bytes each
	maxSpeeds   = 8  // in one datagram, 24 bytes each
	readBuffer  = 64 << 10
	// answerStep is how much newer than the last reported answer of the key-value service one must be to be reported
	// before the next full report.
	answerStep = 300 * time.Millisecond
	// refusalBackoff is how long a replica that refused to run a peer's request is avoided. The report
	// of the refusal is up to one tick old.
	refusalBackoff = 240 * time.Millisecond
)

// Options configures a Reporter.
type Options struct {
	Self    request.DaemonID
	Address string // UDP address to listen on
	// Peers returns the daemons that use the same replicas, and Others all other daemons.
	Peers  func() []netip.AddrPort
	Others func() []netip.AddrPort
	// Informs returns the daemons to which changes of the key-value service are announced, besides a random
	// one; nil: Peers.
	Informs func() []netip.AddrPort
	Set     *replicas.Set
	// Revisions returns the newest known changes of the key-value service. OnRevisions receives those
	// of a peer. RevisionsDue reports whether to report changed revisions now, given those that were
	// reported last and how long ago; nil: at once.
	Revisions    func() []uint64
	RevisionsDue func(before, now []uint64, age time.Duration) bool
	OnRevisions  func(peer string, revisions []uint64)
	// Watches reports whether this daemon receives changes from the key-value service directly, and the age of
	// the service's newest answer as of which it knows all of them. OnWatcher is called when a peer reports that.
	// Nil: the daemon has no watch, or reports are ignored.
	Watches   func() (age time.Duration, ok bool)
	OnWatcher func(age time.Duration)
	// Relays reports whether this daemon passes on the changes that it hears from a watching daemon, and the age of
	// the newest answer to such a daemon. OnRelay is called when a peer reports that. Nil: as for Watches and
	// OnWatcher.
	Relays  func() (age time.Duration, ok bool)
	OnRelay func(age time.Duration)
	// Failing reports whether the key-value service does not answer this daemon. OnFailing is called when a
	// peer reports that. Nil: as for Watches and OnWatcher.
	Failing   func() bool
	OnFailing func(peer request.DaemonID)
	// OnReport is called for each datagram of a peer; nil: not called.
	OnReport func(peer request.DaemonID)
	// OnDeath is called for a replica that died while it ran a peer's request, and OnTraits receives records of traits; nil: reports are
	// ignored.
	OnDeath  func(poison.Report)
	OnTraits func([]poison.Record)
	// Backlog returns what waits in this daemon, the most urgent first; nil: nothing is reported.
	Backlog func() []Demand
	// OnRooms receives the room of groups; nil: it is ignored.
	OnRooms func(from request.DaemonID, rooms []GroupRoom)
	// Lost returns the services none of whose replicas this daemon reaches; nil: it reaches some of all.
	Lost func() []routing.ServiceID
	// OnRestarts is told that a peer has named all replicas that it saw signs of a restart of since a time; nil: it is ignored.
	OnRestarts func(since time.Time)
	// OnOrigins receives records of streams; nil: they are ignored.
	OnOrigins func([]origin.Record)
	// Lenders returns the daemons that hear of work at a replica, besides Peers; nil: none do.
	Lenders LendersFunc
	Logger  hclog.Logger
}

// PacketConn is a socket for datagrams.
type PacketConn interface {
	net.PacketConn
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (n int, err error)
}

// Reporter reports this daemon's load to its peers and applies their reports. It is safe for concurrent use.
type Reporter struct {
	o      Options
	conn   PacketConn
	Placer *placer.PromptPlacer // records what peers placed; must be set before Run
	news   chan struct{}        // has an element if there may be something new to report

	mu             sync.Mutex
	placed         []*Placed
	states         []*State            // sent to all daemons, as any may use the replica
	unreachable    []uint64            // replicas that accept no connections; sent to the daemons that use them
	restartsSince  time.Duration       // see ReportRestarts; 0: unreachable is not complete
	refusing       []uint64            // replicas that refused a request; sent to the daemons that use them
	leaving        []uint64            // replicas that announced in answers that they are leaving; sent to the daemons that use them, and to one other
	limits         []*replicas.Replica // replicas whose rate limits are to be sent
	deaths         []poison.Report     // sent to all daemons, as any may receive such requests
	rooms          []GroupRoom         // of other groups, sent to peers
	lastWork       map[uint64]*Work    // as reported last, by replica
	lastFullReport time.Time           // when all work was reported last
	lastWaiting    time.Time           // when all that waits was reported last

	senders      senders
	badSender    rate.Sometimes
	peerReplicas map[request.DaemonID]map[uint64]bool // replicas in the last reports of each peer

	lenders    lenderReports  // used by report alone
	badRooms   rate.Sometimes // bounds log lines
	badNumbers rate.Sometimes // bounds log lines
	waiting    waitingReport  // guarded by mu
	peerDemand peerDemand
	reach      ownReach // guarded by mu
	peerReach  peerReach

	revisions       []uint64
	access          kvAccess
	revisionsSentAt time.Time
}

// kvAccess says how a daemon learns of changes in the key-value service.
type kvAccess struct {
	watches, relays, failing bool
	watched, relayed         time.Time // newest answer of the service to this daemon, and to one that it hears
}

// isNews reports whether peers are to be told of a changed access at once. They hear of the answers in between with
// the next report.
func (a kvAccess) isNews(before kvAccess) bool {
	if a.watches != before.watches || a.relays != before.relays || a.failing != before.failing {
		return true
	}
	return a.watches && a.watched.Sub(before.watched) >= answerStep || a.relays && a.relayed.Sub(before.relayed) >= answerStep
}

// currentAccess returns how this daemon learns of changes.
func (s *Reporter) currentAccess(now time.Time) kvAccess {
	watchedAge, watches := s.o.Watches()
	relayedAge, relays := s.o.Relays()
	return kvAccess{
		watches: watches, relays: relays, failing: s.o.Failing(), watched: now.Add(-watchedAge), relayed: now.Add(-relayedAge),
	}
}

// ageMs returns the milliseconds from at to now, rounded up.
func ageMs(now, at time.Time) uint32 {
	return uint32(max(0, now.Sub(at)+time.Millisecond-1) / time.Millisecond)
}

// New starts to listen and returns a Reporter.
func New(o Options) (*Reporter, error) {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Logger = o.Logger.Named("loadshare")
	if o.OnDeath == nil {
		o.OnDeath = func(poison.Report) {}
	}
	if o.Watches == nil {
		o.Watches = func() (time.Duration, bool) { return 0, false }
	}
	if o.OnWatcher == nil {
		o.OnWatcher = func(time.Duration) {}
	}
	if o.Relays == nil {
		o.Relays = func() (time.Duration, bool) { return 0, false }
	}
	if o.OnRelay == nil {
		o.OnRelay = func(time.Duration) {}
	}
	if o.Failing == nil {
		o.Failing = func() bool { return false }
	}
	if o.OnReport == nil {
		o.OnReport = func(request.DaemonID) {}
	}
	if o.OnRestarts == nil {
		o.OnRestarts = func(time.Time) {}
	}
	if o.OnFailing == nil {
		o.OnFailing = func(request.DaemonID) {}
	}
	if o.Lost == nil {
		o.Lost = func() []routing.ServiceID { return nil }
	}
	if o.Informs == nil {
		o.Informs = o.Peers
	}
	if o.RevisionsDue == nil {
		o.RevisionsDue = func(before, now []uint64, _ time.Duration) bool { return !slices.Equal(before, now) }
	}
	address, err := net.ResolveUDPAddr("udp", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "loadshare: address")
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "loadshare: listen")
	}
	return &Reporter{o: o, conn: conn, news: make(chan struct{}, 1), badRooms: rate.Sometimes{Interval: badReportLogInterval}, badNumbers: rate.Sometimes{Interval: badReportLogInterval}, badSender: rate.Sometimes{Interval: badReportLogInterval}, peerDemand: peerDemand{badLog: rate.Sometimes{Interval: badReportLogInterval}}, peerReplicas: map[request.DaemonID]map[uint64]bool{}}, nil
}

// WrapConn replaces the connection by what wrap makes of it. It must be called before Run.
func (s *Reporter) WrapConn(wrap func(PacketConn) PacketConn) { s.conn = wrap(s.conn) }

// ReportPlaced queues a placed prompt for the next datagram.
func (s *Reporter) ReportPlaced(r *replicas.Replica, parts []placer.PlacedPart, other int) {
	p := &Placed{Replica: r.Hash(), Other: int32(other)}
	for _, part := range parts {
		p.Parts = append(p.Parts, uint64(part.Key))
		p.Tokens = append(p.Tokens, int32(part.Tokens))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placed = append(s.placed, p)
	s.Wake()
}

// AnnounceState reports a replica's state to all daemons within one tick.
func (s *Reporter) AnnounceState(a weights.State) {
	r := s.o.Set.Get(a.Replica)
	if r == nil {
		return // it was removed, and daemons learn that from the registry
	}
	state := &State{
		Replica: r.Hash(), BusyMs: int32(a.BusyFor.Milliseconds()),
		Model: string(a.Model), Weights: a.WeightsVersion,
	}
	s.mu.Lock()
	s.states = append(s.states, state)
	s.mu.Unlock()
	s.Wake()
}

// ReportUnreachable reports to peers, within one tick, that a replica accepts no connections.
func (s *Reporter) ReportUnreachable(r *replicas.Replica) { enqueueOnce(s, &s.unreachable, r.Hash()) }

// ReportRestarts reports to peers, within one tick, all replicas that may have restarted in the time since.
func (s *Reporter) ReportRestarts(since time.Duration, restarted []*replicas.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range restarted {
		if !slices.Contains(s.unreachable, r.Hash()) {
			s.unreachable = append(s.unreachable, r.Hash())
		}
	}
	s.restartsSince = since
	s.Wake()
}

// ReportRefusing reports to peers, within one tick, that a replica refused to run a request.
func (s *Reporter) ReportRefusing(r *replicas.Replica) { enqueueOnce(s, &s.refusing, r.Hash()) }

// ReportLeaving reports to peers, within one tick, that a replica announced that it is leaving.
func (s *Reporter) ReportLeaving(r *replicas.Replica) { enqueueOnce(s, &s.leaving, r.Hash()) }

// ReportLimit reports the rate limit of a replica to peers within one tick.
func (s *Reporter) ReportLimit(r *replicas.Replica) { enqueueOnce(s, &s.limits, r) }

// enqueueOnce adds a value to a queue unless the queue contains it.
func enqueueOnce[T comparable](s *Reporter, to *[]T, value T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(*to, value) {
		*to = append(*to, value)
		s.Wake()
	}
}

// Run sends reports to peers until ctx ends.
func (s *Reporter) Run(ctx context.Context) error {
	go s.receive(ctx)
	defer s.conn.Close()
	for {
		select {
		case <-s.news:
		case <-time.After(fullReportInterval - reportInterval):
		case <-ctx.Done():
			return nil
		}
		s.report(time.Now())
		_ = sleep.For(ctx, reportInterval) // the loop checks ctx
	}
}

// Wake makes the next report due: there may be something new to report. An idle daemon reports, and wakes
// up, only every fullReportInterval.
func (s *Reporter) Wake() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

func (s *Reporter) report(now time.Time) {
	r := s.nextReport(now)
	s.reportToLenders(now, r)
	if r == nil {
		return
	}
	peers, others, informs := s.o.Peers(), s.o.Others(), s.o.Informs()
	if len(r.Revisions) == 0 {
		s.send(r, peers)
	} else {
		informed, uninformed := split(peers, informs)
		s.send(r, informed)
		s.send(withoutRevisions(r), uninformed)
	}
	shared := &Report{
		From: r.From, Address: r.Address, Revisions: r.Revisions, States: r.States, Deaths: r.Deaths, Limits: r.Limits, Leaving: r.Leaving, Watches: r.Watches, Relays: r.Relays, WatchesAgeMs: r.WatchesAgeMs, RelaysAgeMs: r.RelaysAgeMs, Failing: r.Failing, Reach: r.Reach,
	}
	switch {
	case len(r.States)+len(r.Deaths) > 0:
		s.send(shared, others)
	case len(r.Revisions)+len(r.Limits)+len(r.Leaving) > 0 && len(others) > 0:
		// One other daemon gets the known changes of the key-value service and what replicas announced, so
		// that they spread from group to group.
		n := rand.IntN(len(others))
		s.send(shared, others[n:n+1])
	}
	if len(r.Revisions) > 0 || r.Reach != nil {
		_, notPeers := split(informs, peers)
		s.send(shared, notPeers)
	}
}

// split divides the members of a into those that are in b and those that are not.
func split(a, b []netip.AddrPort) (in, out []netip.AddrPort) {
	for _, address := range a {
		if slices.Contains(b, address) {
			in = append(in, address)
		} else {
			out = append(out, address)
		}
	}
	return in, out
}

// withoutRevisions returns what a report says about replicas, nil if that is nothing.
func withoutRevisions(r *Report) *Report {
	if isEmpty(r) {
		return nil
	}
	return &Report{
		From: r.From, Work: r.Work, ChangesOnly: r.ChangesOnly, Placed: r.Placed, States: r.States, Deaths: r.Deaths,
		Unreachable: r.Unreachable, RestartsSinceMs: r.RestartsSinceMs, Refusing: r.Refusing, Leaving: r.Leaving, Limits: r.Limits, Speeds: r.Speeds,
		Rooms: r.Rooms, Waiting: r.Waiting, Reach: r.Reach,
	}
}

// isEmpty reports whether a report has no content besides the sender's flags and revisions.
func isEmpty(r *Report) bool {
	return r.Reach == nil && r.RestartsSinceMs == 0 && len(r.Work)+len(r.Placed)+len(r.States)+len(r.Unreachable)+len(r.Refusing)+len(r.Deaths)+len(r.Limits)+len(r.Leaving)+len(r.Rooms)+len(r.Waiting)+len(r.Speeds) == 0
}

func (s *Reporter) send(r *Report, to []netip.AddrPort) {
	if r == nil || len(to) == 0 {
		return
	}
	raw, err := proto.Marshal(r)
	if err != nil {
		s.o.Logger.Error("Failed to encode a report", "error", err)
		return
	}
	for _, address := range to {
		if _, err := s.conn.WriteToUDPAddrPort(raw, address); err != nil {
			s.o.Logger.Debug("A report could not be sent to a daemon", "address", address, "error", err)
		}
	}
}

// nextReport returns the next datagram, nil if there is nothing to report.
func (s *Reporter) nextReport(now time.Time) *Report {
	work := s.localWork()
	var backlog []Demand
	if s.o.Backlog != nil {
		backlog = s.o.Backlog()
	}
	lost := s.o.Lost()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.placed), maxPlaced)
	r := &Report{From: string(s.o.Self), Placed: s.placed[:n], States: s.states, Unreachable: s.unreachable, Refusing: s.refusing, Leaving: s.leaving, RestartsSinceMs: uint32(s.restartsSince.Milliseconds())}
	s.restartsSince = 0
	s.placed, s.states, s.unreachable, s.refusing, s.leaving = s.placed[n:], nil, nil, nil, nil
	deaths := min(len(s.deaths), maxDeaths)
	r.Deaths, s.deaths = deathMessages(now, s.deaths[:deaths]), s.deaths[deaths:]
	r.Limits = s.dequeueLimits(now)
	rooms := min(len(s.rooms), maxRooms)
	r.Rooms, s.rooms = messages(s.rooms[:rooms]), s.rooms[rooms:]
	r.Waiting = s.nextWaiting(now, backlog)
	r.Speeds = s.dueSpeeds(now)
	r.Reach = s.reach.due(now, lost)
	if len(s.placed)+len(s.deaths)+len(s.limits)+len(s.rooms) > 0 {
		s.Wake()
	}
	s.addWork(now, r, work)
	revisions, access := s.o.Revisions(), s.currentAccess(now)
	age := now.Sub(s.revisionsSentAt)
	newRevisions := access.isNews(s.access) || age >= fullReportInterval-reportSlack || s.o.RevisionsDue(s.revisions, revisions, age)
	if !newRevisions && isEmpty(r) {
		return nil
	}
	if newRevisions {
		r.Revisions, r.Address, r.Watches, r.Relays, r.Failing = revisions, s.o.Address, access.watches, access.relays, access.failing
		r.WatchesAgeMs, r.RelaysAgeMs = ageMs(now, access.watched), ageMs(now, access.relayed)
		s.revisions, s.access, s.revisionsSentAt = revisions, access, now
	}
	return r
}

// dequeueLimits returns the limits for one datagram and leaves the others for the next.
func (s *Reporter) dequeueLimits(now time.Time) []*Limit {
	n := min(len(s.limits), maxLimits)
	out := make([]*Limit, n)
	for i, r := range s.limits[:n] {
		perSecond, at := r.Limit()
		out[i] = &Limit{Replica: r.Hash(), PerSecond: perSecond, AgeMs: int32(now.Sub(at).Milliseconds())}
	}
	s.limits = s.limits[n:]
	return out
}

// addWork adds the changed work of this daemon to a report, or all of it if a full report is due. Work that has ended
// is named in both: a lender gets only the part about its replicas, and nothing if that part is empty.
func (s *Reporter) addWork(now time.Time, r *Report, work map[uint64]*Work) {
	before := s.lastWork
	s.lastWork = work
	for hash := range before {
		if work[hash] == nil {
			r.Work = append(r.Work, &Work{Replica: hash})
		}
	}
	if now.Sub(s.lastFullReport) >= fullReportInterval-reportSlack && len(work) > 0 {
		s.lastFullReport = now
		for _, w := range work {
			r.Work = append(r.Work, w)
		}
		return
	}
	r.ChangesOnly = true
	for hash, w := range work {
		if !proto.Equal(w, before[hash]) {
			r.Work = append(r.Work, w)
		}
	}
}

// localWork returns what this daemon has in flight, by replica.
func (s *Reporter) localWork() map[uint64]*Work {
	out := map[uint64]*Work{}
	for _, r := range s.o.Set.WithOwnWork() {
		w := r.Load.Own()
		if w == (replicas.Work{}) {
			continue
		}
		out[r.Hash()] = workMessage(r.Hash(), w)
	}
	return out
}
