package weights

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

// multiModelReplicas fakes replicas that serve two models and load one at a time.
type multiModelReplicas struct {
	mu         sync.Mutex
	versions   map[request.TargetID]map[request.Model]uint64
	orders     map[request.TargetID]uint64
	loading    map[request.TargetID]bool
	refused    int // orders that arrived during another load or with a wrong count
	maxLoading int // largest number of replicas that loaded at once
}

const loadDuration = 30 * time.Millisecond

func (f *multiModelReplicas) Report(_ context.Context, r *replicas.Replica) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := r.Info().ID
	return Report{Weights: maps.Clone(f.versions[id]), Orders: f.orders[id], Busy: f.loading[id]}, nil
}

func (f *multiModelReplicas) Load(_ context.Context, r *replicas.Replica, o Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := r.Info().ID
	if f.loading[id] || o.ExpectedOrders != f.orders[id] {
		f.refused++
		return errors.New("another order is being executed")
	}
	f.orders[id]++
	f.loading[id] = true
	n := 0
	for _, loads := range f.loading {
		if loads {
			n++
		}
	}
	f.maxLoading = max(f.maxLoading, n)
	time.AfterFunc(loadDuration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.versions[id][o.Model] = o.Version
		f.loading[id] = false
	})
	return nil
}

func (f *multiModelReplicas) countOutdated(requested map[request.Model]uint64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, versions := range f.versions {
		for model, version := range requested {
			if versions[model] < version {
				n++
			}
		}
	}
	return n
}

// Operators request weights of two models at the same time, and all replicas serve both. Each
// replica must receive both orders, one after the other, and no more replicas may be unavailable at
// once than with one model. When both models shared one view, replicas that had loaded one model
// counted as outdated in it and received the same order again.
func TestTwoModelsAreRolledOutTogether(t *testing.T) {
	requested := map[request.Model]uint64{"a": 2, "b": 3}
	calls := &multiModelReplicas{versions: map[request.TargetID]map[request.Model]uint64{}, orders: map[request.TargetID]uint64{}, loading: map[request.TargetID]bool{}}
	set := replicas.NewSet()
	var present []replicas.Info
	for i := range 10 {
		id := request.TargetID(fmt.Sprint("r", i))
		calls.versions[id] = map[request.Model]uint64{"a": 1, "b": 1}
		present = append(present, replicas.Info{ID: id, Service: "s", Address: "127.0.0.1:1", Weights: map[request.Model]uint64{"a": 1, "b": 1}})
	}
	set.Apply(time.Now(), replicas.Change{Full: true, Present: present})
	store, began := kv.NewFake(time.Now).Client("d"), time.Now()
	d := New(Options{
		KV: store, Self: "d", Set: set, Client: calls, OrderLease: 100 * time.Millisecond,
		Leases:            lease.NewManager(lease.Options{KV: store, Self: "d", TTL: 30 * time.Second, Margin: time.Second}),
		RequestedVersions: func() map[request.Model]uint64 { return requested },
		OutdatedSince:     func(m request.Model, v uint64) (time.Time, bool) { return began, v < requested[m] },
		Rank:              func() int { return 0 },
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for calls.countOutdated(requested) > 0 {
		if ctx.Err() != nil {
			t.Fatalf("%d weights are outdated", calls.countOutdated(requested))
		}
		d.reconcile(ctx)
		time.Sleep(5 * time.Millisecond)
	}
	calls.mu.Lock()
	defer calls.mu.Unlock()
	for id, n := range calls.orders {
		if n != 2 {
			t.Errorf("%s: %d orders", id, n)
		}
	}
	if calls.refused > 0 {
		t.Errorf("%d orders arrived during another load", calls.refused)
	}
	if calls.maxLoading > 4 { // a fifth of ten for each model
		t.Errorf("%d of 10 replicas loaded at once", calls.maxLoading)
	}
}
