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
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/transfer"
)

const (
	// behindFor is how long a peer must know of a newer change before its copy is asked
	// for: the watch of this daemon is mostly about to tell it.
	behindFor = 250 * time.Millisecond
	// forgetAfter is how long nobody must have told of a newer change for it to be forgotten.
	// Daemons repeat what they know several times in it.
	forgetAfter = time.Second
	// maxAsks is how many peers are asked for one copy at once, and askAgainAfter how long the
	// first has for it: a peer whose link is full must not hold back what others have.
	maxAsks       = 2
	askAgainAfter = time.Second
	// readTimeout bounds the time until a peer's answer begins. How long it lasts depends on its
	// size.
	readTimeout = 500 * time.Millisecond
)

// GroupOptions are the options of NewGroup.
type GroupOptions struct {
	Client  *http.Client // to peers
	Mirrors []*Mirror    // the same on all daemons, in the same order
	Logger  hclog.Logger
	Metrics tally.Scope
	// Relayed reports whether peers tell of all changes now; nil: never. Their copies are then
	// asked for at once.
	Relayed func() bool
}

// Group shares mirrors among daemons. It implements the service Copies.
type Group struct {
	client  *transfer.Client
	log     hclog.Logger
	metrics tally.Scope
	order   []string // prefixes
	by      map[string]*Mirror
	relayed func() bool

	mu   sync.Mutex
	lags map[string]*lag // by prefix
}

// lag is what a daemon knows of changes that peers know and it does not.
type lag struct {
	told  platform.Revision // newest change that a peer told of
	since time.Time         // when one was first told that is not known yet; zero: all are
	heard time.Time         // when one was told last
	asks  int               // peers that are being asked
	asked time.Time         // when the last was
}

// note takes that a peer knows of a change that this daemon does not, and reports whether to
// ask for its copy: once that has lasted for some time.
func (l *lag) note(now time.Time, revision platform.Revision, after time.Duration) bool {
	if l.since.IsZero() || now.Sub(l.heard) > forgetAfter {
		l.since, l.told = now, 0
	}
	l.told, l.heard = max(l.told, revision), now
	if now.Sub(l.since) < after {
		return false
	}
	return l.asks == 0 || l.asks < maxAsks && now.Sub(l.asked) > askAgainAfter
}

// lasts returns for how long some change has not been known here that is still told of.
func (l *lag) lasts(now time.Time, m *Mirror) time.Duration {
	if l.since.IsZero() || now.Sub(l.heard) > forgetAfter || m.knows(l.told) {
		return 0
	}
	return now.Sub(l.since)
}

// caughtUp ends the lag if all that was told is known by now.
func (l *lag) caughtUp(m *Mirror) {
	if m.knows(l.told) {
		l.since = time.Time{}
	}
}

// NewGroup returns a group of some mirrors.
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
	c := &Group{
		relayed: o.Relayed,
		client:  &transfer.Client{HTTP: o.Client, Head: readTimeout}, log: o.Logger.Named("copies"), metrics: o.Metrics,
		by: map[string]*Mirror{}, lags: map[string]*lag{},
	}
	c.client.Done = c.countReceived
	for _, m := range o.Mirrors {
		c.order = append(c.order, m.prefix)
		c.by[m.prefix] = m
		c.lags[m.prefix] = &lag{}
	}
	return c
}

// Handler serves Copies. Copies are compressed: a desired state is text in which little is new,
// and what goes over the links of the daemons that ask and are asked comes down to a tenth.
func (c *Group) Handler() (http.Handler, error) {
	compressed, err := gzhttp.NewWrapper(gzhttp.CompressionLevel(gzip.BestSpeed))
	if err != nil {
		return nil, errors.Wrap(err, "mirror: compression")
	}
	return compressed(NewCopiesServer(c)), nil
}

// Revisions returns the newest change of each mirror, to be told to peers.
func (c *Group) Revisions() []uint64 {
	out := make([]uint64, len(c.order))
	for i, prefix := range c.order {
		out[i] = uint64(c.by[prefix].Newest())
	}
	return out
}

// HandleRevisions is told the newest changes that a peer knows, in the order of Revisions. Where the
// peer knows more for a while, its copy is asked for.
func (c *Group) HandleRevisions(ctx context.Context, peer string, revisions []uint64) {
	if len(revisions) != len(c.order) {
		return // a daemon of another release
	}
	now := time.Now()
	for i, prefix := range c.order {
		if c.beginAsk(now, prefix, platform.Revision(revisions[i])) {
			go c.ask(ctx, peer, prefix)
		}
	}
}

