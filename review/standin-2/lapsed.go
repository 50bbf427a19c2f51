package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["lapsed-entries"] = playLapsed }

const (
	storeDownFor = 4500 * time.Millisecond
	// versionCalm is 1.5 x version_ms, the stretch without disturbance after which replicas may have no older version.
	versionCalm = 12 * time.Second
	contact     = 3 * time.Second
	// backWithin is the time after the store's return in which replicas write their entries again.
	backWithin = 300 * time.Millisecond
)

// playLapsed takes the store down for 4.5 s, in which leases run out and the entries of replicas lapse. All replicas live, and write their entries
// again within 0.3 s of its return. New weights are named then. All replicas must have them when the traffic ends.
func playLapsed(w *world) int {
	narration, clips := w.studio(3)
	all := append(append([]*replica(nil), narration...), clips...)
	ctx, cancel := context.WithCancel(context.Background())
	w.drive(ctx)
	time.Sleep(5 * time.Second)
	calm := len(w.callers.outcomes())
	w.rec.say("calm      %s", summary(w.callers.outcomes()))
	if w.trouble {
		w.rec.say("trouble   the store resets all channels")
		w.store.goDown()
		time.Sleep(storeDownFor)
		w.store.comeBack()
		w.rec.say("trouble   the store is back; the entries of all replicas have lapsed")
		for _, r := range all {
			time.AfterFunc(time.Duration(rand.Int64N(int64(backWithin))), func() { w.store.put("servers/"+r.id, r.entry()) })
		}
		time.Sleep(2 * time.Second)
		w.rec.say("trouble   over: all entries are back")
	}
	w.store.put("op/version/daka510000", map[string]any{"model": "daka510000", "version": 2})
	w.rec.say("operator  names version 2 of the weights")
	for end := time.Now().Add(contact + versionCalm + contact); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		w.report(narration)
	}
	cancel()
	w.callers.running.Wait()
	after := w.callers.outcomes()[calm:]
	w.rec.say("since     %s", summary(after))
	old := 0
	for _, r := range narration {
		r.mu.Lock()
		if r.version < 2 {
			old++
			w.rec.say("old       %s has version %d, %d orders, %t", r.id, r.version, r.sequence, r.loading)
		}
		r.mu.Unlock()
	}
	w.rec.say("judged    %d of %d replicas have an older version %s after the last disturbance", old, len(narration), contact+versionCalm+contact)
	if old > 1 && old*10 > len(narration) {
		return broken
	}
	return held
}

// report writes the entries of replicas whose entry would differ by more than the number of its orders, as they do with their reports.
func (w *world) report(of []*replica) {
	for _, r := range of {
		r.mu.Lock()
		changed := r.version != r.reported && !r.loading
		r.reported = r.version
		r.mu.Unlock()
		if changed {
			w.store.put("servers/"+r.id, r.entry())
			w.rec.line("entry     %s", fmt.Sprint(r.entry()))
		}
	}
}
