package schedules

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// goesOn is a holder that runs keys from memory while the service is down, when no
// other daemon can take over. With doubtUnknown a new holder tells all keys that it
// does not know "in doubt", since the former one may have run them.
type goesOn struct {
	once
	held         bool // held partitions when it last reached the service
	began        map[string]*journal.Result
	doubtUnknown bool
}

func (g *goesOn) Start(key string) (starting, *journal.Result, error) {
	if r, ok := g.began[key]; ok {
		return nil, r, nil
	}
	if g.doubtUnknown {
		return nil, nil, journal.ErrInDoubt
	}
	s, r, err := g.once.Start(key)
	if err == nil || !g.held {
		return s, r, err
	}
	g.began[key] = &journal.Result{Body: []byte(key)}
	return naiveTicket(key), nil, nil
}

// outageCost is what callers pay for an hour without the service.
type outageCost struct {
	refused   int // calls told "not run" during the outage
	doubled   int // calls that ran twice
	inDoubt   int // calls of the outage told "in doubt" afterwards
	newDoubts int // calls first sent after the outage told "in doubt"
}

const outageCalls = 360 // one every ten seconds

// hourWithout lets a caller send a key every ten seconds to the holder while the
// service is down; every tenth answer gets lost. At the end the holder dies, another
// daemon takes over, and callers without an answer repeat. As many new calls follow.
func hourWithout(t *testing.T, wrap func(o once, takesOver bool) once) outageCost {
	w := newWorld(firstSeed, nil)
	w.calm = true
	ready := func(o once) {
		for range 2 {
			o.Beat(context.Background())
			o.Scan(context.Background())
			o.Step(context.Background())
			o.Step(context.Background())
		}
	}
	first, second := w.daemons[0].once, w.daemons[1].once
	ready(first)
	holder := wrap(first, false)
	w.fake.SetDown(true)
	ran := map[string]int{}
	var cost outageCost
	var unanswered []string
	for i := range outageCalls {
		w.pass(10 * time.Second)
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
	ready(second)
	taker := wrap(second, true)
	for _, key := range unanswered {
		if sendOnce(taker, key, ran) == request.InDoubt {
			cost.inDoubt++
		}
	}
	for i := range outageCalls {
		if sendOnce(taker, fmt.Sprint("later", i), ran) == request.InDoubt {
			cost.newDoubts++
		}
	}
	for _, n := range ran {
		if n > 1 {
			cost.doubled++
		}
	}
	return cost
}

// sendOnce sends a key and runs it if a ticket comes.
func sendOnce(o once, key string, ran map[string]int) request.RunOutcome {
	s, result, err := o.Start(key)
	if result != nil {
		return request.DidRun
	}
	if err == journal.ErrInDoubt {
		return request.InDoubt
	}
	if err != nil {
		return request.NotRun
	}
	o.Step(context.Background())
	ticket, ok, _ := s.Poll()
	if !ok || ticket == nil {
		s.Cancel()
		return request.NotRun
	}
	ran[key]++
	return request.DidRun
}

// Story: the service is away for an hour, and the holder of a partition dies at its
// end. Refusing costs every call of the hour and nothing else. A holder that went on
// in memory refuses nothing, but what it ran is lost with it: either the repeats run
// again, or its successor must doubt every key that it does not know, also new ones,
// for as long as keys are kept.
func TestOutageOfAnHour(t *testing.T) {
	refuse := hourWithout(t, func(o once, _ bool) once { return o })
	if want := (outageCost{refused: outageCalls}); refuse != want {
		t.Errorf("refuse: %+v, want %+v", refuse, want)
	}
	goOn := hourWithout(t, func(o once, takesOver bool) once {
		return &goesOn{once: o, held: !takesOver, began: map[string]*journal.Result{}}
	})
	if want := (outageCost{doubled: outageCalls / 10}); goOn != want {
		t.Errorf("go on in memory: %+v, want %+v", goOn, want)
	}
	doubt := hourWithout(t, func(o once, takesOver bool) once {
		return &goesOn{once: o, held: !takesOver, doubtUnknown: takesOver, began: map[string]*journal.Result{}}
	})
	if want := (outageCost{inDoubt: outageCalls / 10, newDoubts: outageCalls}); doubt != want {
		t.Errorf("go on, successor doubts: %+v, want %+v", doubt, want)
	}
}
