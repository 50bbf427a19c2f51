package brittle

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	tick      = 5 * time.Millisecond
	staleness = 100 * time.Millisecond // of what daemons know of each other's requests
)

// model is one replica and the daemons that use it. Requests run for a while; those over the replica's room are rejected.
type model struct {
	random   *rand.Rand
	now      time.Time
	daemons  []*modelDaemon
	room     int
	rejected []time.Time
	served   int
	news     []news // rejections of which other daemons have not heard
	naive    bool   // daemons send whenever the replica has slots, as far as they know
}

// news is a rejection that other daemons hear of at a time.
type news struct {
	at   time.Time
	from *modelDaemon
}

type modelDaemon struct {
	state   State
	share   Share
	view    int         // it knows only the daemons with the same view
	own     []time.Time // ends of its running requests
	history []int       // own requests at each tick
}

func newModel(seed uint64, daemons, views int) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
	for i := range daemons {
		// With two views, each half of the daemons does not know the other.
		n := daemons / views
		m.daemons = append(m.daemons, &modelDaemon{share: Share{Daemons: n, Rank: i / views}, view: i % views})
	}
	return m
}

func (m *model) running() int {
	n := 0
	for _, d := range m.daemons {
		n += len(d.own)
	}
	return n
}

// load is what a daemon knows: its own requests, and those of the others as they were a moment ago.
func (m *model) load(of *modelDaemon, slots int) Load {
	l := Load{Own: len(of.own), Total: len(of.own), Slots: slots}
	for _, d := range m.daemons {
		if d != of && d.view == of.view && len(d.history) > 0 {
			l.Total += d.history[max(0, len(d.history)-1-int(staleness/tick))]
		}
	}
	return l
}

// step lets each daemon try to send some requests, and ends those that have run.
func (m *model) step(tries, slots int, takes time.Duration) {
	m.now = m.now.Add(tick)
	for _, d := range m.daemons {
		kept := d.own[:0]
		for _, ends := range d.own {
			if m.now.Before(ends) {
				kept = append(kept, ends)
				continue
			}
			m.served++
			d.state.OnAccepted(m.now, m.load(d, slots))
		}
		d.own = kept
	}
	for len(m.news) > 0 && !m.now.Before(m.news[0].at) {
		for _, d := range m.daemons {
			if d != m.news[0].from && d.view == m.news[0].from.view {
				d.state.OnPeerRejected(m.load(d, slots))
			}
		}
		m.news = m.news[1:]
	}
	for _, n := range m.random.Perm(len(m.daemons)) {
		for range tries {
			m.try(m.daemons[n], slots, takes)
		}
	}
	for _, d := range m.daemons {
		d.history = append(d.history, len(d.own))
	}
}

func (m *model) try(d *modelDaemon, slots int, takes time.Duration) {
	load := m.load(d, slots)
	if m.naive && load.Total >= slots || !m.naive && !d.state.Allows(m.now, load, d.share) {
		return
	}
	d.state.OnSent(m.now, load)
	if m.running() >= m.room {
		m.rejected = append(m.rejected, m.now)
		d.state.OnRejected(m.now, m.load(d, slots))
		m.news = append(m.news, news{at: m.now.Add(staleness), from: d})
		return
	}
	d.own = append(d.own, m.now.Add(takes/2+time.Duration(m.random.Int64N(int64(takes)))))
}

