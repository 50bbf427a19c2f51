package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items on a page of a listing.
const pageItems = 500

// item is a key of the store as it goes over the wire.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// store stands in for the platform's metadata store. It is sound: it answers every call, loses nothing and keeps its history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	changed  chan struct{} // closed at the next change
	down     bool          // resets all channels
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	down := s.down
	s.mu.Unlock()
	if down {
		reset(w)
		return
	}
	rest, _ := strings.CutPrefix(r.URL.Path, "/bluebellscale/")
	call, id, _ := strings.Cut(rest, "/")
	number, _ := strconv.ParseUint(id, 10, 64)
	switch call {
	case "kv-key":
		s.get(w, r)
	case "kv-range":
		s.list(w, r)
	case "kv-watch":
		s.watch(w, r)
	case "kv-txn":
		s.txn(w, r)
	case "kv-lease":
		s.grant(w, r)
	case "kv-keep":
		s.keep(w, number)
	case "kv-lease-end":
		s.end(w, number)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reset resets the channel of a call.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // it has ended
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// goDown resets all channels, also of the watches that wait.
func (s *store) goDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack serves again. The entries of all replicas have lapsed meanwhile.
func (s *store) comeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for key := range s.items {
		if strings.HasPrefix(key, "servers/") {
			s.write(item{Key: key, Tombstone: true})
		}
	}
	s.down = false
}

// put writes a key for the operator or a replica.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: raw})
}

// remove removes a key of the operator or of a replica.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Tombstone: true})
}

// write changes one key. The mutex must be held.
func (s *store) write(i item) {
	before, exists := s.items[i.Key]
	if i.Tombstone && !exists {
		return
	}
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if exists {
		i.Created = before.Created
	}
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended. The mutex must be held.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.drop(id)
		}
	}
}

func (s *store) drop(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(item{Key: key, Tombstone: true})
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the client is gone
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf uint64 `json:"as_of"`
	}{i, at})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			found = append(found, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > pageItems
	reply(w, http.StatusOK, map[string]any{"items": found[:min(len(found), pageItems)], "more_pages": more, "as_of": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		at, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			reset(w)
			return
		}
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a conditional write.
type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	unmet, rows := false, []item{}
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		unmet = unmet || i.Revision != e.Revision
		if ok {
			rows = append(rows, i)
		}
	}
	if unmet {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": rows})
		return
	}
	for _, p := range t.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Remove {
		s.write(item{Key: key, Tombstone: true})
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(max(in.TTL, 1000)) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(id)
	reply(w, http.StatusOK, map[string]any{})
}
