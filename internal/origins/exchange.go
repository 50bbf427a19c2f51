// Package origins exchanges between daemons where streams began, so that a stream that is taken up at another daemon goes on at
// the version of the replicas' software that began it. Package policy/origin decides.
//
// Records are sent in datagrams before the first event of a stream is delivered, to a few daemons, which keep them for a
// while. A record that is lost costs a stream that can't go on; it never lets one go on at another version.
package origins

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/origin"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// pruneInterval is how often records and versions that are too old are dropped, and certainty is checked.
	pruneInterval = 500 * time.Millisecond
	// unknownRetry is the Retry-After of a stream whose origin is not known: daemons that may know it are back after a
	// restart or a partition of seconds.
	unknownRetry = time.Second
	// firstUnrecordedLogs log lines of streams without a record are written at once, later ones at this interval.
	firstUnrecordedLogs   = 20
	unrecordedLogInterval = time.Second
	// busyRetry is the Retry-After if this daemon looks up as many streams as it may.
	busyRetry = 200 * time.Millisecond
)

// Params bound the exchange.
type Params struct {
	Copies     int           // daemons that keep the record of a stream
	Wait       time.Duration // how long the answers of those daemons are waited for
	MaxRecords int           // that this daemon keeps
	MaxLookups int           // streams that this daemon looks up at the same time
}

// DefaultParams are the bounds without settings.
var DefaultParams = Params{Copies: 3, Wait: 150 * time.Millisecond, MaxRecords: 1 << 16, MaxLookups: 256}

// Peer is a daemon.
type Peer struct {
	origin.Member
	Address netip.AddrPort // for other daemons
}

// Options configures New.
type Options struct {
	Self   string
	Region string
	// Peers returns the live daemons, with or without this one. The slice must not be modified.
	Peers func() []Peer
	// KnowsPeers reports whether the list of daemons has been read. Until then it says nothing of those that it lacks. nil: it has.
	KnowsPeers func() bool
	// Send sends records to a daemon. It does not block.
	Send   func(to netip.AddrPort, records []origin.Record)
	Client *http.Client
	// Current reports whether the list of replicas is current.
	Current func() bool
	// Reachable reports whether the key-value service answers, as far as is known, also while the list of replicas is not current; nil: it does
	// while that is.
	Reachable func() bool
	// KV holds the versions of services, which Follower follows; nil: they are not kept there. Rank returns this daemon's rank
	// for a key; the first one writes it.
	KV       platform.KV
	Follower *mirror.Follower
	Rank     func(key string) int
	// RestoredAt returns when the key-value service was restored from a backup, as far as this daemon has observed; nil: never.
	RestoredAt func() (at time.Time, restored bool)
	// Resumable reports whether streams of a service may be resumed. The versions of other services are not written.
	Resumable func(routing.ServiceID) bool
	// Keep returns how long a stream may go on after its first event.
	Keep    func() time.Duration
	Params  Params
	Logger  hclog.Logger
	Metrics tally.Scope
}

// Exchange records where streams begin, and finds it out. It implements relay.Origins and is safe for concurrent use.
type Exchange struct {
	o       Options
	wake    chan struct{} // has an element if the versions have changed
	lookups atomic.Int64
	// unrecordedLog bounds the log lines of streams without a record.
	unrecordedLog rate.Sometimes
	mirror        *mirror.Mirror // of the histories; nil: they are not kept
	reads         *freshReads    // of the histories
	readFailed    atomic.Bool    // the last of them
	// historyWake has an element if a history may have to be written.
	historyWake chan struct{}
	preferences atomic.Pointer[preferences]

	mu       sync.Mutex
	versions map[routing.ServiceID]*origin.Versions
	listedAt time.Time // when all replicas were listed first; zero: not yet
	// histories are the entries in the key-value service; missing says since when a service has had none.
	histories map[routing.ServiceID]*history
	missing   map[routing.ServiceID]time.Time
	asked     askedWrites
	retryAt   map[routing.ServiceID]time.Time // until when writes of histories are held back
	// writing has the writes of histories that run, one a service.
	writing map[routing.ServiceID]*runningWrite
	// listChanged is closed and replaced when histories change.
	listChanged chan struct{}
	records     *origin.Records
	began       map[routing.ServiceID]*origin.Records // of streams that began here
	sole        map[routing.ServiceID]bool            // services of which no records were sent at the last check
}

