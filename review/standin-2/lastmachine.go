package main

import (
	"context"
	"time"
)

func init() { cases["last-machine"] = playLastMachine }

const (
	allCrashFor = 2 * time.Second
	// lostBefore is how long two machines have been lost when the replicas crash.
	lostBefore = 6 * time.Second
)

// playLastMachine loses two of three machines for good, and then all replicas at once, by a crash of their processes. Streams end with their
// channels. No stream may end as complete before its last event.
func playLastMachine(w *world) int {
	narration, clips := w.studio(3)
	for _, r := range narration {
		r.mu.Lock()
		r.eventGap, r.unframed = 60*time.Millisecond, true
		r.mu.Unlock()
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.callers.drive(ctx, cueNote, 71.3, w.daemons)
	time.Sleep(4 * time.Second)
	w.rec.say("calm      %s", summary(w.callers.outcomes()))
	cancel()
	if w.trouble {
		for _, d := range w.daemons[1:] {
			w.rec.say("trouble   %s is lost for good", d.name)
			d.stop()
		}
	}
	ctx, cancel = context.WithCancel(context.Background())
	w.callers.drive(ctx, cueNote, 71.3, w.daemons[:1])
	time.Sleep(lostBefore)
	calm := len(w.callers.outcomes())
	if w.trouble {
		all := append(append([]*replica(nil), narration...), clips...)
		for _, r := range all {
			w.rec.say("trouble   %s crashes with %d channels open", r.id, r.end())
		}
		time.Sleep(allCrashFor)
		for _, r := range all {
			r.startAgain("v1")
			w.store.put("servers/"+r.id, r.entry())
		}
		w.rec.say("trouble   all replicas are back")
	}
	time.Sleep(3 * time.Second)
	cancel()
	w.callers.running.Wait()
	all := w.callers.outcomes()[calm:]
	w.rec.say("since     %s", summary(all))
	events := (cueNote.out + 4) / 5
	short := count(all, func(o outcome) bool { return o.status == 200 && o.complete && o.events < events })
	w.rec.say("judged    %d of %d streams ended as complete before their last event", short, len(all))
	if short > 0 {
		return broken
	}
	return held
}
