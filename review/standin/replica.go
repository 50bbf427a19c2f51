package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat    = 1200 * time.Millisecond
	loadTime     = 420 * time.Millisecond // of new weights
	freeLoads    = 3                      // at once; more slow one another
	kvTokens     = 49723
	engineModel  = "m0"
	prefillPerMs = 52.4 // prompt tokens
)

// cached is a part of a prompt in a replica's memory.
type cached struct {
	tokens int
	tenant string // whose request made it
}

// execution is one request that a replica ran.
type execution struct {
	at       time.Time
	replica  string
	request  string
	tenant   string
	software string
	reused   map[string]string // by part: the tenant whose request made it, if it was cached
}

// order is an order that reached a replica.
type order struct {
	at      time.Time
	replica string
	holder  string
	fence   uint64
	version uint64
	status  int
}

// fleet is the replicas of one service, and what reached them.
type fleet struct {
	store *store
	log   *record

	mu      sync.Mutex
	runs    []execution
	orders  []order
	loading int // replicas
	// services has the service of each receipt's replica.
	services map[string]string
}

// serviceOf returns the service of the replica that gave a receipt.
func (f *fleet) serviceOf(signature string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services[signature]
}

// load returns how long a load that begins now takes.
func (f *fleet) load() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loading++
	return loadTime * time.Duration(max(f.loading, freeLoads)) / freeLoads
}

func (f *fleet) loaded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loading--
}

// replica is a stand-in for a model replica.
type replica struct {
	fleet   *fleet
	id      string
	address string
	service string
	zone    string
	events  int           // of a stream
	pause   time.Duration // between two events
	// lateEntry is set if a replica that starts again writes its entry with its next status report, and not at once.
	lateEntry bool

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	born     int64
	software string
	version  uint64 // of the weights
	sequence uint64
	busy     bool
	running  int
	cache    map[string]cached // by salt and part
}

func newReplica(f *fleet, ip, id, service, zone, software string, events int, pause time.Duration) (*replica, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	r := &replica{fleet: f, id: id, address: l.Addr().String(), service: service, zone: zone, events: events, pause: pause, version: 1}
	f.mu.Lock()
	f.services[r.signature()] = service
	f.mu.Unlock()
	r.begin(l, software)
	r.register()
	go r.beat()
	return r, nil
}

// signature returns the receipt of the replica's answers.
func (r *replica) signature() string { return "s." + r.id }

// begin starts the replica's process. The lock must not be held.
func (r *replica) begin(l net.Listener, software string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener, r.software = l, software
	r.born = time.Now().UnixMilli()
	r.sequence, r.busy, r.running, r.cache = 0, false, 0, map[string]cached{}
	r.server = &http.Server{Handler: r.handler()}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server) // ends with crash or the process
}

// crash ends the replica's process; its channels are closed.
func (r *replica) crash() {
	r.mu.Lock()
	server := r.server
	r.server = nil
	r.mu.Unlock()
	_ = server.Close()
	r.fleet.log.add("replica %s crashes", r.id)
}

// restart starts the replica again at its address, under its id.
func (r *replica) restart(software string) error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.begin(l, software)
	r.fleet.log.add("replica %s starts again with software %s", r.id, software)
	if !r.lateEntry {
		r.register()
	}
	return nil
}

// register writes the replica's entry, unless the store is away.
func (r *replica) register() {
	r.mu.Lock()
	up := r.server != nil
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.software, "slots": 48, "state": "ready",
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born, "stage": "both",
		"models": []any{map[string]any{"name": engineModel, "version": r.version, "adapters": []string{}}},
	}
	r.mu.Unlock()
	r.fleet.store.mu.Lock()
	reachable := !r.fleet.store.silent && !r.fleet.store.away
	r.fleet.store.mu.Unlock()
	if up && reachable {
		r.fleet.store.put("servers/"+r.id, entry)
	}
}

func (r *replica) beat() {
	for range time.Tick(heartbeat) {
		r.register()
	}
}

func (r *replica) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /bluebellscale/report", r.report)
	mux.HandleFunc("POST /bluebellscale/order", r.order)
	mux.HandleFunc("GET /bluebellscale/kv-events", r.kvEvents)
	mux.HandleFunc("GET /bluebellscale/kv-list", r.kvList)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", r.id) })
	mux.HandleFunc("/", r.serve)
	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // fails if the caller has left
	}
}

// misdirected answers a request for another replica.
func (r *replica) misdirected(w http.ResponseWriter, q *http.Request) bool {
	if want := q.Header.Get("Expected-Instance"); want == "" || want == r.id {
		return false
	}
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (r *replica) report(w http.ResponseWriter, q *http.Request) {
	if r.misdirected(w, q) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": engineModel, "version": r.version, "adapters": []string{}}},
		"busy": r.busy, "sequence": r.sequence, "waiting": 0, "running": r.running, "kv_used": 0, "kv_total": kvTokens, "handles": 0,
		"state": "ready", "born": r.born, "clock_ms": time.Now().UnixMilli(),
	})
}

