// Package roster tells daemons of one another through the platform's key-value service.
//
// Each daemon holds one entry under a lease of its own. An entry that goes while the
// service answers is a daemon that has gone. Entries that lapse in an outage are kept for
// the time their owners need to write them again, so that a service that comes back empty
// does not leave callers without addresses.
package roster

import (
	"cmp"
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	// leaseTTL is how long a daemon that died is still listed. Callers that meet it try
	// another address, so it need not be shorter.
	leaseTTL  = 4 * time.Second
	beatEvery = time.Second
	callLimit = 2 * time.Second
)

// Daemon is what a daemon tells of itself.
type Daemon struct {
	ID            request.DaemonID `json:"id"`
	Incarnation   int64            `json:"incarnation"`
	FailureDomain string           `json:"failure_domain"`
	CallerAddress string           `json:"caller_address"`
	PeerAddress   string           `json:"peer_address"`
	Leaving       bool             `json:"leaving"`
}

// Options of New.
type Options struct {
	KV       platform.KV
	Follower *mirror.Follower // of the service; its owner runs it
	Prefix   string           // of the entries
	Self     Daemon
	Logger   hclog.Logger
}

// Roster is the list of daemons. It is safe for concurrent use.
type Roster struct {
	o      Options
	mirror *mirror.Mirror
	live   atomic.Pointer[[]Daemon] // sorted by id, with this daemon
	beatMu sync.Mutex
	lease  platform.LeaseID
	self   Daemon // guarded by beatMu

	leaving atomic.Bool

	mu      sync.Mutex
	known   map[string]Daemon
	lapsing map[string]time.Time // removed in an outage; kept until then
}

// New returns a roster that knows this daemon only.
func New(o Options) *Roster {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Logger = o.Logger.Named("roster")
	r := &Roster{o: o, self: o.Self, known: map[string]Daemon{}, lapsing: map[string]time.Time{}}
	r.mirror = o.Follower.AddMirror(o.Prefix, r.apply)
	r.publish()
	return r
}

// Live returns the daemons that serve, this one among them unless it leaves. The list is
// another one only after a change.
func (r *Roster) Live() []Daemon { return *r.live.Load() }

// Mirror returns the mirror of the entries, whose copies peers may ask for.
func (r *Roster) Mirror() *mirror.Mirror { return r.mirror }

// Run keeps this daemon listed until ctx ends.
func (r *Roster) Run(ctx context.Context) error {
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	for {
		if err := r.beat(ctx); err != nil && ctx.Err() == nil {
			r.o.Logger.Warn("This daemon could not renew its entry", "error", err)
		}
		select {
		case <-tick.C:
			r.forgetLapsed()
		case <-ctx.Done():
			return nil
		}
	}
}

// beat renews the lease of the entry, or writes it anew.
func (r *Roster) beat(ctx context.Context) error {
	r.beatMu.Lock()
	defer r.beatMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if r.lease != "" {
		err := r.o.KV.KeepAlive(ctx, r.lease)
		if !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		r.lease = ""
	}
	return r.write(ctx)
}

func (r *Roster) write(ctx context.Context) error {
	if r.lease == "" {
		lease, err := r.o.KV.GrantLease(ctx, leaseTTL)
		if err != nil {
			return errors.Wrap(err, "roster: lease")
		}
		r.lease = lease
	}
	value, err := json.Marshal(r.self)
	if err != nil {
		return errors.Wrap(err, "roster: encode")
	}
	key := r.o.Prefix + string(r.self.ID)
	current, err := r.o.KV.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		r.lease = ""
		return errors.Wrap(err, "roster: read")
	}
	if _, err := r.o.KV.CompareAndSwap(ctx, key, current.Revision, value, r.lease); err != nil {
		r.lease = ""
		return errors.Wrap(err, "roster: write")
	}
	r.o.Logger.Info("This daemon is listed", "leaving", r.self.Leaving)
	return nil
}

// Leave tells the others that this daemon takes no new callers.
func (r *Roster) Leave(ctx context.Context) error {
	r.beatMu.Lock()
	defer r.beatMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	r.self.Leaving = true
	r.leaving.Store(true)
	r.publish()
	return r.write(ctx)
}

// Withdraw removes the entry of a daemon that is about to end.
func (r *Roster) Withdraw(ctx context.Context) error {
	r.beatMu.Lock()
	defer r.beatMu.Unlock()
	if r.lease == "" {
		return nil
	}
	return r.o.KV.RevokeLease(ctx, r.lease)
}

func (r *Roster) apply(u mirror.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[string]bool{}
	for _, e := range u.Entries {
		id := strings.TrimPrefix(e.Key, r.o.Prefix)
		if e.Deleted {
			r.remove(id, u.AfterOutage)
			continue
		}
		seen[id] = true
		d, err := decode(id, e.Value)
		if err != nil {
			r.o.Logger.Warn("An entry names no daemon", "key", e.Key, "error", err)
			continue
		}
		r.known[id] = d
		delete(r.lapsing, id)
	}
	if u.Full {
		for id := range r.known {
			if !seen[id] {
				r.remove(id, u.AfterOutage)
			}
		}
	}
	r.publishLocked()
}

// decode reads a daemon's entry. One that lacks what callers and peers need would send them
// nowhere.
func decode(id string, value []byte) (Daemon, error) {
	var d Daemon
	if err := json.Unmarshal(value, &d); err != nil {
		return Daemon{}, errors.Wrap(err, "roster: entry")
	}
	if string(d.ID) != id {
		return Daemon{}, errors.Newf("roster: entry: id: %q: must be that of the key", d.ID)
	}
	if _, err := netip.ParseAddrPort(d.CallerAddress); err != nil {
		return Daemon{}, errors.Wrap(err, "roster: entry: caller_address")
	}
	if _, err := netip.ParseAddrPort(d.PeerAddress); err != nil {
		return Daemon{}, errors.Wrap(err, "roster: entry: peer_address")
	}
	return d, nil
}

func (r *Roster) remove(id string, lapsing bool) {
	if !lapsing {
		delete(r.known, id)
		return
	}
	if _, ok := r.lapsing[id]; !ok {
		r.lapsing[id] = time.Now().Add(leaseTTL)
	}
}

func (r *Roster) forgetLapsed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for id, until := range r.lapsing {
		if now.After(until) {
			delete(r.lapsing, id)
			delete(r.known, id)
		}
	}
	r.publishLocked()
}

func (r *Roster) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publishLocked()
}

func (r *Roster) publishLocked() {
	var live []Daemon
	for id, d := range r.known {
		if id != string(r.o.Self.ID) && !d.Leaving {
			live = append(live, d)
		}
	}
	if !r.leaving.Load() {
		live = append(live, r.o.Self)
	}
	slices.SortFunc(live, func(a, b Daemon) int { return cmp.Compare(a.ID, b.ID) })
	if old := r.live.Load(); old == nil || !slices.Equal(*old, live) {
		r.live.Store(&live)
	}
}
