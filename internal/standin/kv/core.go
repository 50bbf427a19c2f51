// Package kv is an in-memory stand-in for the platform's key-value service. It provides
// compare-and-swap, lists, leases, watches with a time limit, call counts and fault
// switches.
package kv

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/kvapi"
)

// Errors of Core.
var (
	errNotFound = errors.New("kv: not found")
	errTooLarge = errors.New("kv: value too large")
)

// conflictError carries the current entry, whose revision a compare-and-swap did not
// expect.
type conflictError struct {
	current kvapi.Entry
}

func (e *conflictError) Error() string { return "kv: conflict on " + e.current.Key }

type leaseState struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// Core holds the state of the service. It is safe for concurrent use.
type Core struct {
	now func() time.Time

	mu       sync.Mutex
	revision uint64
	entries  map[string]kvapi.Entry // includes tombstones of deleted keys, for watches
	leases   map[string]*leaseState
	granted  uint64
	changed  chan struct{} // closed and replaced at every change
}

// NewCore returns an empty Core that uses now as its clock.
func NewCore(now func() time.Time) *Core {
	return &Core{
		now:     now,
		entries: map[string]kvapi.Entry{},
		leases:  map[string]*leaseState{},
		changed: make(chan struct{}),
	}
}

// Get returns the entry of a key that is not deleted.
func (c *Core) Get(key string) (kvapi.Entry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireLocked()
	e, ok := c.entries[key]
	if !ok || e.Deleted {
		return kvapi.Entry{}, errNotFound
	}
	return e, nil
}

// List returns the entries under prefix that are not deleted, ordered by key.
func (c *Core) List(prefix string) kvapi.ListResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireLocked()
	out := kvapi.ListResponse{Revision: c.revision}
	for k, e := range c.entries {
		if !e.Deleted && strings.HasPrefix(k, prefix) {
			out.Entries = append(out.Entries, e)
		}
	}
	sort.Slice(out.Entries, func(i, j int) bool { return out.Entries[i].Key < out.Entries[j].Key })
	return out
}

// CompareAndSwap writes or deletes a key if its current revision is req.Expect.
func (c *Core) CompareAndSwap(req kvapi.CASRequest) (uint64, error) {
	if len(req.Value) > kvapi.MaxValue {
		return 0, errTooLarge
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireLocked()
	current, ok := c.entries[req.Key]
	live := ok && !current.Deleted
	var revision uint64
	if live {
		revision = current.Revision
	}
	if revision != req.Expect {
		if !live {
			current = kvapi.Entry{Key: req.Key, Deleted: true}
		}
		return 0, &conflictError{current: current}
	}
	if req.Delete {
		if live {
			c.deleteLocked(req.Key)
		}
		return c.revision, nil
	}
	if req.LeaseID != "" && c.leases[req.LeaseID] == nil {
		return 0, errNotFound
	}
	c.detachLocked(current)
	if req.LeaseID != "" {
		c.leases[req.LeaseID].keys[req.Key] = struct{}{}
	}
	c.putLocked(kvapi.Entry{Key: req.Key, Value: append([]byte(nil), req.Value...), LeaseID: req.LeaseID})
	return c.revision, nil
}

// Changes returns the entries under prefix that changed after a revision, oldest first,
// and a channel that is closed at the next change of any key.
func (c *Core) Changes(prefix string, after uint64) (kvapi.WatchResponse, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireLocked()
	out := kvapi.WatchResponse{Revision: c.revision}
	for k, e := range c.entries {
		if e.Revision > after && strings.HasPrefix(k, prefix) {
			out.Entries = append(out.Entries, e)
		}
	}
	sort.Slice(out.Entries, func(i, j int) bool { return out.Entries[i].Revision < out.Entries[j].Revision })
	return out, c.changed
}

// Grant creates a lease and returns its id. Ids are never reused.
func (c *Core) Grant(ttl time.Duration) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.granted++
	id := fmt.Sprintf("l%d", c.granted)
	c.leases[id] = &leaseState{ttl: ttl, expires: c.now().Add(ttl), keys: map[string]struct{}{}}
	return id
}

// KeepAlive renews a lease that has not expired, and returns its TTL.
func (c *Core) KeepAlive(id string) (time.Duration, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireLocked()
	l := c.leases[id]
	if l == nil {
		return 0, errNotFound
	}
	l.expires = c.now().Add(l.ttl)
	return l.ttl, nil
}

// Revoke ends a lease and deletes its keys.
func (c *Core) Revoke(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endLeaseLocked(id)
}

// Expire ends expired leases and deletes their keys, so that watches report the
// deletions.
func (c *Core) Expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireLocked()
}

// expireLocked ends expired leases in a fixed order, so that a test with the same seed
// gets the same revisions.
func (c *Core) expireLocked() {
	now := c.now()
	var expired []string
	for id, l := range c.leases {
		if !now.Before(l.expires) {
			expired = append(expired, id)
		}
	}
	sort.Strings(expired)
	for _, id := range expired {
		c.endLeaseLocked(id)
	}
}

func (c *Core) endLeaseLocked(id string) {
	l := c.leases[id]
	if l == nil {
		return
	}
	delete(c.leases, id)
	keys := make([]string, 0, len(l.keys))
	for k := range l.keys {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		c.deleteLocked(k)
	}
}

func (c *Core) deleteLocked(key string) {
	c.detachLocked(c.entries[key])
	c.putLocked(kvapi.Entry{Key: key, Deleted: true})
}

func (c *Core) detachLocked(e kvapi.Entry) {
	if l := c.leases[e.LeaseID]; l != nil {
		delete(l.keys, e.Key)
	}
}

func (c *Core) putLocked(e kvapi.Entry) {
	c.revision++
	e.Revision = c.revision
	c.entries[e.Key] = e
	close(c.changed)
	c.changed = make(chan struct{})
}
