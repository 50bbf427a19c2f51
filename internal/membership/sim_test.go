package membership

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

// One-way latencies, and the bytes that HTTP adds to a message (measured by TestWireBytes
// on real connections).
const (
	nearLatency  = 2 * time.Millisecond
	farLatency   = 75 * time.Millisecond
	httpOverhead = 200
)

// event is a function call scheduled for a time; seq orders events of equal times.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// sim runs nodes on simulated time and connections. Its seed determines the run.
type sim struct {
	now   time.Time
	seq   int
	queue eventQueue
	nodes []*simNode

	byAddress   map[string]*simNode
	keyValue    *kv.Fake // stores the table
	reads       int      // reads of daemons from the key-value service
	rng         *rand.Rand
	partitioned func(a, b *simNode) bool
}

// simNode is one daemon of a sim.
type simNode struct {
	*node
	sim             *sim
	id              string
	address         string
	region          string
	replica         *table.Replica
	down            bool
	process         int // number of the current process; events of earlier ones are dropped
	bytes           int64
	urgentScheduled bool // a round of urgent exchanges is scheduled
	lastUrgent      time.Time
	lastRead        time.Time // last read from the key-value service
}

func newSim(seed uint64, size, regions int) *sim {
	s := &sim{now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), byAddress: make(map[string]*simNode)}
	s.partitioned = func(_, _ *simNode) bool { return false }
	s.keyValue = kv.NewFake(func() time.Time { return s.now })
	for i := range size {
		n := &simNode{sim: s, id: fmt.Sprintf("daemon-%03d", i), region: fmt.Sprintf("region-%d", i%regions)}
		n.address = fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250+1)
		s.nodes = append(s.nodes, n)
		s.byAddress[n.address] = n
		n.start()
	}
	return s
}

func (s *sim) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, run: run})
}

// runFor advances the simulated time and runs the events that fall due.
func (s *sim) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// runUntil advances the time until a condition holds and returns how long that took, or
// false if the condition does not hold within the limit.
func (s *sim) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	begin := s.now
	end := s.now.Add(limit)
	for !condition() {
		if len(s.queue) == 0 || s.queue[0].at.After(end) {
			return limit, false
		}
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	return s.now.Sub(begin), true
}

// start starts a new process of the daemon, without any state of an earlier one.
func (n *simNode) start() {
	n.process++
	n.down = false
	n.urgentScheduled = false
	n.replica = table.NewReplica(table.ReplicaOptions{KV: n.sim.keyValue.Client(n.id), Now: func() time.Time { return n.sim.now }})
	seeds := []string{n.sim.nodes[0].address, n.sim.nodes[min(1, len(n.sim.nodes)-1)].address}
	self := &peer.Member{Id: n.id, PeerAddress: n.address, Region: n.region, FailureDomain: "domain", CallerAddress: n.address}
	self.Incarnation = uint64(n.sim.now.UnixNano())
	core := NewCore(self, seeds, Params{Seed: n.sim.rng.Uint64()})
	n.node = newNode(core, n.replica, nil)
	n.schedule(time.Duration(n.sim.rng.Int64N(int64(time.Second))), n.tick)
	n.schedule(time.Duration(n.sim.rng.Int64N(int64(time.Second))), n.poll)
}

// timing holds the periods in which daemons read the table.
var timing = table.DefaultTiming()

// poll reads the key-value service as the Run method of table.Replica does: a watcher reads
// once per WatchWait, other daemons read if their confirmation is too old.
func (n *simNode) poll() {
	watched := n.isWatcher() && n.sim.now.Sub(n.lastRead) >= timing.WatchWait
	if watched || n.replica.Staleness(n.sim.now) >= timing.MaxStaleness {
		n.readTable()
	}
	n.schedule(timing.PollInterval, n.poll)
}

func (n *simNode) readTable() {
	n.lastRead = n.sim.now
	n.sim.reads++
	before := n.replica.Current().Hash()
	err := n.replica.Read(context.Background())
	if err == nil && n.replica.Current().Hash() != before {
		n.core.MarkUrgent()
		n.scheduleUrgent()
	}
}

// isWatcher reports whether the daemon is one of the two watchers of its region.
func (n *simNode) isWatcher() bool {
	region := []*peer.Member{n.core.Self()}
	for _, e := range n.core.entries.sorted {
		if state := e.state(); e.record.Region == n.region && (state == alive || state == suspect) {
			region = append(region, e.record)
		}
	}
	for _, m := range Rank(region, "table/watcher", 2) {
		if m.Id == n.id {
			return true
		}
	}
	return false
}

// edit writes a row of the table and completes the watches of the running watchers.
func (s *sim) edit(loadCap int) error {
	editor := table.NewEditor(table.EditorOptions{KV: s.keyValue.Client("operator"), Operator: "ana"})
	data := fmt.Sprintf("id,default_version,bytes_per_token,load_cap\nverdict,v3,131072,%d\n", loadCap)
	plan, err := editor.Plan(context.Background(), []table.File{{Name: "models.csv", Data: []byte(data)}})
	if err != nil {
		return err
	}
	if _, err := editor.Apply(context.Background(), plan); err != nil {
		return err
	}
	for _, n := range s.nodes {
		if !n.down && n.isWatcher() {
			n.schedule(nearLatency, n.readTable)
		}
	}
	return nil
}

