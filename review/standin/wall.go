package main

import (
	"fmt"
	"time"
)

// playWall makes a tenant isolated while its parts of prompts are cached, and checks that no other tenant uses them from then on.
// Without the disruption the tenant is isolated from the start.
func playWall(c *stage) ([]string, error) {
	const shared = "5c1e07a2:2520"
	a, b := tenant{name: "jeye930", key: "nu6wsjnbanfqasnmgkcu"}, tenant{name: "kacu600", key: "yj8pjbvk9m68k7b2ex5w"}
	a.isolated = !c.trouble
	s, err := newSystem(c, 1, 2, 3, 8, 10*time.Millisecond, -1, desired(7, []tenant{a, b}))
	defer s.stop()
	if err != nil {
		return nil, err
	}
	prompts := func(t tenant, path, name string, n int) []prompt {
		out := make([]prompt, n)
		for i := range out {
			out[i] = prompt{host: host, path: path + "2f", key: t.key, prefix: fmt.Sprintf("%s,%s%04x:250", shared, name, i), usage: "3000,8", timeLimit: 5 * time.Second}
		}
		return out
	}
	if err := allServed(s.sendAll(prompts(a, path, "aaaa", 30), 30*time.Millisecond)); err != nil {
		return nil, err
	}
	from := time.Now()
	if c.trouble {
		a.isolated = true
		s.store.put("op/config", desired(11, []tenant{a, b}, "/cufi501/"))
		c.log.add("the store confirms desired state 11: tenant %s is isolated", a.name)
		time.Sleep(5 * time.Second) // config_apply_ms is 2 s
		if err := allServed(s.sendAll(prompts(b, "/cufi501/", "cccc", 6), 30*time.Millisecond)); err != nil {
			return nil, fmt.Errorf("desired state 11 is not in force: %w", err)
		}
		from = time.Now()
	}
	if err := allServed(s.sendAll(prompts(b, path, "bbbb", 30), 30*time.Millisecond)); err != nil {
		return nil, err
	}
	return s.reusedAcross(from, a), nil
}

// allServed returns an error unless all answers are whole successes.
func allServed(answers []answer) error {
	for _, a := range answers {
		if a.status != 200 || !a.complete || len(a.events) == 0 {
			return fmt.Errorf("not served: %s", a)
		}
	}
	return nil
}

// reusedAcross returns the runs since a moment that used cache of another tenant, where one of the two is the isolated one.
func (s *system) reusedAcross(from time.Time, isolated tenant) []string {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	var out []string
	for _, r := range s.fleet.runs {
		for part, by := range r.reused {
			if !r.at.Before(from) && by != r.tenant && (by == isolated.name || r.tenant == isolated.name) {
				out = append(out, fmt.Sprintf("WALL: request %s of tenant %s used part %s at %s, which a request of tenant %s made; %s is isolated", r.request, r.tenant, part, r.replica, by, isolated.name))
			}
		}
	}
	return out
}
