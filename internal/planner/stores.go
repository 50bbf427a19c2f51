package planner

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/store"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

const (
	// statusKept is how long a store VM's status is used before it is asked again.
	statusKept = time.Second
	// statusTimeout bounds one question for it.
	statusTimeout = 500 * time.Millisecond
)

// storePool holds the clients of store VMs.
type storePool struct {
	log hclog.Logger

	mu      sync.Mutex
	clients map[string]*store.Client
	kept    map[request.StoreID]keptStatus
}

type keptStatus struct {
	status storeapi.Status
	err    error
	read   time.Time
}

func newStorePool(log hclog.Logger) *storePool {
	return &storePool{log: log, clients: map[string]*store.Client{}, kept: map[request.StoreID]keptStatus{}}
}

func (s *storePool) client(id request.StoreID, address string) *store.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := string(id) + "@" + address
	c, ok := s.clients[key]
	if !ok {
		c = store.New(store.Options{ID: id, Address: address, Logger: s.log})
		s.clients[key] = c
	}
	return c
}

// status returns a store VM's status, at most statusKept old.
func (s *storePool) status(ctx context.Context, row *table.Store) (storeapi.Status, error) {
	return s.statusWithin(ctx, row, statusKept)
}

// statusWithin returns a store VM's status that is at most age old.
func (s *storePool) statusWithin(ctx context.Context, row *table.Store, age time.Duration) (storeapi.Status, error) {
	s.mu.Lock()
	kept, ok := s.kept[row.ID]
	s.mu.Unlock()
	if ok && time.Since(kept.read) < age {
		return kept.status, kept.err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := s.client(row.ID, row.Address).Status(ctx)
	s.mu.Lock()
	s.kept[row.ID] = keptStatus{status: status, err: err, read: time.Now()}
	s.mu.Unlock()
	return status, err
}

func (s *storePool) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.clients {
		c.Close()
	}
}