// editApplied reports whether every running daemon has the row.
func (s *sim) editApplied(loadCap int) bool {
	return s.allUp(func(n *simNode) bool {
		m, ok := n.replica.Current().Model("verdict")
		return ok && m.LoadCap == loadCap
	})
}

// schedule schedules an event that runs only if this process is still running.
func (n *simNode) schedule(d time.Duration, run func()) {
	process := n.process
	n.sim.schedule(d, func() {
		if n.process == process && !n.down {
			run()
		}
	})
}

// pause stalls the process without ending it; resume continues it with its state.
func (n *simNode) pause() { n.down = true }

func (n *simNode) resume() {
	n.down = false
	n.schedule(0, n.tick)
	n.schedule(0, n.poll)
}

func (n *simNode) tick() {
	for _, to := range n.core.Tick(n.sim.now) {
		n.exchange(to)
	}
	n.scheduleUrgent()
	n.schedule(time.Second, n.tick)
}

// scheduleUrgent schedules urgent exchanges as Service does.
func (n *simNode) scheduleUrgent() {
	if !n.core.urgent || n.urgentScheduled {
		return
	}
	n.urgentScheduled = true
	n.schedule(max(0, n.lastUrgent.Add(minUrgentInterval).Sub(n.sim.now)), func() {
		n.urgentScheduled = false
		n.lastUrgent = n.sim.now
		for _, to := range n.core.TakeUrgent() {
			n.exchange(to)
		}
	})
}

func (s *sim) nodeAt(address string) *simNode { return s.byAddress[address] }

func (s *sim) latency(a, b *simNode) time.Duration {
	base := farLatency
	if a.region == b.region {
		base = nearLatency
	}
	return base + time.Duration(s.rng.Int64N(int64(base)))
}

func (n *simNode) exchange(to Peer) {
	n.send(to, n.request(to), true)
}

func (n *simNode) send(to Peer, request *peer.ExchangeRequest, mayFollow bool) {
	sent := n.sim.now
	request = proto.CloneOf(request)
	n.call(to, request, func(b *simNode) proto.Message {
		response, p := b.onExchange(n.sim.now, request)
		b.pull(p)
		b.scheduleUrgent()
		return response
	}, func(m proto.Message) {
		follow := n.onReply(n.sim.now, sent, to, request, m.(*peer.ExchangeResponse))
		n.pull(follow.pull)
		if follow.exchange != nil && mayFollow {
			n.send(to, follow.exchange, false)
		}
		n.scheduleUrgent()
	}, func() { n.core.OnFailure(n.sim.now, to) })
}

func (n *simNode) pull(p *pull) {
	if p == nil || !n.replica.IsBehind(p.want) {
		return
	}
	request := n.pagesRequest()
	n.call(p.from, request, func(b *simNode) proto.Message { return b.onPages(request) }, func(m proto.Message) {
		n.merge(m.(*peer.PagesResponse).Pages)
	}, func() {})
}

func (n *simNode) merge(pages []*peer.Page) {
	if n.replica.Merge(pages) > 0 {
		n.core.MarkUrgent()
		n.scheduleUrgent()
	}
}

// call delivers a request to a peer and the response back, and counts the bytes of both.
func (n *simNode) call(to Peer, request proto.Message, serve func(*simNode) proto.Message, reply func(proto.Message), fail func()) {
	b := n.sim.nodeAt(to.Address)
	n.bytes += wireSize(request)
	process := b.process
	unreachable := func() bool { return b.down || b.process != process || n.sim.partitioned(n, b) }
	n.sim.schedule(n.sim.latency(n, b), func() {
		if unreachable() {
			n.schedule(defaultExchangeTimeout, fail)
			return
		}
		b.bytes += wireSize(request)
		response := serve(b)
		b.bytes += wireSize(response)
		n.schedule(n.sim.latency(n, b), func() {
			n.bytes += wireSize(response)
			reply(response)
		})
	})
}

func wireSize(m proto.Message) int64 { return int64(proto.Size(m)) + httpOverhead }

// numLive returns the number of live members in a daemon's view, including itself.
func (n *simNode) numLive() int {
	count := 0
	if n.core.self.State != leaving {
		count++
	}
	for _, e := range n.core.entries.sorted {
		if state := e.state(); state == alive || state == suspect {
			count++
		}
	}
	return count
}

func (n *simNode) stateOf(id string) peer.MemberState {
	for _, m := range n.core.Members() {
		if m.Id == id {
			return m.State
		}
	}
	return -1
}

// allUp reports whether a condition holds on every running daemon.
func (s *sim) allUp(condition func(*simNode) bool) bool {
	for _, n := range s.nodes {
		if !n.down && !condition(n) {
			return false
		}
	}
	return true
}

// converge runs until every running daemon has size live members in its view, and returns
// false if that takes longer than 5 minutes.
func (s *sim) converge(size int) bool {
	const limit = 5 * time.Minute
	for end := s.now.Add(limit); s.now.Before(end); s.runFor(time.Second) {
		if s.allUp(func(n *simNode) bool { return n.numLive() == size }) {
			return true
		}
	}
	return false
}