// New returns an Exchange.
func New(o Options) *Exchange {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	o.Logger = o.Logger.Named("origins")
	if o.Reachable == nil {
		o.Reachable = o.Current
	}
	if o.KnowsPeers == nil {
		o.KnowsPeers = func() bool { return true }
	}
	if o.RestoredAt == nil {
		o.RestoredAt = func() (time.Time, bool) { return time.Time{}, false }
	}
	e := &Exchange{
		reads: newFreshReads(), historyWake: make(chan struct{}, 1), listChanged: make(chan struct{}), asked: newAskedWrites(), retryAt: map[routing.ServiceID]time.Time{},
		writing:   map[routing.ServiceID]*runningWrite{},
		histories: map[routing.ServiceID]*history{}, missing: map[routing.ServiceID]time.Time{},
		unrecordedLog: rate.Sometimes{First: firstUnrecordedLogs, Interval: unrecordedLogInterval},
		o:             o, wake: make(chan struct{}, 1), versions: map[routing.ServiceID]*origin.Versions{},
		records: origin.NewRecords(o.Params.MaxRecords), began: map[routing.ServiceID]*origin.Records{}, sole: map[routing.ServiceID]bool{},
	}
	if o.KV != nil {
		e.mirror = o.Follower.AddFreshMirror(HistoryPrefix, e.applyHistory)
	}
	return e
}

// Mirror returns the mirror of the versions in the key-value service; nil if they are not kept there.
func (e *Exchange) Mirror() *mirror.Mirror { return e.mirror }

// OnListed records since when the list of replicas has been complete. Later calls are ignored.
func (e *Exchange) OnListed(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listedAt.IsZero() {
		e.listedAt = now
	}
}

// OnSoftware records that the first replica of a version was registered, or that the last one left. It does not block.
func (e *Exchange) OnSoftware(service routing.ServiceID, software string, present bool) {
	e.mu.Lock()
	v := e.versionsOf(service)
	if !present {
		v.Vanish(time.Now(), software)
	} else if returned := v.Appear(software); returned || !e.listedAt.IsZero() {
		e.histories[service].mustRenew(software)
	}
	e.publishPreferences()
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	if present {
		e.wakeHistory()
	}
}

// Run sends records and drops old ones until ctx is cancelled.
func (e *Exchange) Run(ctx context.Context) error {
	t := time.NewTicker(pruneInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-e.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		e.sendAll(e.prune(time.Now()))
	}
}

// prune drops what is too old. It returns the records of streams that began while this daemon was certain of the version, and
// no longer is.
func (e *Exchange) prune(now time.Time) (due []origin.Record) {
	current, keep := e.o.Current(), e.o.Keep()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.records.Prune(now, keep)
	for service, records := range e.began {
		records.Prune(now, keep)
		sole := e.view(now, service, current, keep).Certainty == origin.Sole
		if e.sole[service] && !sole {
			due = append(due, records.All()...)
		}
		e.sole[service] = sole
	}
	for service, v := range e.versions {
		if v.Prune(now, keep) {
			delete(e.versions, service)
			delete(e.began, service)
			delete(e.sole, service)
			continue
		}
		e.o.Metrics.Tagged(map[string]string{"service": string(service)}).Gauge("software_versions").Update(float64(len(v.Names(now, keep))))
	}
	e.o.Metrics.Gauge("stream_records").Update(float64(e.records.Len()))
	return due
}

