package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

func envText(name string) string { return os.Getenv(name) }

func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(envText(name)); err == nil {
		return n
	}
	return otherwise
}

// playEndless plays the traffic of the sheet, while the replicas of the model answer with bytes without end for some seconds. No process may
// outgrow its machine's memory.
func playEndless(w *world, answer func(net.Conn, *http.Request, *atomic.Int64)) int {
	narration, _ := w.studio(2)
	ctx, cancel := context.WithCancel(context.Background())
	w.drive(ctx)
	time.Sleep(5 * time.Second)
	calm := w.callers.outcomes()
	for _, d := range w.daemons {
		peak, _, _ := d.state()
		w.rec.say("calm      %s holds %d MB at most", d.name, peak)
	}
	w.rec.say("calm      %s", summary(calm))
	var sent atomic.Int64
	if w.trouble {
		bad := narration
		w.rec.say("trouble   %d of %d replicas of narration-llm answer with bytes without end", len(bad), len(narration))
		for _, r := range bad {
			r.setTrouble(func(c net.Conn, q *http.Request) bool { answer(c, q, &sent); return true })
		}
	}
	time.Sleep(12 * time.Second)
	for _, r := range narration {
		r.setTrouble(nil)
	}
	w.rec.say("trouble   over; %d MB were sent", sent.Load()>>20)
	time.Sleep(3 * time.Second)
	cancel()
	w.callers.running.Wait()
	w.rec.say("after     %s", summary(w.callers.outcomes()[len(calm):]))
	return w.judgeMemory()
}
