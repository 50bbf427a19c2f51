package main

import (
	"context"
	"syscall"
	"time"
)

func init() { cases["frozen-ends"] = playFrozen }

const (
	freeze    = 1800 * time.Millisecond
	crashFrom = 200 * time.Millisecond // after the freeze began
	crashFor  = time.Second
)

// playFrozen stops a daemon of three for 1.8 s. Meanwhile three replicas of twelve crash and start again. Their streams end with their channels. No
// stream may end as complete before its last event.
func playFrozen(w *world) int {
	narration, _ := w.studio(3)
	for _, r := range narration {
		r.mu.Lock()
		r.eventGap, r.unframed = 60*time.Millisecond, true
		r.mu.Unlock()
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.callers.drive(ctx, cueNote, 71.3, w.daemons)
	time.Sleep(5 * time.Second)
	calm := w.callers.outcomes()
	w.rec.say("calm      %s", summary(calm))
	if w.trouble {
		w.freezeAndCrash(w.daemons[0], narration[:3])
	}
	time.Sleep(6 * time.Second)
	cancel()
	w.callers.running.Wait()
	all := w.callers.outcomes()
	w.rec.say("all       %s", summary(all))
	events := (cueNote.out + 4) / 5
	short := count(all, func(o outcome) bool { return o.status == 200 && o.complete && o.events < events })
	w.rec.say("judged    %d of %d streams ended as complete before their last event; %d answers have another problem", short, len(all),
		count(all, func(o outcome) bool { return o.problem != "" }))
	if short > 0 {
		return broken
	}
	return held
}

func (w *world) freezeAndCrash(d *daemon, crash []*replica) {
	w.rec.say("trouble   %s is stopped", d.name)
	d.signal(syscall.SIGSTOP)
	time.Sleep(crashFrom)
	for _, r := range crash {
		w.rec.say("trouble   %s crashes with %d channels open", r.id, r.end())
	}
	time.Sleep(crashFor)
	for _, r := range crash {
		r.startAgain("v1")
		w.rec.say("trouble   %s has started again", r.id)
		time.AfterFunc(heartbeat, func() { w.store.put("servers/"+r.id, r.entry()) })
	}
	time.Sleep(freeze - crashFrom - crashFor)
	d.signal(syscall.SIGCONT)
	w.rec.say("trouble   %s goes on", d.name)
}
