package mirror

import (
	"compress/gzip"
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/klauspost/compress/gzhttp"
	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/transfer"
)

const (
	// fetchDelay is how long peers must report a newer change before a copy is fetched. The
	// watch of this daemon usually delivers the change within this time.
	fetchDelay = 250 * time.Millisecond
	// lagExpiry is the time without a report of a newer change after which a lag is discarded.
	// Daemons repeat their reports several times within it.
	lagExpiry = time.Second
	// maxFetches bounds the concurrent fetches of one prefix. A further fetch starts
	// nextFetchDelay after the previous one, so that a peer with a saturated link does not delay
	// a change that other peers have.
	maxFetches     = 2
	nextFetchDelay = time.Second
	// maxServed is how many copies a daemon sends at once. Further peers are refused and ask one that has
	// received the copy meanwhile. Otherwise all daemons of a fleet would share the links of the few that
	// receive a change first, and a large change would reach all of them late.
	maxServed = 2
	// headerTimeout bounds the time until a peer's response begins. The transfer time depends on
	// the size of the copy.
	headerTimeout = 500 * time.Millisecond
)

// GroupOptions are the options of NewGroup.
type GroupOptions struct {
	Client  *http.Client // for calls to peers
	Mirrors []*Mirror    // all daemons must have the same mirrors in the same order
	Logger  hclog.Logger
	Metrics tally.Scope
	// Relayed reports whether peers currently relay all changes; nil: never. While it does, copies
	// are fetched without delay.
	Relayed func() bool
	// FetchInterval returns the least time between two fetches of the prefixes that it applies to, so that
	// many changes in quick succession do not cost a fetch each; nil: none.
	FetchInterval func(prefix string) time.Duration
}

// Group exchanges the contents of mirrors with peers. It implements the service Copies.
type Group struct {
	client   *transfer.Client
	log      hclog.Logger
	metrics  tally.Scope
	prefixes []string // of the mirrors, in the order of GroupOptions.Mirrors
	byPrefix map[string]*Mirror
	relayed  func() bool
	interval func(prefix string) time.Duration
	serving  chan struct{} // holds an element for each copy that is being sent

	mu   sync.Mutex
	lags map[string]*lag // by prefix
}

// lag tracks changes below a prefix that peers have and this daemon lacks.
type lag struct {
	reported   platform.Revision // newest change that a peer reported
	since      time.Time         // first report of a change that is still missing; zero: none is missing
	lastReport time.Time         // last report of a missing change
	fetches    int               // number of running fetches
	lastFetch  time.Time         // start of the last fetch
	unanswered time.Time         // start of the first fetch in this lag since the last one that a peer answered; zero: none failed
}

// recordReport records that a peer has a change that this daemon lacks, and reports whether to
// fetch the peer's copy. The first fetch starts once the lag has lasted for delay.
func (l *lag) recordReport(now time.Time, revision platform.Revision, delay time.Duration) bool {
	if l.since.IsZero() || now.Sub(l.lastReport) > lagExpiry {
		l.since, l.reported, l.unanswered = now, 0, time.Time{}
	}
	l.reported, l.lastReport = max(l.reported, revision), now
	if now.Sub(l.since) < delay {
		return false
	}
	return l.fetches == 0 || l.fetches < maxFetches && now.Sub(l.lastFetch) > nextFetchDelay
}

// duration returns how long a change that peers still report has been missing.
func (l *lag) duration(now time.Time, m *Mirror) time.Duration {
	if l.since.IsZero() || now.Sub(l.lastReport) > lagExpiry || m.hasApplied(l.reported) {
		return 0
	}
	return now.Sub(l.since)
}

// clearIfApplied ends the lag if all reported changes are applied.
func (l *lag) clearIfApplied(m *Mirror) {
	if m.hasApplied(l.reported) {
		l.since, l.unanswered = time.Time{}, time.Time{}
	}
}

// recordFetch records whether a peer answered a fetch that began at a time.
func (l *lag) recordFetch(began time.Time, answered bool) {
	switch {
	case answered:
		l.unanswered = time.Time{}
	case l.unanswered.IsZero():
		l.unanswered = began
	}
}

// unansweredFor returns for how long fetches of a change that peers still report have had no answer.
func (l *lag) unansweredFor(now time.Time, m *Mirror) time.Duration {
	if l.unanswered.IsZero() || l.duration(now, m) == 0 {
		return 0
	}
	return now.Sub(l.unanswered)
}

