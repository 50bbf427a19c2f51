package mirror

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/transfer"
)

const (
	// behindFor is how long a peer must know of a newer change before its copy is asked
	// for: the watch of this daemon is mostly about to tell it.
	behindFor = 250 * time.Millisecond
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
}

// Group shares mirrors among daemons. It implements the service Copies.
type Group struct {
	client  *transfer.Client
	log     hclog.Logger
	metrics tally.Scope
	order   []string // prefixes
	by      map[string]*Mirror

	mu     sync.Mutex
	behind map[string]time.Time // by prefix: since when some peer knows more
	busy   map[string]bool      // by prefix: a peer is being asked
}

// NewGroup returns a group of some mirrors.
func NewGroup(o GroupOptions) *Group {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	c := &Group{
		client: &transfer.Client{HTTP: o.Client, Head: readTimeout}, log: o.Logger.Named("copies"), metrics: o.Metrics, by: map[string]*Mirror{},
		behind: map[string]time.Time{}, busy: map[string]bool{},
	}
	c.client.Done = c.countReceived
	for _, m := range o.Mirrors {
		c.order = append(c.order, m.prefix)
		c.by[m.prefix] = m
	}
	return c
}

// Revisions returns the newest change of each mirror, to be told to peers.
func (c *Group) Revisions() []uint64 {
	out := make([]uint64, len(c.order))
	for i, prefix := range c.order {
		out[i] = uint64(c.by[prefix].Newest())
	}
	return out
}

// Heard is told the newest changes that a peer knows, in the order of Revisions. Where the
// peer knows more for a while, its copy is asked for.
func (c *Group) Heard(ctx context.Context, peer string, revisions []uint64) {
	if len(revisions) != len(c.order) {
		return // a daemon of another release
	}
	for i, prefix := range c.order {
		if revisions[i] > uint64(c.by[prefix].Newest()) {
			c.noteBehind(ctx, peer, prefix)
		}
	}
}

func (c *Group) noteBehind(ctx context.Context, peer, prefix string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	since, known := c.behind[prefix]
	if !known || now.Sub(since) > 4*behindFor {
		c.behind[prefix] = now // heard first, or after a time in which all was told
		return
	}
	if now.Sub(since) < behindFor || c.busy[prefix] {
		return
	}
	c.busy[prefix] = true
	go c.pull(ctx, peer, prefix)
}

// pull takes a peer's copy.
func (c *Group) pull(ctx context.Context, peer, prefix string) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.busy, prefix)
		delete(c.behind, prefix)
	}()
	m := c.by[prefix]
	known, begun := uint64(m.Newest()), time.Now()
	answer, err := NewCopiesProtobufClient("http://"+peer, c.client).Read(ctx, &ReadRequest{Prefix: prefix, NewerThan: known})
	if err != nil {
		c.countAsked("failed")
		c.log.Info("A peer gives no copy", "peer", peer, "prefix", prefix, "known", known, "after_ms", time.Since(begun).Milliseconds(), "error", err)
		return
	}
	if answer.Newest <= known {
		c.countAsked("nothing_new")
		return
	}
	c.countAsked("taken")
	entries := make([]platform.Entry, len(answer.Entries))
	for i, e := range answer.Entries {
		entries[i] = platform.Entry{Key: e.Key, Value: e.Value, Revision: platform.Revision(e.Revision), Lease: platform.LeaseID(e.Lease)}
	}
	c.log.Info("A peer's copy is taken", "peer", peer, "prefix", prefix, "revision", answer.Newest, "known", known, "entries", len(answer.Entries), "after_ms", time.Since(begun).Milliseconds())
	m.takeAll(entries, platform.Revision(answer.Newest), answer.Lapsing)
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
	lapsing := m.lapsing()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := &ReadResponse{Newest: uint64(m.newest), Lapsing: lapsing}
	if out.Newest <= r.NewerThan {
		return out, nil
	}
	for _, e := range m.present() {
		out.Entries = append(out.Entries, &CopiedEntry{
			Key: e.Key, Value: e.Value, Revision: uint64(e.Revision), Lease: string(e.Lease),
		})
	}
	c.metrics.Counter("copies_given").Inc(1)
	return out, nil
}