// Lag returns for how long peers have told of a change below a prefix that is not known here,
// zero if none tells of one.
func (c *Group) Lag(prefix string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lags[prefix].lasts(time.Now(), c.by[prefix])
}

// beginAsk notes what a peer told of a prefix, and reports whether the peer is to be asked for its
// copy. It is then counted as asked until ask ends.
func (c *Group) beginAsk(now time.Time, prefix string, told platform.Revision) bool {
	m := c.by[prefix]
	known := m.knows(told)
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.lags[prefix]
	if known {
		l.caughtUp(m)
		return false
	}
	after := behindFor
	if c.relayed() {
		after = 0
	}
	if !l.note(now, told, after) {
		return false
	}
	l.asks++
	l.asked = now
	return true
}

// ask takes a peer's copy. Only what changed since this daemon last knew all of it crosses the
// link: named weights are a few bytes beside a desired state of a megabyte.
func (c *Group) ask(ctx context.Context, peer, prefix string) {
	m := c.by[prefix]
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lags[prefix].asks--
		c.lags[prefix].caughtUp(m)
	}()
	known, begun := m.knownTo(), time.Now()
	answer, err := NewCopiesProtobufClient("http://"+peer, c.client).Read(ctx, &ReadRequest{Prefix: prefix, NewerThan: uint64(known), Changes: true, Removals: true})
	if err != nil {
		c.countAsked("failed")
		c.log.Info("A peer gives no copy", "peer", peer, "prefix", prefix, "known", known, "after_ms", time.Since(begun).Milliseconds(), "error", err)
		return
	}
	if m.knows(platform.Revision(answer.Newest)) {
		c.countAsked("nothing_new")
		return
	}
	c.countAsked("taken")
	c.log.Info("A peer's copy is taken", "peer", peer, "prefix", prefix, "revision", answer.Newest, "known", known, "entries", len(answer.Entries), "after_ms", time.Since(begun).Milliseconds())
	if given := answer.content(); answer.ChangesOnly {
		m.takeSome(given.entries, given.complete, given.lapsing)
	} else {
		m.takeAll(given)
	}
}

func (r *ReadResponse) content() content {
	c := content{unchanged: r.Unchanged, complete: platform.Revision(r.Complete), newest: platform.Revision(r.Newest), lapsing: r.Lapsing}
	for _, e := range r.Entries {
		c.entries = append(c.entries, platform.Entry{Key: e.Key, Value: e.Value, Revision: platform.Revision(e.Revision), Lease: platform.LeaseID(e.Lease), Deleted: e.Removed})
	}
	return c
}

func (c *Group) countAsked(outcome string) {
	c.metrics.Tagged(map[string]string{"outcome": outcome}).Counter("copies_asked").Inc(1)
}

func (c *Group) countReceived(_ *http.Request, result transfer.Result) {
	c.metrics.Tagged(map[string]string{"whole": strconv.FormatBool(result.Whole)}).Counter("copies_received_bytes").Inc(result.Received)
}

// Read implements Copies.
func (c *Group) Read(_ context.Context, r *ReadRequest) (*ReadResponse, error) {
	m := c.by[r.Prefix]
	if m == nil {
		return &ReadResponse{}, nil
	}
	known := platform.Revision(r.NewerThan)
	if !r.Changes {
		known = 0 // a daemon of an older release takes whole copies only
	}
	given, changesOnly := content{}, false
	if r.Removals {
		given, changesOnly = m.changesSince(known)
	}
	if !changesOnly {
		given = m.since(known)
	}
	if uint64(given.newest) <= r.NewerThan {
		return &ReadResponse{Newest: uint64(given.newest)}, nil
	}
	out := &ReadResponse{Newest: uint64(given.newest), Lapsing: given.lapsing, Complete: uint64(given.complete), Unchanged: given.unchanged, ChangesOnly: changesOnly}
	for _, e := range given.entries {
		out.Entries = append(out.Entries, &CopiedEntry{Key: e.Key, Value: e.Value, Revision: uint64(e.Revision), Lease: string(e.Lease), Removed: e.Deleted})
	}
	c.metrics.Counter("copies_given").Inc(1)
	return out, nil
}