// NewGroup returns a group for the mirrors in o.
func NewGroup(o GroupOptions) *Group {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.Relayed == nil {
		o.Relayed = func() bool { return false }
	}
	if o.FetchInterval == nil {
		o.FetchInterval = func(string) time.Duration { return 0 }
	}
	g := &Group{
		relayed: o.Relayed, interval: o.FetchInterval,
		client: &transfer.Client{HTTP: o.Client, HeaderTimeout: headerTimeout}, log: o.Logger.Named("copies"), metrics: o.Metrics,
		byPrefix: map[string]*Mirror{}, lags: map[string]*lag{}, serving: make(chan struct{}, maxServed),
	}
	g.client.OnClose = g.countReceived
	for _, m := range o.Mirrors {
		g.prefixes = append(g.prefixes, m.prefix)
		g.byPrefix[m.prefix] = m
		g.lags[m.prefix] = &lag{}
	}
	return g
}

// Handler returns the HTTP handler of the service Copies. It compresses responses: a desired
// state is repetitive text, and compression reduces the traffic between daemons to a tenth.
func (g *Group) Handler() (http.Handler, error) {
	compressed, err := gzhttp.NewWrapper(gzhttp.CompressionLevel(gzip.BestSpeed))
	if err != nil {
		return nil, errors.Wrap(err, "mirror: compression")
	}
	return g.limitServed(compressed(NewCopiesServer(g))), nil
}

// limitServed refuses requests while maxServed others are being served.
func (g *Group) limitServed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case g.serving <- struct{}{}:
			defer func() { <-g.serving }()
			next.ServeHTTP(w, r)
		default:
			g.metrics.Counter("copies_refused").Inc(1)
			if err := twirp.WriteError(w, twirp.ResourceExhausted.Error("other copies are being sent")); err != nil {
				panic(http.ErrAbortHandler) // the peer closed the connection
			}
		}
	})
}

// Revisions returns the newest applied revision of each mirror. The daemon reports them to peers.
func (g *Group) Revisions() []uint64 {
	out := make([]uint64, len(g.prefixes))
	for i, prefix := range g.prefixes {
		out[i] = uint64(g.byPrefix[prefix].Newest())
	}
	return out
}

// ReportDue reports whether peers are to be told of changed revisions now, given those that they were told
// last and how long ago. Changes of prefixes with a FetchInterval are told at half of it.
func (g *Group) ReportDue(before, now []uint64, age time.Duration) bool {
	if len(before) != len(now) {
		return true
	}
	for i, prefix := range g.prefixes {
		if before[i] != now[i] && age >= g.interval(prefix)/2 {
			return true
		}
	}
	return false
}

// HandleRevisions processes a peer's Revisions. It fetches the peer's copy of each prefix for
// which peers have been ahead for fetchDelay, or at once while peers relay changes.
func (g *Group) HandleRevisions(ctx context.Context, peer string, revisions []uint64) {
	if len(revisions) != len(g.prefixes) {
		return // the peer runs another release
	}
	now := time.Now()
	for i, prefix := range g.prefixes {
		if g.beginFetch(now, prefix, platform.Revision(revisions[i])) {
			go g.fetch(ctx, peer, prefix)
		}
	}
}

// Lag returns how long peers have reported a change below a prefix that this daemon lacks, or
// zero if no peer reports one.
func (g *Group) Lag(prefix string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lags[prefix].duration(time.Now(), g.byPrefix[prefix])
}

// UnansweredFor returns for how long peers have reported a change that this daemon lacks and have answered no fetch of it; zero: they answer.
func (g *Group) UnansweredFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, longest := time.Now(), time.Duration(0)
	for prefix, l := range g.lags {
		longest = max(longest, l.unansweredFor(now, g.byPrefix[prefix]))
	}
	return longest
}

// beginFetch records the revision that a peer reported for a prefix, and reports whether to fetch
// the peer's copy. If so, it counts the fetch as running until fetch returns.
func (g *Group) beginFetch(now time.Time, prefix string, reported platform.Revision) bool {
	m := g.byPrefix[prefix]
	applied, relayed := m.hasApplied(reported), g.relayed()
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lags[prefix]
	if applied {
		l.clearIfApplied(m)
		return false
	}
	delay := fetchDelay
	if relayed {
		delay = 0
	}
	if !l.recordReport(now, reported, delay) || now.Sub(l.lastFetch) < g.interval(prefix) {
		return false
	}
	l.fetches++
	l.lastFetch = now
	return true
}

// Ask requests a peer's copy of a prefix and applies it, whether or not the peer reported a newer change.
func (g *Group) Ask(ctx context.Context, peer, prefix string) {
	g.mu.Lock()
	g.lags[prefix].fetches++
	g.mu.Unlock()
	g.fetch(ctx, peer, prefix)
}

