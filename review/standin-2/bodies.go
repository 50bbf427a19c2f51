package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

func init() { cases["kept-bodies"] = playBodies }

func envFloat(name string, otherwise float64) float64 {
	if x, err := strconv.ParseFloat(envText(name), 64); err == nil {
		return x
	}
	return otherwise
}

// playBodies sends large calls, inside the limits, while some replicas reset a part of the channels on which they got a call. No process may
// outgrow its machine's memory.
func playBodies(w *world) int {
	_, clips := w.studio(envInt("DAEMONS", 2))
	ctx, cancel := context.WithCancel(context.Background())
	w.drive(ctx)
	large := proofClip
	large.name, large.body = "large-clip", envInt("BODY", 2<<20)
	w.callers.drive(ctx, large, envFloat("RATE", 20), w.daemons)
	time.Sleep(8 * time.Second)
	calm := w.callers.outcomes()
	for _, d := range w.daemons {
		peak, _, _ := d.state()
		w.rec.say("calm      %s holds %d MB at most", d.name, peak)
	}
	w.rec.say("calm      %s", summary(calm))
	if w.trouble {
		x := envFloat("X", 0.3)
		bad := clips[:envInt("BAD", 2)]
		w.rec.say("trouble   %d of %d replicas of clip-service reset the channel of %.2f of the calls that they ran", len(bad), len(clips), x)
		for _, r := range bad {
			r.setTrouble(func(c net.Conn, _ *http.Request) bool {
				if rand.Float64() >= x {
					return false
				}
				time.Sleep(30 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				return true
			})
		}
	}
	time.Sleep(12 * time.Second)
	for _, r := range clips {
		r.setTrouble(nil)
	}
	w.rec.say("trouble   over")
	time.Sleep(2 * time.Second)
	cancel()
	w.callers.running.Wait()
	w.rec.say("after     %s", summary(w.callers.outcomes()[len(calm):]))
	return w.judgeMemory()
}

// judgeMemory says whether on two machines or more processes have ended by themselves three times: memory over the limit counts.
func (w *world) judgeMemory() int {
	machines := 0
	for _, d := range w.daemons {
		peak, overs, ends := d.state()
		w.rec.say("process   %s held %d MB at most of %d MB, was killed for it %d times, ended %d times", d.name, peak, d.memoryMB, overs, ends)
		if ends >= 3 {
			machines++
		}
	}
	lost := 0
	for _, o := range w.callers.outcomes() {
		if o.status == 0 && len(w.rec.runsOf(o.id)) > 0 && (o.kind == proofClip.name || o.kind == sampleClip.name) {
			lost++
		}
	}
	w.rec.say("judged    %d machines whose processes ended three times by themselves; %d calls that a sound replica of clip-service ran have no answer", machines, lost)
	if machines >= 2 {
		return broken
	}
	return held
}
