package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["held-streams"] = playCutStreams }

const (
	lateTimeout = 5 * time.Second
	lateSlack   = 500 * time.Millisecond
	cutFor      = 5 * time.Second
)

// playCutStreams cuts one replica of five off, some seconds after a quiet time: its channels are reset, and new ones get no answer. Each stream has a
// final answer half a second after its route's timeout at the latest.
func playCutStreams(w *world) int {
	state := desired(1)
	routes := state["routes"].([]any)
	check := routes[0].(map[string]any)
	check["target_latency_ms"], check["target_gap_ms"], check["timeout_ms"] = 1500, 500, lateTimeout.Milliseconds()
	w.store.put("op/config", state)
	w.store.put("op/version/daka510000", map[string]any{"model": "daka510000", "version": 1})
	tagged := w.addReplicas(5, func(i int) *replica {
		return &replica{id: fmt.Sprintf("i-7f3a91%02x", i), service: "narration-llm", zone: zones[i%3], software: "v1", slots: 96, model: "daka510000",
			firstEvent: 90 * time.Millisecond, eventGap: 100 * time.Millisecond}
	})
	w.startDaemons(2, 284)
	long := kind{name: "job-tagging", method: "POST", path: "/puxa400/2f", body: 1700, prompt: 177, shared: 650, out: 150, limit: 9 * time.Second, patience: 6 * time.Second, resumable: true}
	drive := func(d time.Duration, during func()) {
		ctx, cancel := context.WithTimeout(context.Background(), d)
		defer cancel()
		w.callers.drive(ctx, long, 60, w.daemons)
		during()
		<-ctx.Done()
		w.callers.running.Wait()
	}
	drive(3*time.Second, func() {})
	w.rec.say("calm      %s", summary(w.callers.outcomes()))
	time.Sleep(quiet)
	drive(9*time.Second, func() {
		time.Sleep(4 * time.Second)
		if w.trouble {
			w.rec.say("trouble   %s is cut off: %d channels are reset, new ones get no answer", tagged[0].id, tagged[0].cut())
		}
		time.Sleep(cutFor)
		tagged[0].heal()
	})
	all := w.callers.outcomes()
	w.rec.say("all       %s", summary(all))
	longer := count(all, func(o outcome) bool { return o.took > lateTimeout })
	late := count(all, func(o outcome) bool { return o.took > lateTimeout+lateSlack })
	w.rec.say("judged    %d requests lasted longer than their route's timeout, %d of them had no final answer half a second after it", longer, late)
	if late >= 8 && late*4 > longer {
		return broken
	}
	return held
}
