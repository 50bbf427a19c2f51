package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// playRevoke lets the store give no answer to the machines that watch it just then, and changes the desired state: a route moves to another
// service, and a key is taken away. It checks that no request sent to another machine later than the bound after the confirmation is run by
// the old service, or with that key. It does so several times.
func playRevoke(c *stage) ([]string, error) {
	const (
		rounds     = 5
		apply      = 2000 * time.Millisecond // config_apply_ms
		turnedFor  = 5 * time.Second
		pause      = 5 * time.Second
		firstState = 7
	)
	keys := []tenant{{name: "jeye930", key: "nu6wsjnbanfqasnmgkcu"}}
	for i := range rounds {
		keys = append(keys, tenant{name: fmt.Sprint("kacu60", i), key: fmt.Sprintf("yj8pjbvk9m68k7b2ex%02d", i)})
	}
	s, err := newSystem(c, 1, 8, 3, 4, 5*time.Millisecond, -1, desired(firstState, keys))
	defer s.stop()
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	var broken []string
	for i := range rounds {
		revoked := keys[len(keys)-1]
		keys = keys[:len(keys)-1]
		if c.trouble {
			watching, err := s.awaitWatchers()
			if err != nil {
				return nil, err
			}
			c.log.add("the store gives no answer to the machines that watch it, known to it as %v", watching)
			s.store.turnAway(watching)
			time.AfterFunc(turnedFor, func() {
				c.log.add("the store answers all machines")
				s.store.turnAway(nil)
			})
		}
		turned := s.turnedAway()
		time.Sleep(100 * time.Millisecond)
		old, next := service, otherService
		if i%2 == 1 {
			old, next = next, old
		}
		s.store.put("op/config", desiredMoved(firstState+2*(i+1), keys, next))
		confirmed := time.Now()
		c.log.add("the store confirms desired state %d: route %s moves from %s to %s, and key %s is gone", firstState+2*(i+1), otherPath, old, next, revoked.key)
		time.Sleep(time.Until(confirmed.Add(apply + 20*time.Millisecond)))
		broken = append(broken, s.sendChanged(revoked, keys[0], old, confirmed, turned)...)
		time.Sleep(time.Until(confirmed.Add(turnedFor + pause)))
	}
	return broken, nil
}

// awaitWatchers returns the two machines that watch the store. After trouble others do so too for a moment.
func (s *system) awaitWatchers() ([]string, error) {
	for range 100 {
		if watching := s.store.watching(); len(watching) == 2 {
			return watching, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, fmt.Errorf("not just two of 8 machines watch the store")
}

// turnedAway returns the names of the machines to which the store gives no answer.
func (s *system) turnedAway() []string {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	var out []string
	for _, d := range s.daemons {
		if s.store.turned[d.store] {
			out = append(out, d.name)
		}
	}
	return out
}

// sendChanged sends requests with a key that was taken away, and requests with a valid key on the route that has moved, to all machines but
// some, for a second. It returns those that were handled as before.
func (s *system) sendChanged(revoked, valid tenant, old string, confirmed time.Time, but []string) []string {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []string
	add := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		out = append(out, "CONFIG: "+fmt.Sprintf(format, args...))
	}
	for n := range 10 {
		for _, d := range s.daemons {
			if slices.Contains(but, d.name) {
				continue
			}
			try := func(key, path string) (a answer, after int64) {
				a = send(d.callers, prompt{host: host, path: path + "2f", key: key, prefix: fmt.Sprintf("5c1e07a2:100,aa%02x:50", n), usage: "160,4", timeLimit: 5 * time.Second})
				s.c.log.add("answer to key %s on %s at %s: %s", key, path, d.name, a)
				return a, a.sent.Sub(confirmed).Milliseconds()
			}
			wg.Go(func() {
				if a, after := try(revoked.key, path); a.status == 200 {
					add("request %s ran at %s with key %s, %d ms after its removal was confirmed", a.request, d.name, revoked.key, after)
				}
			})
			wg.Go(func() {
				if a, after := try(valid.key, otherPath); a.status == 200 && s.fleet.serviceOf(a.signature) == old {
					add("request %s on route %s was answered at %s by service %s, %d ms after its move away from it was confirmed", a.request, otherPath, d.name, old, after)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	return out
}
