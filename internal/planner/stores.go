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
	// statusMaxAge is how long a store VM's status is cached.
	statusMaxAge = time.Second
	// statusTimeout bounds one status request.
	statusTimeout = 500 * time.Millisecond
)

// storePool holds the clients of store VMs and caches their statuses.
type storePool struct {
	log hclog.Logger

	mu       sync.Mutex
	clients  map[string]*store.Client
	statuses map[request.StoreID]cachedStatus
}

type cachedStatus struct {
	status storeapi.Status
	err    error
	readAt time.Time
}

func newStorePool(log hclog.Logger) *storePool {
	return &storePool{log: log, clients: map[string]*store.Client{}, statuses: map[request.StoreID]cachedStatus{}}
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

// status returns a store VM's status that is at most statusMaxAge old.
func (s *storePool) status(ctx context.Context, row *table.Store) (storeapi.Status, error) {
	return s.statusWithin(ctx, row, statusMaxAge)
}

// statusWithin returns a store VM's status that is at most age old.
func (s *storePool) statusWithin(ctx context.Context, row *table.Store, age time.Duration) (storeapi.Status, error) {
	s.mu.Lock()
	cached, ok := s.statuses[row.ID]
	s.mu.Unlock()
	if ok && time.Since(cached.readAt) < age {
		return cached.status, cached.err
	}
	attempt, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := s.client(row.ID, row.Address).Status(attempt)
	if ctx.Err() != nil {
		return status, err // says nothing about the store VM
	}
	s.mu.Lock()
	s.statuses[row.ID] = cachedStatus{status: status, err: err, readAt: time.Now()}
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
