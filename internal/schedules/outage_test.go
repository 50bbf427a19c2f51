package schedules

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// memoryHolder is a holder that records keys only in memory while the key-value service is
// down, when no other daemon can take over. With doubtUnknown, a new holder answers "in
// doubt" for every unknown key, since the previous holder may have run it.
type memoryHolder struct {
	journalAPI
	heldPartitions bool // at the last contact with the service
	results        map[string]*journal.Result
	doubtUnknown   bool
}

func (g *memoryHolder) Start(key string) (pendingStart, *journal.Result, error) {
	if r, ok := g.results[key]; ok {
		return nil, r, nil
	}
	if g.doubtUnknown {
		return nil, nil, journal.ErrInDoubt
	}
	s, r, err := g.journalAPI.Start(key)
	if err == nil || !g.heldPartitions {
		return s, r, err
	}
	g.results[key] = &journal.Result{Body: []byte(key)}
	return naiveTicket(key), nil, nil
}

// outageCost counts the effects on callers of an hour without the key-value service.
type outageCost struct {
	refused    int // calls answered "not run" during the outage
	doubled    int // calls that ran twice
	inDoubt    int // calls of the outage answered "in doubt" afterwards
	newInDoubt int // calls first sent after the outage and answered "in doubt"
}

const outageCalls = 360 // one every ten seconds for an hour

// runOutage sends a key to the holder every ten seconds while the key-value service is
// down; every tenth answer is lost. Then the holder dies, another daemon takes over, callers
// without an answer repeat their keys, and outageCalls new keys follow.
func runOutage(t *testing.T, wrap func(o journalAPI, takesOver bool) journalAPI) outageCost {
	w := newWorld(firstSeed, nil)
	w.faultsOff = true
	acquirePartitions := func(j journalAPI) {
		for range 2 {
			j.Heartbeat(context.Background())
			j.Scan(context.Background())
			j.Step(context.Background())
			j.Step(context.Background())
		}
	}
	first, second := w.daemons[0].journal, w.daemons[1].journal
	acquirePartitions(first)
	holder := wrap(first, false)
	w.fake.SetDown(true)
	ran := map[string]int{}
	var cost outageCost
	var unanswered []string
	for i := range outageCalls {
		w.advanceClock(10 * time.Second)
		first.Step(context.Background())
		key := fmt.Sprint("outage", i)
		switch sendOnce(holder, key, ran) {
		case request.NotRun:
			cost.refused++
			unanswered = append(unanswered, key)
		case request.DidRun:
			if i%10 == 0 {
				unanswered = append(unanswered, key)
			}
		}
	}
	w.fake.SetDown(false)
	acquirePartitions(second)
	successor := wrap(second, true)
	for _, key := range unanswered {
		if sendOnce(successor, key, ran) == request.InDoubt {
			cost.inDoubt++
		}
	}
	for i := range outageCalls {
		if sendOnce(successor, fmt.Sprint("later", i), ran) == request.InDoubt {
			cost.newInDoubt++
		}
	}
	for _, n := range ran {
		if n > 1 {
			cost.doubled++
		}
	}
	return cost
}

// sendOnce sends a key and runs the call if the journal grants a ticket.
func sendOnce(j journalAPI, key string, ran map[string]int) request.RunOutcome {
	s, result, err := j.Start(key)
	if result != nil {
		return request.DidRun
	}
	if err == journal.ErrInDoubt {
		return request.InDoubt
	}
	if err != nil {
		return request.NotRun
	}
	j.Step(context.Background())
	ticket, ok, _ := s.Poll()
	if !ok || ticket == nil {
		s.Cancel()
		return request.NotRun
	}
	ran[key]++
	return request.DidRun
}

// Scenario: the key-value service is unavailable for an hour, and the holder of a partition
// dies at its end. Refusing costs only the calls of that hour. A holder that continues from
// memory refuses no call, but its records are lost when it dies: either repeated calls run
// again, or its successor must answer "in doubt" for every unknown key, including new keys,
// for the retention time of keys.
func TestOutageOfAnHour(t *testing.T) {
	refusing := runOutage(t, func(j journalAPI, _ bool) journalAPI { return j })
	if want := (outageCost{refused: outageCalls}); refusing != want {
		t.Errorf("refusing: %+v, want %+v", refusing, want)
	}
	inMemory := runOutage(t, func(j journalAPI, takesOver bool) journalAPI {
		return &memoryHolder{journalAPI: j, heldPartitions: !takesOver, results: map[string]*journal.Result{}}
	})
	if want := (outageCost{doubled: outageCalls / 10}); inMemory != want {
		t.Errorf("continuing from memory: %+v, want %+v", inMemory, want)
	}
	doubting := runOutage(t, func(j journalAPI, takesOver bool) journalAPI {
		return &memoryHolder{journalAPI: j, heldPartitions: !takesOver, doubtUnknown: takesOver, results: map[string]*journal.Result{}}
	})
	if want := (outageCost{inDoubt: outageCalls / 10, newInDoubt: outageCalls}); doubting != want {
		t.Errorf("continuing from memory, successor answers in doubt: %+v, want %+v", doubting, want)
	}
}
