package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const leaseMs = 3000 * time.Millisecond

// playRestore plays a drill in which the store comes back from a copy some seconds old, in the middle of a rollout of weights, and
// checks that the orders to each replica come from one holder at a time. It plays several deployments beside each other, as chance
// decides which daemon is first to claim the rollout afterwards. FIRST_ERA is the Store-Era before the drill, 0 unless set.
func playRestore(c *stage) ([]string, error) {
	const deployments = 4
	firstEra := int64(0)
	if os.Getenv("FIRST_ERA") == "1" {
		firstEra = 1
	}
	var wg sync.WaitGroup
	broken, errs := make([][]string, deployments), make([]error, deployments)
	for n := range deployments {
		wg.Go(func() { broken[n], errs[n] = restoreOne(c, n+1, firstEra) })
	}
	wg.Wait()
	var all []string
	for n := range deployments {
		if errs[n] != nil {
			return nil, errs[n]
		}
		all = append(all, broken[n]...)
	}
	return all, nil
}

func restoreOne(c *stage, n int, firstEra int64) ([]string, error) {
	s, err := newSystem(c, n, 3, 18, 8, 10*time.Millisecond, firstEra, desired(7, []tenant{{name: "jeye930", key: "nu6wsjnbanfqasnmgkcu"}}))
	defer s.stop()
	if err != nil {
		return nil, err
	}
	copied := s.store.copy()
	time.Sleep(2200*time.Millisecond - time.Duration(n)*170*time.Millisecond)
	s.name(2)
	time.Sleep(1500*time.Millisecond + time.Duration(n)*170*time.Millisecond)
	if c.trouble {
		s.store.setAway(true)
		time.Sleep(300 * time.Millisecond)
		s.store.restore(copied)
		s.store.setAway(false)
		c.log.add("deployment %d: the store is back from a copy 4 s old", n)
		s.name(2) // what the operator wrote is written again
		for _, r := range s.replicas {
			r.register()
		}
	}
	time.Sleep(10 * time.Second)
	return s.holdersInTurn(), nil
}

func (s *system) name(version int) {
	s.store.put("op/version/"+engineModel, map[string]any{"model": engineModel, "version": version})
	s.c.log.add("the store confirms weights %d", version)
}

// holdersInTurn returns what breaks the rule of one holder in the orders that reached the replicas.
func (s *system) holdersInTurn() []string {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	last := map[string]order{}
	var out []string
	for _, o := range s.fleet.orders {
		before, known := last[o.replica]
		last[o.replica] = o
		if !known || before.holder == o.holder {
			continue
		}
		gap := o.at.Sub(before.at)
		switch {
		case o.fence == before.fence:
			out = append(out, fmt.Sprintf("ONE: replica %s got fence number %d from %s and %s", o.replica, o.fence, before.holder, o.holder))
		case o.fence < before.fence:
			out = append(out, fmt.Sprintf("ONE: replica %s got fence number %d from %s after %d from %s", o.replica, o.fence, o.holder, before.fence, before.holder))
		case gap < leaseMs:
			out = append(out, fmt.Sprintf("ONE: replica %s got orders from %s and, %d ms later, from %s", o.replica, before.holder, gap.Milliseconds(), o.holder))
		}
	}
	return out
}