// view returns what this daemon knows of a service. It is certain of nothing until it has seen the service for as long as streams may go on,
// since its lists of the start may be old, and so may those of all that started with it; nor without an entry in the key-value service, which
// would confirm the version to others. The mutex must be held.
func (e *Exchange) view(now time.Time, service routing.ServiceID, current bool, keep time.Duration) origin.View {
	v := e.versions[service]
	if v == nil {
		return origin.View{}
	}
	recorded := e.histories[service] != nil && len(e.histories[service].versions) > 0
	complete := !e.listedAt.IsZero() && now.Sub(e.listedAt) >= keep && (recorded || e.o.KV == nil)
	return v.View(now, keep, current && complete)
}

// Began implements relay.Origins. A version that is not known is recorded as such, also while this daemon knows of one alone:
// without a record the stream would go on at that one.
func (e *Exchange) Began(ctx context.Context, s relay.StreamID, software relay.SoftwareBinding) {
	now, record := time.Now(), origin.Record{Key: keyOf(s), Software: software.Version}
	if !software.Bound {
		record.Software = origin.UnknownSoftware
		e.o.Metrics.Counter("streams_of_unknown_software").Inc(1)
	}
	current, keep := e.o.Current(), e.o.Keep()
	e.mu.Lock()
	if e.began[s.Service] == nil {
		e.began[s.Service] = origin.NewRecords(e.o.Params.MaxRecords)
		e.sole[s.Service] = true
	}
	e.began[s.Service].Add(now, record)
	sole := e.view(now, s.Service, current, keep).Certainty == origin.Sole
	e.mu.Unlock()
	if !sole || !software.Bound {
		e.sendAll([]origin.Record{record})
	}
	if software.Bound {
		e.awaitListed(ctx, s.Service, software.Version)
	}
}

// HandOver sends all records to other daemons. A daemon that stops calls it.
func (e *Exchange) HandOver() {
	e.mu.Lock()
	all := e.records.All()
	for service, records := range e.began {
		if !e.sole[service] {
			all = append(all, records.All()...)
		}
	}
	e.mu.Unlock()
	e.sendAll(all)
}

// sendAll sends records to the daemons that keep them.
func (e *Exchange) sendAll(records []origin.Record) {
	if len(records) == 0 {
		return
	}
	byAddress := map[netip.AddrPort][]origin.Record{}
	peers := e.others()
	members := membersOf(peers)
	for _, r := range records {
		for _, n := range origin.Keepers(members, r.Key, e.o.Region, e.o.Params.Copies) {
			byAddress[peers[n].Address] = append(byAddress[peers[n].Address], r)
		}
	}
	for address, batch := range byAddress {
		e.o.Metrics.Counter("stream_records_sent").Inc(int64(len(batch)))
		e.o.Send(address, batch)
	}
}

// OnRecords keeps the records of another daemon.
func (e *Exchange) OnRecords(records []origin.Record) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range records {
		e.records.Add(now, r)
	}
}

// others returns the other daemons.
func (e *Exchange) others() []Peer {
	var out []Peer
	for _, p := range e.o.Peers() {
		if p.Name != e.o.Self && p.Address.IsValid() {
			out = append(out, p)
		}
	}
	return out
}

func membersOf(peers []Peer) []origin.Member {
	out := make([]origin.Member, len(peers))
	for i, p := range peers {
		out[i] = p.Member
	}
	return out
}

func keyOf(s relay.StreamID) origin.Key {
	return origin.KeyOf(string(s.Service), string(s.Org), string(s.Request))
}

// testimony returns what this daemon knows of a stream.
func (e *Exchange) testimony(service routing.ServiceID, key origin.Key) origin.Testimony {
	now, current, keep := time.Now(), e.o.Current(), e.o.Keep()
	e.mu.Lock()
	defer e.mu.Unlock()
	t := origin.Testimony{Finding: e.records.Find(key), View: e.view(now, service, current, keep)}
	if began := e.began[service]; !t.Found && began != nil {
		t.Finding = began.Find(key)
	}
	return t
}

// refusal returns the error for a stream that can't go on.
func refusal(v origin.Verdict) *request.Error {
	return request.Refuse(request.CodeOriginUnknown, http.StatusServiceUnavailable, unknownRetry, "the version that began the stream is not known: %s", v.Reason)
}