// fetch requests a peer's copy and applies it. The peer sends only the changes after the revision
// up to which this daemon is complete, because a complete copy may be far larger: a change of a
// weight version has a few bytes, the desired state a megabyte.
func (g *Group) fetch(ctx context.Context, peer, prefix string) {
	m := g.byPrefix[prefix]
	known, started, answered := m.completeUpTo(), time.Now(), false
	defer func() { g.endFetch(prefix, started, answered) }()
	resp, err := NewCopiesProtobufClient("http://"+peer, g.client).Read(ctx, &ReadRequest{Prefix: prefix, NewerThan: uint64(known), Changes: true, Removals: true, Partial: m.isEmpty()})
	if refused := twirp.Error(nil); errors.As(err, &refused) && refused.Code() == twirp.ResourceExhausted {
		answered = true
		g.countFetch("refused")
		return
	}
	if err != nil {
		g.countFetch("failed")
		g.log.Info("Fetching a copy from a peer failed", "peer", peer, "prefix", prefix, "known", known, "after_ms", time.Since(started).Milliseconds(), "error", err)
		return
	}
	answered = true
	if resp.Partial {
		g.countFetch("partial")
		m.applyPartial(resp.content().entries, resp.Lapsing)
		return
	}
	if m.hasApplied(platform.Revision(resp.Newest)) {
		g.countFetch("nothing_new")
		return
	}
	g.countFetch("taken")
	g.log.Info("Applying a copy fetched from a peer", "peer", peer, "prefix", prefix, "revision", resp.Newest, "known", known, "entries", len(resp.Entries), "after_ms", time.Since(started).Milliseconds())
	if received := resp.content(); resp.ChangesOnly {
		m.applyChanges(received.entries, received.complete, received.afterOutage)
	} else {
		m.applyListing(received)
	}
}

// endFetch records the end of a fetch.
func (g *Group) endFetch(prefix string, began time.Time, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lags[prefix]
	l.fetches--
	l.recordFetch(began, answered)
	l.clearIfApplied(g.byPrefix[prefix])
}

func (r *ReadResponse) content() content {
	c := content{unchanged: r.Unchanged, complete: platform.Revision(r.Complete), newest: platform.Revision(r.Newest), afterOutage: r.Lapsing}
	for _, e := range r.Entries {
		c.entries = append(c.entries, platform.Entry{Key: e.Key, Value: e.Value, Revision: platform.Revision(e.Revision), Lease: platform.LeaseID(e.Lease), Deleted: e.Removed})
	}
	return c
}

func (g *Group) countFetch(outcome string) {
	g.metrics.Tagged(map[string]string{"outcome": outcome}).Counter("copies_asked").Inc(1)
}

func (g *Group) countReceived(_ *http.Request, result transfer.Result) {
	g.metrics.Tagged(map[string]string{"whole": strconv.FormatBool(result.Complete)}).Counter("copies_received_bytes").Inc(result.Received)
}

// Read implements Copies.
func (g *Group) Read(_ context.Context, r *ReadRequest) (*ReadResponse, error) {
	m := g.byPrefix[r.Prefix]
	if m == nil {
		return &ReadResponse{}, nil
	}
	if entries, partial := m.partialEntries(); partial && r.Partial {
		return &ReadResponse{Partial: true, Lapsing: m.afterOutage(), Entries: copiedEntries(entries)}, nil
	}
	known := platform.Revision(r.NewerThan)
	if !r.Changes {
		known = 0 // daemons of an older release accept complete copies only
	}
	copied, changesOnly := content{}, false
	if r.Removals {
		copied, changesOnly = m.changesSince(known)
	}
	if !changesOnly {
		copied = m.contentSince(known)
	}
	if uint64(copied.newest) <= r.NewerThan {
		return &ReadResponse{Newest: uint64(copied.newest)}, nil
	}
	g.metrics.Counter("copies_given").Inc(1)
	return &ReadResponse{
		Newest: uint64(copied.newest), Lapsing: copied.afterOutage, Complete: uint64(copied.complete), Unchanged: copied.unchanged, ChangesOnly: changesOnly,
		Entries: copiedEntries(copied.entries),
	}, nil
}

func copiedEntries(entries []platform.Entry) []*CopiedEntry {
	out := make([]*CopiedEntry, len(entries))
	for i, e := range entries {
		out[i] = &CopiedEntry{Key: e.Key, Value: e.Value, Revision: uint64(e.Revision), Lease: string(e.Lease), Removed: e.Deleted}
	}
	return out
}
