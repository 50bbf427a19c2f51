// Package forwarding serves callers of a daemon that is itself partitioned from replicas through daemons that are not.
//
// An Observer follows which replicas this daemon reaches, decides with policy/reach when it has lost those of a service,
// and probes some until they are back. It asks other daemons, by the service Witness, whether a replica died if it reaches none.
package forwarding

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/singleflight"

	"github.com/bluebellscale/bluebellscale/internal/policy/reach"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// probeInterval is how often replicas are probed while their service is lost or may be.
	probeInterval = 250 * time.Millisecond
	// maxProbes bounds the replicas that are probed at once.
	maxProbes = 4
	// maxWitnesses bounds the replicas that are probed to tell a replica's death from the loss of the path to it: many may die at
	// once. witnessesAtOnce of them are probed at the same time.
	maxWitnesses    = 9
	witnessesAtOnce = 3
)

// ObserverOptions configures an Observer.
type ObserverOptions struct {
	Set *replicas.Set
	// Known returns the replicas of each service that this daemon uses.
	Known func() map[routing.ServiceID][]*replicas.Replica
	// OnChange is called when a service was lost or is reached again. It must not block. Nil: it is not called.
	OnChange func()
	// Peers returns the peer addresses of other daemons, those first that are least likely to have lost the same paths; nil: there are none.
	Peers   func() []string
	Client  *http.Client // calls Peers
	Logger  hclog.Logger
	Metrics tally.Scope
}

// Observer knows which services' replicas this daemon reaches. It is safe for concurrent use.
type Observer struct {
	o      ObserverOptions
	probes chan struct{}      // has an element if replicas are to be probed
	checks singleflight.Group // by other daemons

	failing atomic.Bool // there are recent failures; without them no service is lost

	mu       sync.Mutex
	tracker  reach.Tracker
	lost     map[routing.ServiceID]time.Time // services, and since when
	untried  map[routing.ServiceID]bool      // whether a lost service has replicas that are worth an attempt
	isolated bool                            // all services with replicas are lost
	since    time.Time                       // when that began
	probedAt time.Time
}

// ServiceReach is a service whose replicas this daemon does not reach.
type ServiceReach struct {
	Service routing.ServiceID `json:"service"`
	ForMs   int64             `json:"for_ms"`
}

// ReachState is what this daemon reaches, for a state dump.
type ReachState struct {
	Isolated bool           `json:"isolated"` // from all replicas
	Lost     []ServiceReach `json:"lost,omitempty"`
}

// NewObserver returns an Observer that follows the replicas of a set. It must be called before the first Apply of the set.
func NewObserver(o ObserverOptions) *Observer {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	o.Logger = o.Logger.Named("reach")
	observer := &Observer{o: o, probes: make(chan struct{}, 1), lost: map[routing.ServiceID]time.Time{}, untried: map[routing.ServiceID]bool{}}
	o.Set.OnReached(observer.onReached)
	o.Set.OnFailed(observer.onFailed)
	return observer
}

