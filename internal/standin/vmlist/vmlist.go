// Package vmlist is a stand-in for the platform's VM list and for its weight store.
//
//	GET  /v1/vms       []platform.VM, delayed by the lag
//	POST /v1/vms       []platform.VM replaces the list
//	POST /v1/weights   LoadReport -> LoadResponse
//
// The weight store only counts loads: a replica that loads weights reports this
// repeatedly and receives the number of replicas that load concurrently. Above the cap,
// each replica loads more slowly.
package vmlist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/platform"
)

// Paths of the HTTP interface.
const (
	PathVMs     = "/v1/vms"
	PathWeights = "/v1/weights"
)

// reportTTL is how long after its last report a replica counts as loading.
const reportTTL = 2 * time.Second

// LoadReport reports whether a replica is loading weights.
type LoadReport struct {
	Replica string `json:"replica"`
	Loading bool   `json:"loading"`
}

// LoadResponse is the number of replicas that load weights concurrently.
type LoadResponse struct {
	Loading int `json:"loading"`
	Cap     int `json:"cap"`  // concurrent loads at full speed; 0: no limit
	Peak    int `json:"peak"` // highest number of concurrent loads so far
}

// Options configures New.
type Options struct {
	Lag     time.Duration // delay before readers see a change of the list
	LoadCap int           // concurrent loads at full speed; 0: no limit
}

type snapshot struct {
	at  time.Time
	vms []platform.VM
}

// List holds the state of the stand-in and implements http.Handler.
type List struct {
	mux     *http.ServeMux
	loadCap int

	mu        sync.Mutex
	lag       time.Duration
	snapshots []snapshot // oldest first
	loading   map[string]time.Time
	peak      int
}

// New returns an empty list.
func New(o Options) *List {
	l := &List{
		mux:     http.NewServeMux(),
		loadCap: o.LoadCap,
		lag:     o.Lag,
		loading: make(map[string]time.Time),
	}
	l.mux.HandleFunc("GET "+PathVMs, l.serveGet)
	l.mux.HandleFunc("POST "+PathVMs, l.serveSet)
	l.mux.HandleFunc("POST "+PathWeights, l.serveWeights)
	return l
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Set replaces the list. Readers see the new list after the lag, or immediately if it
// is the first one.
func (l *List) Set(vms []platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshots = append(l.snapshots, snapshot{at: time.Now(), vms: vms})
}

// SetLag changes the lag.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// VMs returns the list that was current one lag ago.
func (l *List) VMs() []platform.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.snapshots) == 0 {
		return []platform.VM{}
	}
	visibleUntil := time.Now().Add(-l.lag)
	current := 0
	for i, v := range l.snapshots {
		if !v.at.After(visibleUntil) {
			current = i
		}
	}
	return l.snapshots[current].vms
}

// Report records whether a replica is loading weights and returns the number of
// concurrent loads.
func (l *List) Report(r LoadReport) LoadResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	delete(l.loading, r.Replica)
	if r.Loading {
		l.loading[r.Replica] = now
	}
	for replica, at := range l.loading {
		if now.Sub(at) > reportTTL {
			delete(l.loading, replica)
		}
	}
	l.peak = max(l.peak, len(l.loading))
	return LoadResponse{Loading: len(l.loading), Cap: l.loadCap, Peak: l.peak}
}

func (l *List) serveGet(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.VMs()) }

func (l *List) serveSet(w http.ResponseWriter, r *http.Request) {
	var vms []platform.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(vms)
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) serveWeights(w http.ResponseWriter, r *http.Request) {
	var report LoadReport
	if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, l.Report(report))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