func (m *model) mostRejectedInASecond() int {
	most := 0
	for i, from := range m.rejected {
		n := 0
		for _, at := range m.rejected[i:] {
			if at.Sub(from) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// play runs an overload of ten seconds, three of which pass before the replica has less room.
func (m *model) play(limit float64, slots, room int, takes time.Duration) {
	m.room = slots
	for t := range int(time.Second / tick) { // ordinary load, before the limit is announced
		m.step(0, slots, takes)
		if t%10 == 0 {
			m.try(m.daemons[m.random.IntN(len(m.daemons))], slots, takes)
		}
	}
	m.rejected = nil
	for t := range int(10 * time.Second / tick) {
		if t == int(3*time.Second/tick) {
			m.room = room
			m.served = 0
		}
		if t%10 == 0 {
			for _, d := range m.daemons {
				d.state.Announce(m.now, limit, m.load(d, slots))
			}
		}
		m.step(2, slots, takes)
	}
}

// A replica that says that it is brittle takes half of what it took before, in an overload, before daemons with stale views. It
// must not fall over, and must still be used.
func TestReplicaDoesNotFallOver(t *testing.T) {
	const slots = 24
	for _, daemons := range []int{1, 3, 8, 32} {
		for _, limit := range []float64{5, 12, 30} {
			for seed := range uint64(5) {
				t.Run(fmt.Sprintf("daemons=%d,limit=%.0f,seed=%d", daemons, limit, seed), func(t *testing.T) {
					m := newModel(seed, daemons, 1)
					m.play(limit, slots, slots/2, 200*time.Millisecond)
					if most := m.mostRejectedInASecond(); float64(most) > limit {
						t.Errorf("%d rejections in a second", most)
					}
					if possible := slots / 2 * 7 * 5; m.served < possible/3 {
						t.Errorf("%d requests served, %d are possible", m.served, possible)
					}
				})
			}
		}
	}
}

// Daemons that do not keep to the limit make the replica fall over: the model is strict enough to show it.
func TestNaiveDaemonsMakeReplicaFallOver(t *testing.T) {
	m := newModel(1, 8, 1)
	m.naive = true
	m.play(12, 24, 12, 200*time.Millisecond)
	if most := m.mostRejectedInASecond(); most <= 12 {
		t.Errorf("only %d rejections in a second", most)
	}
}

// While daemons have two views of each other, each half believes to be alone.
func TestLimitHoldsWithTwoViews(t *testing.T) {
	for seed := range uint64(10) {
		m := newModel(seed, 8, 2)
		m.play(12, 24, 12, 200*time.Millisecond)
		if most := m.mostRejectedInASecond(); most > 12 {
			t.Errorf("seed %d: %d rejections in a second", seed, most)
		}
	}
}

// A limit ends only when answers have not announced it for a while: those that were made before it overtake others.
func TestLimitEndsAfterAnswersWithoutIt(t *testing.T) {
	var s State
	now := time.Unix(1000, 0)
	if !s.Announce(now, 5, Load{}) || s.Announce(now, 6, Load{}) || s.Limit() != 6 {
		t.Error("want the beginning of a limit, and a new value")
	}
	if s.Announce(now.Add(endDelay/2), 0, Load{}) || s.Limit() != 6 {
		t.Error("an answer that overtook another ended the limit")
	}
	if !s.Announce(now.Add(2*endDelay), 0, Load{}) || s.Limit() != 0 {
		t.Error("the limit did not end")
	}
}

// Nothing of a replica without a limit is counted.
func TestNoLimitAllowsAll(t *testing.T) {
	var s State
	for range 1000 {
		s.OnSent(time.Unix(1000, 0), Load{Own: 500})
		s.OnRejected(time.Unix(1000, 0), Load{Own: 500})
	}
	if !s.Allows(time.Unix(1000, 0), Load{Own: 500, Total: 900, Slots: 10}, Share{Daemons: 8}) || len(s.rejected)+len(s.probes) > 0 {
		t.Error("a replica without a limit is bounded")
	}
}

// Shares of places must add up to the places.
func TestSharesAddUp(t *testing.T) {
	for _, daemons := range []int{1, 3, 8, 390} {
		for _, places := range []int{0, 1, 7, 1000} {
			sum := 0
			for rank := range daemons {
				sum += Share{Daemons: daemons, Rank: rank}.of(places)
			}
			if sum != places {
				t.Errorf("%d daemons have %d of %d places", daemons, sum, places)
			}
		}
	}
}