func (r *replica) kvEvents(w http.ResponseWriter, q *http.Request) {
	ms, _ := strconv.Atoi(q.Header.Get("Wait-Ms"))
	select {
	case <-time.After(time.Duration(min(ms, 1000)) * time.Millisecond):
	case <-q.Context().Done():
		return
	}
	since, _ := strconv.Atoi(q.URL.Query().Get("since"))
	r.mu.Lock()
	defer r.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"epoch": r.born, "next": since, "lost": false, "events": []any{}, "born": r.born, "clock_ms": time.Now().UnixMilli()})
}

func (r *replica) kvList(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := []any{}
	for key, c := range r.cache {
		salt, id, _ := strings.Cut(key, "/")
		held = append(held, []any{salt, id, c.tokens, engineModel})
	}
	reply(w, http.StatusOK, map[string]any{"epoch": r.born, "next": 0, "held": held, "born": r.born})
}

func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	if r.misdirected(w, q) {
		return
	}
	var o struct {
		Operation string  `json:"operation"`
		Model     string  `json:"model"`
		Version   uint64  `json:"version"`
		Holder    string  `json:"holder"`
		Fence     uint64  `json:"fencing_token"`
		Expected  *uint64 `json:"expected"`
	}
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Operation != "version" || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := r.accept(o.Version, o.Expected)
	f := r.fleet
	f.mu.Lock()
	f.orders = append(f.orders, order{at: time.Now(), replica: r.id, holder: o.Holder, fence: o.Fence, version: o.Version, status: status})
	f.mu.Unlock()
	f.log.add("order at %s from %s fence %d version %d: %d", r.id, o.Holder, o.Fence, o.Version, status)
	w.WriteHeader(status)
}

// accept carries an order out, unless it holds already or another one is in progress.
func (r *replica) accept(version uint64, expected *uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.busy, expected != nil && *expected != r.sequence:
		return http.StatusConflict
	case r.version == version:
		return http.StatusOK
	}
	r.sequence++
	r.busy = true
	born := r.born
	time.AfterFunc(r.fleet.load(), func() {
		r.fleet.loaded()
		r.mu.Lock()
		if r.born != born {
			r.mu.Unlock()
			return
		}
		r.busy, r.version, r.cache = false, version, map[string]cached{}
		r.mu.Unlock()
		r.register()
	})
	return http.StatusAccepted
}

// serve runs a request and answers it with a stream.
func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.misdirected(w, q) {
		return
	}
	r.mu.Lock()
	version, software := r.version, r.software
	expected := q.Header.Get("Expected-Version")
	switch {
	case expected != "" && expected != strconv.FormatUint(version, 10):
		r.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.busy:
		r.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.running++
	ran := execution{at: time.Now(), replica: r.id, request: id, tenant: q.Header.Get("Tenant"), software: software, reused: map[string]string{}}
	compute := r.useCache(q, &ran)
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	f := r.fleet
	f.mu.Lock()
	f.runs = append(f.runs, ran)
	f.mu.Unlock()
	f.log.add("replica %s (%s) runs %s of tenant %q under salt %q after event %q, parts from cache: %v", r.id, software, id, ran.tenant, q.Header.Get("Cache-Salt"), q.Header.Get("Last-Event-Id"), ran.reused)
	time.Sleep(time.Duration(float64(compute)/prefillPerMs) * time.Millisecond)
	w.Header().Set("Response-Signature", r.signature())
	w.Header().Set("Weight-Versions", strconv.FormatUint(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= r.events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, software, r.id)
		w.(http.Flusher).Flush()
		select {
		case <-time.After(r.pause):
		case <-q.Context().Done():
			return
		}
	}
}

// useCache looks the parts of a prompt up and keeps those that are not cached. It returns the number of tokens to read.
// The lock must be held.
func (r *replica) useCache(q *http.Request, ran *execution) int {
	salt, compute, complete := q.Header.Get("Cache-Salt"), 0, true
	for _, entry := range strings.Split(q.Header.Get("Prompt-Prefix"), ",") {
		id, count, _ := strings.Cut(entry, ":")
		tokens, err := strconv.Atoi(count)
		if err != nil {
			continue
		}
		key := salt + "/" + id
		c, known := r.cache[key]
		if known && complete {
			ran.reused[id] = c.tenant
			continue
		}
		complete = false
		compute += tokens
		if !known {
			r.cache[key] = cached{tokens: tokens, tenant: ran.tenant}
		}
	}
	return compute
}
