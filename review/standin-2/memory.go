package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// The deployment of Fonografos Studio, with the replicas, machines and traffic of its sheet but for the context stores.
const (
	narrationReplicas = 12
	clipReplicas      = 3
	machineMB         = 134
)

var (
	chapterCheck = kind{name: "chapter-check", method: "POST", path: "/puxa400/2f", body: 18000, prompt: 1670, shared: 7520, out: 13, limit: 5 * time.Second, patience: 2400 * time.Millisecond, resumable: true}
	cueNote      = kind{name: "cue-note", method: "POST", path: "/cufi501/2f", body: 1700, prompt: 177, shared: 650, out: 73, limit: 15 * time.Second, patience: 2400 * time.Millisecond}
	proofClip    = kind{name: "proof-clip", method: "POST", path: "/defi252/2f", body: 600, limit: 1500 * time.Millisecond}
	sampleClip   = kind{name: "sample-clip", method: "GET", path: "/bobo563/2f", limit: 1500 * time.Millisecond, safe: true}
)

// desired is the desired state of the deployment.
func desired(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, target, priority, attempts int) map[string]any {
		return map[string]any{"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": target, "priority": priority,
			"service": service, "max_attempts": attempts, "allow_anonymous": false}
	}
	stream := func(r map[string]any, resumable bool) map[string]any {
		r["sticky_sessions"], r["resumable"], r["target_gap_ms"] = true, resumable, 300
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			stream(route("r-check", "/puxa400/", "streaming", "narration-llm", 5000, 600, 1, 2), true),
			stream(route("r-note", "/cufi501/", "streaming", "narration-llm", 15000, 400, 0, 1), false),
			route("r-clip", "/defi252/", "unsafe", "clip-service", 1500, 150, 2, 1),
			route("r-sample", "/bobo563/", "safe", "clip-service", 1500, 150, 2, 2),
		},
		"services": []any{
			map[string]any{"name": "narration-llm", "health_check_path": "/health", "connection_limit": 490, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 96, "kv_capacity_tokens": 53727, "kv_token_bytes": 262144, "bandwidth_mbps": 740000.0, "moves": true, "backups": true, "managed": true, "stride": 5,
				"max_concurrent": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "daka510000"}}}},
			map[string]any{"name": "clip-service", "health_check_path": "/health", "connection_limit": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "jeye930", "api_keys": []string{key}, "priority": 1}},
	}
}

// studio starts the deployment with some daemons.
func (w *world) studio(daemons int) (narration, clips []*replica) {
	w.store.put("op/config", desired(1))
	w.store.put("op/version/daka510000", map[string]any{"model": "daka510000", "version": 1})
	narration = w.addReplicas(narrationReplicas, func(i int) *replica {
		return &replica{id: fmt.Sprintf("i-7f3a91%02x", i), service: "narration-llm", zone: zones[i%3], software: "v1", slots: 96, model: "daka510000",
			firstEvent: 90 * time.Millisecond, eventGap: 25 * time.Millisecond}
	})
	clips = w.addReplicas(clipReplicas, func(i int) *replica {
		return &replica{id: fmt.Sprintf("i-02d9e6%02x", i), service: "clip-service", zone: zones[i%3], software: "v1", slots: 6, work: 30 * time.Millisecond}
	})
	w.startDaemons(daemons, machineMB)
	return narration, clips
}

// drive sends the traffic of the sheet to the daemons.
func (w *world) drive(ctx context.Context) {
	w.callers.drive(ctx, chapterCheck, 31.3, w.daemons)
	w.callers.drive(ctx, cueNote, 71.3, w.daemons)
	w.callers.drive(ctx, proofClip, 25.6, w.daemons)
	w.callers.drive(ctx, sampleClip, 10.3, w.daemons)
}

func init() {
	cases["endless-event"] = func(w *world) int { return playEndless(w, endlessEvent) }
	cases["endless-head"] = func(w *world) int { return playEndless(w, endlessHead) }
}

// endlessEvent answers a stream with bytes that are no event and have no end, until the caller closes.
func endlessEvent(c net.Conn, q *http.Request, sent *atomic.Int64) {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\nResponse-Signature: s\r\n\r\n", headerID, q.Header.Get(headerID))
	trickle(c, err, strings.Repeat("a", 1000), sent)
}

// endlessHead answers a request with a head of header lines without end, until the caller closes.
func endlessHead(c net.Conn, q *http.Request, sent *atomic.Int64) {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\nResponse-Signature: s\r\n", headerID, q.Header.Get(headerID))
	var lines strings.Builder
	n := 0
	for ; lines.Len() < headAtOnce; n++ {
		fmt.Fprintf(&lines, "%s:\r\n", threeLetters(n))
	}
	if err == nil {
		_, err = io.WriteString(c, lines.String())
		sent.Add(int64(lines.Len()))
	}
	for ; err == nil; n++ {
		time.Sleep(trickleInterval)
		_, err = fmt.Fprintf(c, "%s:\r\n", threeLetters(n))
		sent.Add(6)
	}
}

func threeLetters(n int) string {
	return string([]byte{byte('a' + n/676%26), byte('a' + n/26%26), byte('a' + n%26)})
}

const (
	// eventAtOnce and headAtOnce are the bytes without end that come at once; the rest comes slowly.
	eventAtOnce = 950 << 10
	headAtOnce  = 30 << 10
	// trickleInterval is the time between the pieces that come slowly.
	trickleInterval = 50 * time.Millisecond
)

// trickle writes a lot of a piece at once, and then one piece after the other.
func trickle(c net.Conn, err error, piece string, sent *atomic.Int64) {
	for n := 0; err == nil; n += len(piece) {
		_, err = io.WriteString(c, piece)
		sent.Add(int64(len(piece)))
		if n >= eventAtOnce {
			time.Sleep(trickleInterval)
		}
	}
}
