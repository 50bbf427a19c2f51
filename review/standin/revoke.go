package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// playRevoke lets the store give no answer to the machines that watch it just then, and takes a key away. It checks that no request with that
// key, sent to another machine later than the bound after the confirmation, runs. It does so several times, with another key each time.
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
			watching := s.store.watching()
			if len(watching) > 2 {
				return nil, fmt.Errorf("%d of 8 machines watch the store", len(watching))
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
		s.store.put("op/config", desired(firstState+2*(i+1), keys))
		confirmed := time.Now()
		c.log.add("the store confirms desired state %d without key %s", firstState+2*(i+1), revoked.key)
		time.Sleep(time.Until(confirmed.Add(apply + 20*time.Millisecond)))
		broken = append(broken, s.sendRevoked(revoked, confirmed, turned)...)
		time.Sleep(time.Until(confirmed.Add(turnedFor + pause)))
	}
	return broken, nil
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

// sendRevoked sends requests with a key that was taken away to all machines but some, for a second, and returns those that ran.
func (s *system) sendRevoked(t tenant, confirmed time.Time, but []string) []string {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []string
	for n := range 10 {
		for _, d := range s.daemons {
			if slices.Contains(but, d.name) {
				continue
			}
			wg.Go(func() {
				p := prompt{host: host, path: path + "2f", key: t.key, prefix: fmt.Sprintf("5c1e07a2:100,aa%02x:50", n), usage: "160,4", timeLimit: 5 * time.Second}
				a := send(d.callers, p)
				s.c.log.add("answer to key %s at %s: %s", p.key, d.name, a)
				if a.status == 200 {
					mu.Lock()
					defer mu.Unlock()
					out = append(out, fmt.Sprintf("CONFIG: request %s ran at %s with key %s, %d ms after its removal was confirmed", a.request, d.name, t.key, a.sent.Sub(confirmed).Milliseconds()))
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	return out
}