// Lost reports whether this daemon reaches none of a service's replicas.
func (o *Observer) Lost(service routing.ServiceID) bool {
	if !o.failing.Load() {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	_, lost := o.lost[service]
	return lost
}

// Exhausted reports whether this daemon reaches none of a service's replicas, and none is worth an attempt.
func (o *Observer) Exhausted(service routing.ServiceID) bool {
	if !o.failing.Load() {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	_, lost := o.lost[service]
	return lost && !o.untried[service]
}

// Suspected reports whether this daemon may have lost the path to all replicas.
func (o *Observer) Suspected() bool {
	if !o.failing.Load() {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.Suspected(time.Now())
}

// Isolated reports whether this daemon reaches no replica of any service.
func (o *Observer) Isolated() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isolated
}

// IsolatedFor reports whether this daemon has reached no replica for a duration.
func (o *Observer) IsolatedFor(d time.Duration) bool {
	if !o.failing.Load() {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isolated && time.Since(o.since) >= d
}

// LostServices returns the services whose replicas this daemon does not reach, in order.
func (o *Observer) LostServices() []routing.ServiceID {
	if !o.failing.Load() {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Sorted(maps.Keys(o.lost))
}

// State returns what this daemon reaches.
func (o *Observer) State() ReachState {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := ReachState{Isolated: o.isolated}
	for _, service := range slices.Sorted(maps.Keys(o.lost)) {
		s.Lost = append(s.Lost, ServiceReach{Service: service, ForMs: time.Since(o.lost[service]).Milliseconds()})
	}
	return s
}

func (o *Observer) onReached(r *replicas.Replica) {
	if !o.failing.Load() {
		return
	}
	now := time.Now()
	o.mu.Lock()
	o.tracker.OnReached(now, r.Info().Service)
	mayRegain := len(o.lost) > 0 || o.isolated
	o.mu.Unlock()
	if mayRegain {
		o.update(now)
	}
}

func (o *Observer) onFailed(r *replicas.Replica) {
	now := time.Now()
	o.o.Metrics.Counter("replica_connects_failed").Inc(1)
	o.mu.Lock()
	o.tracker.OnFailed(now, r.Info().Service, reach.ReplicaID(r.Hash()), r.Proven())
	o.failing.Store(true)
	o.mu.Unlock()
	o.update(now)
}

// update works out which services are lost, and acts on changes.
func (o *Observer) update(now time.Time) {
	known := o.o.Known()
	o.mu.Lock()
	o.tracker.Prune(now)
	o.tracker.SetProven(provenOf(known))
	wasIsolated := o.isolated
	o.isolated = o.tracker.Isolated(now)
	changed, regained := false, false
	for service, list := range known {
		since, before := o.lost[service]
		ids := idsOf(list)
		lost := o.tracker.Lost(now, service, ids)
		o.untried[service] = lost && !o.tracker.Exhausted(now, service, ids)
		switch {
		case lost && !before:
			o.lost[service], changed = now, true
			o.o.Logger.Warn("This daemon reaches no replica of a service", "service", service, "replicas", len(list), "isolated", o.isolated)
		case !lost && before:
			delete(o.lost, service)
			changed, regained = true, true
			o.o.Logger.Info("This daemon reaches replicas of a service again", "service", service, "after_ms", now.Sub(since).Milliseconds())
		}
	}
	for service := range o.lost {
		if _, exists := known[service]; !exists {
			delete(o.lost, service)
			delete(o.untried, service)
			changed = true
		}
	}
	isolated := o.isolated
	if isolated && !wasIsolated {
		o.since = now
	}
	o.o.Metrics.Gauge("services_lost").Update(float64(len(o.lost)))
	probe := o.tracker.Suspected(now) || len(o.lost) > 0
	o.failing.Store(probe || o.tracker.Any())
	o.mu.Unlock()
	if isolated && !wasIsolated {
		o.o.Set.CloseIdle() // the connections of the path that was lost would hang
	}
	if regained {
		o.o.Set.RetryDown(wasIsolated)
	}
	if probe {
		o.wake()
	}
	if changed && o.o.OnChange != nil {
		o.o.OnChange()
	}
}

func idsOf(list []*replicas.Replica) []reach.ReplicaID {
	ids := make([]reach.ReplicaID, len(list))
	for i, r := range list {
		ids[i] = reach.ReplicaID(r.Hash())
	}
	return ids
}

// provenOf returns how many replicas were ever reached.
func provenOf(known map[routing.ServiceID][]*replicas.Replica) (n int) {
	for _, list := range known {
		for _, r := range list {
			if r.Proven() {
				n++
			}
		}
	}
	return n
}

func (o *Observer) wake() {
	select {
	case o.probes <- struct{}{}:
	default:
	}
}

// Run probes replicas while this daemon reaches none of a service, or may have lost all, until ctx ends.
func (o *Observer) Run(ctx context.Context) error {
	timer := time.NewTicker(probeInterval)
	defer timer.Stop()
	for {
		select {
		case <-o.probes:
			o.probe(ctx, time.Now())
		case <-timer.C:
			if o.failing.Load() {
				o.update(time.Now())
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// probe probes some replicas, unless that was done just before.
func (o *Observer) probe(ctx context.Context, now time.Time) {
	for _, r := range o.toProbe(now) {
		go r.Probe(ctx)
	}
}

// PathIsSound reports whether it isn't by a lost path that this daemon does not reach a replica: it reaches another one, of which it probes
// some, or other daemons do not reach the replica either, as when all replicas of a small service die. Without other replicas the path counts
// as sound unless another daemon reaches the replica.
func (o *Observer) PathIsSound(ctx context.Context, unreached *replicas.Replica) bool {
	witnesses := o.witnesses(unreached)
	for some := range slices.Chunk(witnesses, witnessesAtOnce) {
		if ctx.Err() == nil && reachesAny(ctx, some) {
			return true
		}
	}
	testimonies := o.askPeers(unreached)
	if len(witnesses) == 0 {
		return reach.Count(testimonies, reach.Reaches) == 0
	}
	return reach.Died(testimonies)
}

// witnesses returns a random choice of the replicas at other addresses than that of unreached. Those that are known to accept no
// connections come last.
func (o *Observer) witnesses(unreached *replicas.Replica) []*replicas.Replica {
	var up, down []*replicas.Replica
	for _, list := range o.o.Known() {
		for _, r := range list {
			switch {
			case r.Info().Address == unreached.Info().Address:
			case r.Health.Down():
				down = append(down, r)
			default:
				up = append(up, r)
			}
		}
	}
	for _, list := range [][]*replicas.Replica{up, down} {
		rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	}
	all := append(up, down...)
	return all[:min(maxWitnesses, len(all))]
}

// reachesAny probes replicas at the same time and reports whether one of them accepts connections.
func reachesAny(ctx context.Context, some []*replicas.Replica) bool {
	reached := make(chan bool, len(some))
	for _, r := range some {
		go func() { reached <- !r.IsDown(ctx, time.Time{}, time.Time{}) }()
	}
	for range some {
		if <-reached {
			return true
		}
	}
	return false
}

// toProbe returns a random sample of the replicas whose state would change what this daemon knows: those of lost services,
// and if it may have lost all, those that have not failed. Those that were reached before come first.
func (o *Observer) toProbe(now time.Time) []*replicas.Replica {
	known := o.o.Known()
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.probedAt) < probeInterval {
		return nil
	}
	o.probedAt = now
	var candidates []*replicas.Replica
	for service, list := range known {
		_, lost := o.lost[service]
		for _, r := range list {
			if lost || !o.tracker.Failed(now, service, reach.ReplicaID(r.Hash())) {
				candidates = append(candidates, r)
			}
		}
	}
	rand.Shuffle(len(candidates), func(i, k int) { candidates[i], candidates[k] = candidates[k], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b *replicas.Replica) int {
		switch {
		case a.Proven() == b.Proven():
			return 0
		case a.Proven():
			return -1
		}
		return 1
	})
	return candidates[:min(maxProbes, len(candidates))]
}
