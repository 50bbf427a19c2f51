package main

import (
	"context"
	"time"
)

func init() { cases["joined-versions"] = playJoined }

const (
	heartbeat = 1200 * time.Millisecond
	// quiet is how long no request is sent.
	quiet = 6 * time.Second
)

// playJoined lets three replicas of twelve start again under their ids with another version of their software while nobody sends requests, and
// crash a second later, before they have written their entries. No more than two streams may hold events of both versions.
func playJoined(w *world) int {
	narration, _ := w.studio(3)
	for _, r := range narration {
		r.eventGap = 60 * time.Millisecond
	}
	check := chapterCheck
	check.out = 60 // twelve events
	drive := func(d time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), d)
		defer cancel()
		w.callers.drive(ctx, check, 31.3, w.daemons)
		<-ctx.Done()
		w.callers.running.Wait()
	}
	drive(4 * time.Second)
	w.rec.say("calm      %s", summary(w.callers.outcomes()))
	for _, d := range w.daemons {
		if _, _, ends := d.state(); ends > 0 {
			fatal("%s has ended", d.name)
		}
	}
	time.Sleep(quiet)
	if w.trouble {
		for _, r := range narration[:3] {
			w.restartUnseen(r)
		}
	}
	drive(6 * time.Second)
	all := w.callers.outcomes()
	w.rec.say("all       %s", summary(all))
	joined := count(all, func(o outcome) bool { return len(o.versions) > 1 })
	w.rec.say("judged    %d streams hold events of replicas of two software versions in one answer; %d answers have another problem", joined,
		count(all, func(o outcome) bool { return o.problem != "" }))
	if joined > 2 {
		return broken
	}
	return held
}

// restartUnseen starts a replica again with version v2. It crashes before it has written its entry, and is back some seconds later.
func (w *world) restartUnseen(r *replica) {
	w.rec.say("trouble   %s ends with %d channels open", r.id, r.end())
	r.startAgain("v2")
	w.rec.say("trouble   %s has started again under its id with version v2; its entry follows with its first report, %s later", r.id, heartbeat)
	time.AfterFunc(heartbeat-200*time.Millisecond, func() {
		w.rec.say("trouble   %s crashes with %d channels open", r.id, r.end())
	})
	time.AfterFunc(heartbeat+3*time.Second, func() {
		r.startAgain("v2")
		w.store.put("servers/"+r.id, r.entry())
		w.rec.say("trouble   %s is back, and its entry is written", r.id)
	})
}
