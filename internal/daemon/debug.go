package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/coordinator"
	"github.com/bluebellscale/bluebellscale/internal/limiter"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

// stewardServer implements peer.Steward: the coordinator serves targets and the limiter
// serves slices.
type stewardServer struct {
	*coordinator.Server
	slices *limiter.Limiter
}

// peerHandler returns the handler for peers, metrics and state dumps.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	bounded := func(h http.Handler) http.Handler { return d.guards[listenerPeers].BoundBodies(maxCallBytes, h) }
	gossip := peer.NewGossipServer(d.members)
	mux.Handle(gossip.PathPrefix(), bounded(gossip))
	stewardHandler := peer.NewStewardServer(stewardServer{Server: d.coordinator.Server(), slices: d.limiter})
	mux.Handle(stewardHandler.PathPrefix(), bounded(stewardHandler))
	mux.Handle("/v1/", d.guards[listenerPeers].CountBodies(d.gateway.HopHandler()))
	mux.Handle("GET /metrics", d.scrape)
	mux.Handle(table.StatePath, table.StateHandler(d.table))
	mux.HandleFunc("GET /debug/state", d.dump(func() any { return d.State() }))
	mux.HandleFunc("GET /debug/members", d.dump(d.members.State))
	mux.HandleFunc("GET /debug/targets", d.dump(func() any { return d.coordinator.State() }))
	mux.HandleFunc("GET /debug/contexts", d.dump(d.planner.State))
	mux.HandleFunc("POST /debug/drain", d.handleDrain)
	return mux
}

func (d *Daemon) dump(state func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(state()); err != nil {
			d.log.Debug("State dump was not written completely", "error", err)
		}
	}
}

func (d *Daemon) handleDrain(w http.ResponseWriter, _ *http.Request) {
	d.Drain()
	w.WriteHeader(http.StatusAccepted)
}

// State is a dump of a daemon's state.
type State struct {
	ID            string `json:"id"`
	Instance      string `json:"instance"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Callers       string `json:"callers"`
	Peers         string `json:"peers"`
	UptimeSeconds int64  `json:"uptime_seconds"`
	Draining      bool   `json:"draining"`
	InFlight      int    `json:"in_flight"`
	Connections   any    `json:"connections"` // of clients, by listener
	Platform      string `json:"platform"`
	Table         any    `json:"table"`
	Members       any    `json:"members"`
	Leases        any    `json:"leases"`
	Journal       any    `json:"journal"`
	Targets       any    `json:"targets"`
	Contexts      any    `json:"contexts"`
	Quarantine    any    `json:"quarantine"`
	Fleet         any    `json:"fleet"`
}

// State returns a dump of this daemon's state.
func (d *Daemon) State() State {
	return State{
		ID:            d.config.Daemon.ID,
		Instance:      d.instance(),
		Region:        d.config.Daemon.Region,
		FailureDomain: d.config.Daemon.FailureDomain,
		Callers:       d.CallerAddress(),
		Peers:         d.PeerAddress(),
		Connections:   d.connections(),
		UptimeSeconds: int64(time.Since(d.started).Seconds()),
		Draining:      d.draining.Load(),
		InFlight:      d.gateway.InFlight(),
		Platform:      d.kv.Health().String(),
		Table:         d.table.State(time.Now()),
		Members:       d.members.State(),
		Leases:        d.leases.State(),
		Journal:       d.journal.State(),
		Targets:       d.coordinator.State(),
		Contexts:      d.planner.State(),
		Quarantine:    d.suspects.State(),
		Fleet:         d.fleet.State(),
	}
}

// Slice implements peer.Steward.
func (s stewardServer) Slice(ctx context.Context, r *peer.SliceRequest) (*peer.SliceResponse, error) {
	return s.slices.Slice(ctx, r)
}
