package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// playSoftware lets replicas crash and start again with a new version of their software, under the ids that they had, while the
// platform's store gives no answer, and checks that no stream holds events of both versions. With OUTAGE=0 the store answers, and with
// LATE_ENTRY=1 a replica that starts again writes its entry with its next status report.
func playSoftware(c *stage) ([]string, error) {
	const (
		outage    = 8 * time.Second // of the store
		down      = time.Second     // of a replica that crashes
		step      = time.Second     // between two of them
		streamGap = 150 * time.Millisecond
		streams   = 100
	)
	s, err := newSystem(c, 1, 2, 7, 75, 80*time.Millisecond, -1, desired(7, []tenant{{name: "jeye930", key: "nu6wsjnbanfqasnmgkcu"}}))
	defer s.stop()
	if err != nil {
		return nil, err
	}
	for _, r := range s.replicas {
		r.lateEntry = os.Getenv("LATE_ENTRY") == "1"
	}
	prompts := make([]prompt, streams)
	for i := range prompts {
		prompts[i] = prompt{host: host, path: path + "2f", key: "nu6wsjnbanfqasnmgkcu", prefix: fmt.Sprintf("5c1e07a2:100,aaaa%04x:50", i), usage: "160,75", timeLimit: 15 * time.Second}
	}
	var wg sync.WaitGroup
	var answers []answer
	wg.Go(func() { answers = s.sendAll(prompts, streamGap) })
	time.Sleep(5 * time.Second)
	if c.trouble {
		began := time.Now()
		if os.Getenv("OUTAGE") != "0" {
			c.log.add("the store gives no answer")
			s.store.setSilent(true)
			time.AfterFunc(outage, func() {
				c.log.add("the store answers again")
				s.store.setSilent(false)
			})
		}
		for i, r := range s.replicas {
			time.Sleep(time.Until(began.Add(500*time.Millisecond + time.Duration(i)*step)))
			if err := s.upgrade(r, down); err != nil {
				return nil, err
			}
		}
	}
	wg.Wait()
	var mixed []string
	for _, a := range answers {
		if versions := a.software(); len(versions) > 1 && a.status == 200 {
			mixed = append(mixed, fmt.Sprintf("ORDER: request %s got events of replicas with software %s", a.request, strings.Join(versions, " and ")))
		}
	}
	if len(mixed) <= 2 {
		return nil, nil // the rule allows two
	}
	return mixed, nil
}

// upgrade lets a replica crash, and starts it again with a new version of its software.
func (s *system) upgrade(r *replica, down time.Duration) error {
	r.crash()
	time.Sleep(down)
	return r.restart("v2")
}

// software returns the versions that the answer's events come from.
func (a answer) software() []string {
	var out []string
	for _, e := range a.events {
		version, _, _ := strings.Cut(e, " ")
		if len(out) == 0 || out[len(out)-1] != version {
			out = append(out, version)
		}
	}
	return out
}
