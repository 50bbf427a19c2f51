// Package service is a stand-in for a plain service, such as one that prints lot
// labels. It does not deduplicate: each accepted call is a new execution.
//
//	POST /v1/services/{name}/...   Response
//	GET  /debug/executions         number of executions by idempotency key
package service

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/standin/fault"
)

// Paths and headers of the HTTP interface.
const (
	PathServices   = "/v1/services/"
	PathExecutions = "/debug/executions"
	HeaderKey      = "Idempotency-Key"
)

// maxBody is the maximum size of a call's body in bytes.
const maxBody = 8 << 20

// Response is the response to a call.
type Response struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key"`
	Serial  uint64 `json:"serial"` // number of this execution within the instance
	Bytes   int    `json:"bytes"`  // size of the call's body
}

// Options configures New.
type Options struct {
	Delay    time.Duration // duration of one execution
	Switches *fault.Switches
}

// Service holds the state of the stand-in and implements http.Handler.
type Service struct {
	mux      *http.ServeMux
	delay    time.Duration
	switches *fault.Switches

	mu         sync.Mutex
	serial     uint64
	executions map[string]int
}

// New returns a Service without executions.
func New(o Options) *Service {
	s := &Service{
		mux:        http.NewServeMux(),
		delay:      o.Delay,
		switches:   o.Switches,
		executions: make(map[string]int),
	}
	if s.switches == nil {
		s.switches = fault.New(fault.Options{})
	}
	s.mux.HandleFunc("POST "+PathServices+"{name}/{rest...}", s.serveCall)
	s.mux.HandleFunc("POST "+PathServices+"{name}", s.serveCall)
	s.mux.HandleFunc("GET "+PathExecutions, s.serveExecutions)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Executions returns the number of executions of each idempotency key.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

func (s *Service) recordExecution(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
	s.serial++
	return s.serial
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.switches.CrashOnMarker(string(body)) {
		panic(http.ErrAbortHandler)
	}
	key := r.Header.Get(HeaderKey)
	answer := Response{
		Service: r.PathValue("name"),
		Path:    r.PathValue("rest"),
		Key:     key,
		Serial:  s.recordExecution(key),
		Bytes:   len(body),
	}
	// The execution is recorded at this point, even if the caller disconnects.
	time.Sleep(s.switches.Scale(s.delay))
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

func (s *Service) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s.Executions())
}
