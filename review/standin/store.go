package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is how long the platform's store takes for an answer.
const storeDelay = 4 * time.Millisecond

// storePage is the number of items on a page of a listing.
const storePage = 500

// item is a key of the store, or its removal.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

// content is what a copy of the store holds.
type content struct {
	revision uint64
	items    map[string]item
	leases   map[uint64]storeLease
}

func (c content) clone() content {
	return content{revision: c.revision, items: maps.Clone(c.items), leases: maps.Clone(c.leases)}
}

// store is a stand-in for the platform's metadata store.
type store struct {
	listener net.Listener
	handler  http.Handler

	mu      sync.Mutex
	content content
	history []item
	oldest  uint64 // a watch from an earlier revision gets 410
	era     int64  // below zero: no answer names an era
	silent  bool   // calls get no answer
	// turned are the machines whose calls get no answer, by the address that each of them knows for the store; watches counts the
	// watches of each that wait.
	turned  map[string]bool
	watches map[string]int
	away    bool // calls get 503
	changed chan struct{}
}

func newStore(ip string, era int64) (*store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{
		listener: l, era: era, changed: make(chan struct{}), turned: map[string]bool{}, watches: map[string]int{},
		content: content{revision: 10, items: map[string]item{}, leases: map[uint64]storeLease{}},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /bluebellscale/kv-key", s.get)
	mux.HandleFunc("GET /bluebellscale/kv-range", s.list)
	mux.HandleFunc("GET /bluebellscale/kv-watch", s.watch)
	mux.HandleFunc("POST /bluebellscale/kv-txn", s.txn)
	mux.HandleFunc("POST /bluebellscale/kv-lease", s.grant)
	mux.HandleFunc("POST /bluebellscale/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /bluebellscale/kv-lease-end/{id}", s.end)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		s.mu.Lock()
		silent, away := s.silent || s.turned[localAddress(r)], s.away
		if away {
			s.stamp(w)
		}
		s.mu.Unlock()
		switch {
		case silent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case away:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			mux.ServeHTTP(w, r)
		}
	})
	s.handler = handler
	go func() { _ = http.Serve(l, handler) }() // ends with the process
	go s.expire()
	return s, nil
}

// localAddress returns the address at which a call arrived.
func localAddress(r *http.Request) string {
	a, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if a == nil {
		return ""
	}
	return a.String()
}

// ownAddress returns an address of the store for one machine.
func (s *store) ownAddress() (string, error) {
	host, _, _ := net.SplitHostPort(s.address())
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, s.handler) }() // ends with the process
	return l.Addr().String(), nil
}

// turnAway lets the calls of some machines get no answer from now on.
func (s *store) turnAway(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turned = map[string]bool{}
	for _, a := range addresses {
		s.turned[a] = true
	}
	s.wakeLocked()
}

// watching returns the addresses at which watches wait.
func (s *store) watching() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for a, n := range s.watches {
		if n > 0 {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

func (s *store) address() string { return s.listener.Addr().String() }

// stamp names the era of an answer. The lock must be held.
func (s *store) stamp(w http.ResponseWriter) {
	if s.era >= 0 {
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	}
}

// reply writes an answer that was made under the lock.
func (s *store) reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the caller has left
}

// expire removes the keys of leases that have ended.
func (s *store) expire() {
	for range time.Tick(10 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.content.leases {
			if time.Now().After(l.until) {
				s.endLocked(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLocked(id uint64) {
	delete(s.content.leases, id)
	for key, it := range s.content.items {
		if it.Lease == id {
			s.writeLocked(item{Key: key, Tombstone: true})
		}
	}
}

func (s *store) writeLocked(it item) {
	s.content.revision++
	it.Revision = s.content.revision
	if it.Tombstone {
		delete(s.content.items, it.Key)
	} else {
		it.Created = it.Revision
		if before, known := s.content.items[it.Key]; known {
			it.Created = before.Created
		}
		s.content.items[it.Key] = it
	}
	s.history = append(s.history, it)
	s.wakeLocked()
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or a replica. Its return is the confirmation.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // values are plain
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(item{Key: key, Value: base64.StdEncoding.EncodeToString(raw)})
}

// copy returns a copy of the store.
func (s *store) copy() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.clone()
}

// restore makes the store come back from a copy.
func (s *store) restore(c content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content = c.clone()
	for id, l := range s.content.leases {
		if time.Now().After(l.until) {
			s.endLocked(id) // the renewals since the copy are gone
		}
	}
	s.history, s.oldest = nil, s.content.revision
	if s.era >= 0 {
		s.era++
	}
	s.wakeLocked()
}

func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.wakeLocked()
}

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wakeLocked()
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.stamp(w)
	it, known := s.content.items[r.URL.Query().Get("key")]
	asOf := s.content.revision
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.reply(w, http.StatusOK, struct {
		item
		AsOf uint64 `json:"as_of"`
	}{it, asOf})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	s.stamp(w)
	items := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.content.items)) {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, s.content.items[key])
		}
	}
	asOf := s.content.revision
	s.mu.Unlock()
	more := len(items) > storePage
	s.reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), storePage)], "more_pages": more, "as_of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(ms) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	from := localAddress(r)
	s.watches[from]++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.watches[from]--
		s.mu.Unlock()
	}()
	for ended := false; ; {
		s.mu.Lock()
		if s.turned[from] {
			s.mu.Unlock()
			<-r.Context().Done() // gives no answer
			return
		}
		if s.silent || s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // a watch that waits may be cut
		}
		s.stamp(w)
		gone := after < s.oldest || after > s.content.revision || s.era != era
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("prefix")) {
				events = append(events, it)
			}
		}
		asOf, changed := s.content.revision, s.changed
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || ended:
			s.reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value string `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stamp(w)
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, known := s.content.leases[p.Lease]; p.Lease != 0 && !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, e := range t.Expected {
		if s.content.items[e.Key].Revision != e.Revision {
			s.reply(w, http.StatusPreconditionFailed, map[string]any{"items": s.rowsLocked(t)})
			return
		}
	}
	for _, p := range t.Puts {
		s.writeLocked(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Remove {
		if _, known := s.content.items[key]; known {
			s.writeLocked(item{Key: key, Tombstone: true})
		}
	}
	s.reply(w, http.StatusOK, map[string]any{"revision": s.content.revision})
}

// rowsLocked returns the items that a transaction expects, in their current state.
func (s *store) rowsLocked(t transaction) []item {
	rows := []item{}
	for _, e := range t.Expected {
		if it, known := s.content.items[e.Key]; known {
			rows = append(rows, it)
		}
	}
	return rows
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(time.Second, time.Duration(in.TTL)*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stamp(w)
	s.content.revision++
	id := s.content.revision
	s.content.leases[id] = storeLease{ttl: ttl, until: time.Now().Add(ttl)}
	s.reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stamp(w)
	l, known := s.content.leases[id]
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	s.content.leases[id] = l
	s.reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stamp(w)
	s.endLocked(id)
	s.reply(w, http.StatusOK, map[string]any{})
}
