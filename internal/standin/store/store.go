// Package store is a stand-in for a store VM: named immutable objects in a memory
// and a disk tier of limited size, behind a limited link. It serves storeapi.
package store

import (
	"cmp"
	"container/list"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/standin/fault"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
)

// Errors of Store.
var (
	errAbsent = errors.New("store: no such object")
	errFreed  = errors.New("store: name was freed")
	errExists = errors.New("store: name holds other content")
	errFull   = errors.New("store: full")
	errPinned = errors.New("store: pinned")
)

// Options of New.
type Options struct {
	MemoryBytes     int64   // room of the memory tier
	DiskBytes       int64   // room of the disk tier
	LinkBytesPerSec float64 // nominal; 0: unlimited
	DiskBytesPerSec float64 // nominal; 0: unlimited
	TimeScale       float64 // real time of a nominal second; 0 counts as 1
	// Evict lets a full tier free its least recently used unpinned object: memory moves
	// it to disk, disk frees it. Without it a full tier refuses.
	Evict    bool
	Switches *fault.Switches
}

type object struct {
	name        string
	content     []byte
	digest      string
	length      int64 // bytes charged
	tier        storeapi.Tier
	pinnedUntil time.Time // until then
	lastUsed    time.Time // last read or write
	element     *list.Element
}

// tier is one kind of room. Its order is by use, most recent first.
type tier struct {
	capacity int64
	used     int64
	order    *list.List
}

// Store is the stand-in's state.
type Store struct {
	switches *fault.Switches
	evict    bool
	link     *link
	disk     *link

	mu       sync.Mutex
	objects  map[string]*object
	freed    map[string]struct{}
	tiers    map[storeapi.Tier]*tier
	bytesIn  int64
	bytesOut int64
}

// New returns an empty store.
func New(o Options) *Store {
	scale := o.TimeScale
	if scale == 0 {
		scale = 1
	}
	s := &Store{
		switches: o.Switches,
		evict:    o.Evict,
		link:     newLink(o.LinkBytesPerSec / scale),
		disk:     newLink(o.DiskBytesPerSec / scale),
		objects:  make(map[string]*object),
		freed:    make(map[string]struct{}),
		tiers: map[storeapi.Tier]*tier{
			storeapi.TierMemory: {capacity: o.MemoryBytes, order: list.New()},
			storeapi.TierDisk:   {capacity: o.DiskBytes, order: list.New()},
		},
	}
	if s.switches == nil {
		s.switches = fault.New(fault.Options{})
	}
	return s
}

// put adds an object to the memory tier. A repeat with equal content is harmless.
func (s *Store) put(name string, content []byte, digest string, length int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.freed[name]; ok {
		return errFreed
	}
	if old, ok := s.objects[name]; ok {
		if old.digest != digest || old.length != length {
			return errExists
		}
		return nil
	}
	if s.switches.Status().Full {
		return errFull
	}
	if err := s.makeSpaceLocked(storeapi.TierMemory, length, time.Now()); err != nil {
		return err
	}
	o := &object{name: name, content: content, digest: digest, length: length, lastUsed: time.Now()}
	s.objects[name] = o
	s.addToTierLocked(o, storeapi.TierMemory)
	s.bytesIn += length
	return nil
}

// get returns an object and, unless it only peeks, counts a use of it.
func (s *Store) get(name string, peek bool) (object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, err := s.findLocked(name)
	if err != nil {
		return object{}, err
	}
	if !peek {
		s.tiers[o.tier].order.MoveToFront(o.element)
		o.lastUsed = time.Now()
	}
	s.bytesOut += o.length
	return *o, nil
}

// list returns objects by name, the longest unused first.
func (s *Store) list(prefix, contains string, limit int) []storeapi.Listed {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []storeapi.Listed{}
	now := time.Now()
	for name, o := range s.objects {
		if strings.HasPrefix(name, prefix) && strings.Contains(name, contains) {
			out = append(out, storeapi.Listed{Name: name, Tier: o.tier, IdleMillis: now.Sub(o.lastUsed).Milliseconds()})
		}
	}
	slices.SortFunc(out, func(a, b storeapi.Listed) int {
		return cmp.Or(cmp.Compare(b.IdleMillis, a.IdleMillis), cmp.Compare(a.Name, b.Name))
	})
	return out[:min(limit, len(out))]
}

func (s *Store) findLocked(name string) (*object, error) {
	if o, ok := s.objects[name]; ok {
		return o, nil
	}
	if _, ok := s.freed[name]; ok {
		return nil, errFreed
	}
	return nil, errAbsent
}

// free deletes an object for ever.
func (s *Store) free(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, err := s.findLocked(name)
	if err != nil {
		return err
	}
	if time.Now().Before(o.pinnedUntil) {
		return errPinned
	}
	s.freeLocked(o)
	return nil
}

func (s *Store) freeLocked(o *object) {
	s.removeFromTierLocked(o)
	delete(s.objects, o.name)
	s.freed[o.name] = struct{}{}
}

// move brings an object to a tier and returns the bytes moved.
func (s *Store) move(name string, to storeapi.Tier) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, err := s.findLocked(name)
	if err != nil {
		return 0, err
	}
	if o.tier == to {
		return 0, nil
	}
	if err := s.makeSpaceLocked(to, o.length, time.Now()); err != nil {
		return 0, err
	}
	s.removeFromTierLocked(o)
	s.addToTierLocked(o, to)
	return o.length, nil
}

// pin keeps an object from being freed until a time.
func (s *Store) pin(name string, until time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, err := s.findLocked(name)
	if err != nil {
		return err
	}
	if until.After(o.pinnedUntil) {
		o.pinnedUntil = until
	}
	return nil
}

func (s *Store) makeSpaceLocked(name storeapi.Tier, length int64, now time.Time) error {
	t := s.tiers[name]
	if length > t.capacity {
		return errFull
	}
	for t.used+length > t.capacity {
		if !s.evict {
			return errFull
		}
		if err := s.evictOneLocked(name, now); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) evictOneLocked(name storeapi.Tier, now time.Time) error {
	for e := s.tiers[name].order.Back(); e != nil; e = e.Prev() {
		o := e.Value.(*object)
		if now.Before(o.pinnedUntil) {
			continue
		}
		if name == storeapi.TierMemory && s.makeSpaceLocked(storeapi.TierDisk, o.length, now) == nil {
			s.removeFromTierLocked(o)
			s.addToTierLocked(o, storeapi.TierDisk)
			return nil
		}
		s.freeLocked(o)
		return nil
	}
	return errFull
}

func (s *Store) addToTierLocked(o *object, name storeapi.Tier) {
	t := s.tiers[name]
	o.tier = name
	o.element = t.order.PushFront(o)
	t.used += o.length
}

func (s *Store) removeFromTierLocked(o *object) {
	t := s.tiers[o.tier]
	t.order.Remove(o.element)
	t.used -= o.length
}

// Status reports room and link use; the link's speed is the real one.
func (s *Store) Status() storeapi.Status {
	slow := s.switches.Status().Slow
	s.mu.Lock()
	defer s.mu.Unlock()
	memory, disk := s.tiers[storeapi.TierMemory], s.tiers[storeapi.TierDisk]
	return storeapi.Status{
		MemoryUsed:      memory.used,
		MemoryTotal:     memory.capacity,
		DiskUsed:        disk.used,
		DiskTotal:       disk.capacity,
		LinkBytesPerSec: int64(s.link.bytesPerSec / slow),
		LinkQueueBytes:  s.link.queuedBytes(time.Now(), slow),
		BytesOut:        s.bytesOut,
		BytesIn:         s.bytesIn,
	}
}
