package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	host    = "pule25.example"
	path    = "/puxa400/"
	service = "huvo11a"
	// otherPath is the path of a route that a case moves from service to otherService.
	otherPath    = "/yeti63/"
	otherService = "dahu75a"
)

var zones = []string{"conche-hall", "temper-hall", "pack-hall"}

// system is a small deployment: a store, replicas and daemons.
type system struct {
	c        *stage
	store    *store
	fleet    *fleet
	replicas []*replica
	daemons  []*daemon
}

// tenant is an organisation in the desired state.
type tenant struct {
	name, key string
	isolated  bool
}

// desired returns a desired state. Paths of further routes may be given.
func desired(version int, tenants []tenant, more ...string) map[string]any {
	return desiredMoved(version, tenants, service, more...)
}

// desiredMoved is desired with the service of otherPath.
func desiredMoved(version int, tenants []tenant, moved string, more ...string) map[string]any {
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 600, "priority": 1,
			"service": service, "max_attempts": 2, "allow_anonymous": false, "sticky_sessions": true, "resumable": true, "target_gap_ms": 300,
		}
	}
	routes := []any{route("r-z5k6pjs", path, service), route("r-2eek22x", otherPath, moved)}
	for i, prefix := range more {
		routes = append(routes, route(fmt.Sprint("r-more", i), prefix, service))
	}
	list := []any{}
	for _, t := range tenants {
		entry := map[string]any{"name": t.name, "api_keys": []string{t.key}, "priority": 1}
		if t.isolated {
			entry["isolated"] = true
		}
		list = append(list, entry)
	}
	engine := func(name string) map[string]any {
		return map[string]any{
			"name": name, "health_check_path": "/health", "connection_limit": 300, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 48, "kv_capacity_tokens": kvTokens, "kv_token_bytes": 262144, "bandwidth_mbps": 740000.0, "moves": true, "backups": true,
				"managed": true, "stride": 5, "max_concurrent": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": engineModel}},
			},
		}
	}
	return map[string]any{
		"version": version, "routes": routes, "tenants": list, "services": []any{engine(service), engine(otherService)},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// newSystem starts a deployment and waits until its daemons are ready. n makes its addresses differ from others of this run.
func newSystem(c *stage, n, daemons, replicas, events int, pause time.Duration, era int64, first map[string]any) (*system, error) {
	ip := fmt.Sprintf("127.0.0.%d", 10+n)
	st, err := newStore(ip, era)
	if err != nil {
		return nil, err
	}
	s := &system{c: c, store: st, fleet: &fleet{store: st, log: c.log, services: map[string]string{}}}
	st.put("op/config", first)
	st.put("op/version/"+engineModel, map[string]any{"model": engineModel, "version": 1})
	for i := range replicas {
		r, err := newReplica(s.fleet, ip, fmt.Sprintf("i-%d%02d", n, i), service, zones[i%len(zones)], "v1", events, pause)
		if err != nil {
			return s, err
		}
		s.replicas = append(s.replicas, r)
	}
	for i := range 2 {
		if _, err := newReplica(s.fleet, ip, fmt.Sprintf("i-%d9%d", n, i), otherService, zones[i], "v1", events, pause); err != nil {
			return s, err
		}
	}
	for i := range daemons {
		storeAddress, err := st.ownAddress()
		if err != nil {
			return s, err
		}
		d, err := newDaemon(c.root, c.dir, fmt.Sprintf("frontend-%d-%d", n, i+1), zones[i%len(zones)], n*10+i, storeAddress)
		if err != nil {
			return s, err
		}
		if err := d.start(c.root, c.dir); err != nil {
			return s, err
		}
		s.daemons = append(s.daemons, d)
	}
	for _, d := range s.daemons {
		if err := d.awaitReady(15 * time.Second); err != nil {
			return s, err
		}
	}
	time.Sleep(4 * time.Second) // the daemons find each other
	return s, nil
}

func (s *system) stop() {
	if s == nil {
		return
	}
	for _, d := range s.daemons {
		d.kill()
	}
}

// sendAll sends prompts one after the other to the daemons in turn, each after gap, and waits for all answers.
func (s *system) sendAll(prompts []prompt, gap time.Duration) []answer {
	answers := make([]answer, len(prompts))
	var wg sync.WaitGroup
	for i, p := range prompts {
		wg.Go(func() {
			answers[i] = send(s.daemons[i%len(s.daemons)].callers, p)
			s.c.log.add("answer to key %s at %s: %s", p.key, s.daemons[i%len(s.daemons)].name, answers[i])
		})
		time.Sleep(gap)
	}
	wg.Wait()
	return answers
}
