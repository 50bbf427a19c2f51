// Package store is a stand-in for a store VM. It serves storeapi and holds named,
// immutable objects in a memory tier and a disk tier of limited capacity, behind a link
// of limited bandwidth.
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

// Errors of Store. HTTP responses carry their texts.
var (
	errAbsent          = errors.New("store: no such object")
	errFreed           = errors.New("store: name was freed")
	errContentMismatch = errors.New("store: name holds other content")
	errFull            = errors.New("store: full")
	errPinned          = errors.New("store: pinned")
)

// Options configures New.
type Options struct {
	MemoryBytes     int64   // capacity of the memory tier
	DiskBytes       int64   // capacity of the disk tier
	LinkBytesPerSec float64 // nominal; 0: unlimited
	DiskBytesPerSec float64 // nominal; 0: unlimited
	TimeScale       float64 // real seconds per nominal second; 0: 1
	// Evict makes a full tier evict its least recently used unpinned object. The memory
	// tier moves it to the disk tier, or frees it if the disk tier cannot hold it. The
	// disk tier frees it. Without Evict, a full tier rejects objects.
	Evict    bool
	Switches *fault.Switches
}

type object struct {
	name        string
	content     []byte
	digest      string
	length      int64 // bytes charged to the tier and the link
	tier        storeapi.Tier
	pinnedUntil time.Time
	lastUsed    time.Time // last read or write
	element     *list.Element
}

// tier is a storage tier. Its objects are ordered by use, most recent first.
type tier struct {
	capacity int64
	used     int64
	order    *list.List
}

// Store holds the state of the stand-in.
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

// New returns an empty Store.
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

// put adds an object to the memory tier. It is idempotent for equal content.
func (s *Store) put(name string, content []byte, digest string, length int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.freed[name]; ok {
		return errFreed
	}
	if old, ok := s.objects[name]; ok {
		if old.digest != digest || old.length != length {
			return errContentMismatch
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

// get returns an object and, unless peek is set, marks it as used.
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

// list returns up to limit objects whose name has the prefix and the substring, the
// longest unused first.
func (s *Store) list(prefix, contains string, limit int) []storeapi.ObjectInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []storeapi.ObjectInfo{}
	now := time.Now()
	for name, o := range s.objects {
		if strings.HasPrefix(name, prefix) && strings.Contains(name, contains) {
			out = append(out, storeapi.ObjectInfo{Name: name, Tier: o.tier, IdleMillis: now.Sub(o.lastUsed).Milliseconds()})
		}
	}
	slices.SortFunc(out, func(a, b storeapi.ObjectInfo) int {
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

// free deletes an object permanently. Its name cannot be used again.
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

// move moves an object to a tier and returns the number of bytes moved.
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

// pin protects an object from being freed before the given time.
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

// Status reports the use of the tiers and the link. The reported link speed includes
// the time scale and the slow factor.
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
