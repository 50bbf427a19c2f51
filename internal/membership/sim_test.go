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

// Latencies one way, and the bytes that HTTP adds to a message (TestWireBytes measures
// them on real connections).
const (
	nearLatency  = 2 * time.Millisecond
	farLatency   = 75 * time.Millisecond
	httpOverhead = 200
)

// event is something that happens at a time; seq keeps equal times in order.
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

// sim runs nodes against simulated time and links. Its seed determines the run.
type sim struct {
	now   time.Time
	seq   int
	queue eventQueue
	nodes []*simNode

	byAddress map[string]*simNode
	service   *kv.Fake // holds the table
	reads     int      // calls of daemons to the service
	rng       *rand.Rand
	cut       func(a, b *simNode) bool
}

// simNode is one daemon of a sim.
type simNode struct {
	*node
	sim     *sim
	id      string
	address string
	region  string
	replica *table.Replica
	down    bool
	life    int // events of an earlier process are dropped
	bytes   int64
	urgent  bool // a round of urgent exchanges is scheduled
	lastU   time.Time
	readAt  time.Time // last read of the service
}

func newSim(seed uint64, size, regions int) *sim {
	s := &sim{now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), byAddress: make(map[string]*simNode)}
	s.cut = func(_, _ *simNode) bool { return false }
	s.service = kv.NewFake(func() time.Time { return s.now })
	for i := range size {
		n := &simNode{sim: s, id: fmt.Sprintf("daemon-%03d", i), region: fmt.Sprintf("region-%d", i%regions)}
		n.address = fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250+1)
		s.nodes = append(s.nodes, n)
		s.byAddress[n.address] = n
		n.start()
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, run: run})
}

// runFor lets simulated time pass.
func (s *sim) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// runUntil lets time pass until a condition holds and returns how long that took, or
// false at the limit.
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

// start begins a new process of the daemon; nothing of an earlier one is kept.
func (n *simNode) start() {
	n.life++
	n.down = false
	n.urgent = false
	n.replica = table.NewReplica(table.ReplicaOptions{KV: n.sim.service.Client(n.id), Now: func() time.Time { return n.sim.now }})
	seeds := []string{n.sim.nodes[0].address, n.sim.nodes[min(1, len(n.sim.nodes)-1)].address}
	self := &peer.Member{Id: n.id, PeerAddress: n.address, Region: n.region, FailureDomain: "domain", CallerAddress: n.address}
	self.Incarnation = uint64(n.sim.now.UnixNano())
	core := NewCore(self, seeds, Params{Seed: n.sim.rng.Uint64()})
	n.node = newNode(core, n.replica, nil)
	n.after(time.Duration(n.sim.rng.Int64N(int64(time.Second))), n.tick)
	n.after(time.Duration(n.sim.rng.Int64N(int64(time.Second))), n.poll)
}

// timing holds the periods in which daemons read the table.
var timing = table.DefaultTiming()

// poll reads the service as the table's Run does: a watcher in each wait, the others if
// their proof is old.
func (n *simNode) poll() {
	watched := n.watching() && n.sim.now.Sub(n.readAt) >= timing.WatchWait
	if watched || n.replica.ProofAge(n.sim.now) >= timing.MaxProofAge {
		n.read()
	}
	n.after(timing.PollInterval, n.poll)
}

func (n *simNode) read() {
	n.readAt = n.sim.now
	n.sim.reads++
	before := n.replica.Current().Hash()
	err := n.replica.Read(context.Background())
	if err == nil && n.replica.Current().Hash() != before {
		n.core.Urge()
		n.settle()
	}
}

// watching tells whether the daemon is among the two watchers of its region.
func (n *simNode) watching() bool {
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

// edit writes a row of the table; the watches of the watchers that are up return.
func (s *sim) edit(loadCap int) error {
	editor := table.NewEditor(table.EditorOptions{KV: s.service.Client("operator"), Operator: "ana"})
	data := fmt.Sprintf("id,default_version,bytes_per_token,load_cap\nverdict,v3,131072,%d\n", loadCap)
	plan, err := editor.Plan(context.Background(), []table.File{{Name: "models.csv", Data: []byte(data)}})
	if err != nil {
		return err
	}
	if _, err := editor.Apply(context.Background(), plan); err != nil {
		return err
	}
	for _, n := range s.nodes {
		if !n.down && n.watching() {
			n.after(nearLatency, n.read)
		}
	}
	return nil
}

// inForce tells whether every daemon that is up has the row.
func (s *sim) inForce(loadCap int) bool {
	return s.all(func(n *simNode) bool {
		m, ok := n.replica.Current().Model("verdict")
		return ok && m.LoadCap == loadCap
	})
}

// after schedules an event of this process.
func (n *simNode) after(d time.Duration, run func()) {
	life := n.life
	n.sim.after(d, func() {
		if n.life == life && !n.down {
			run()
		}
	})
}

// freeze stops the process without ending it; thaw lets it go on where it was.
func (n *simNode) freeze() { n.down = true }

func (n *simNode) thaw() {
	n.down = false
	n.after(0, n.tick)
	n.after(0, n.poll)
}

func (n *simNode) tick() {
	for _, to := range n.core.Tick(n.sim.now) {
		n.exchange(to)
	}
	n.settle()
	n.after(time.Second, n.tick)
}

// settle schedules urgent exchanges as the shell does.
func (n *simNode) settle() {
	if !n.core.urgent || n.urgent {
		return
	}
	n.urgent = true
	n.after(max(0, n.lastU.Add(urgentGap).Sub(n.sim.now)), func() {
		n.urgent = false
		n.lastU = n.sim.now
		for _, to := range n.core.TakeUrgent() {
			n.exchange(to)
		}
	})
}

func (s *sim) at(address string) *simNode { return s.byAddress[address] }

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
		b.settle()
		return response
	}, func(m proto.Message) {
		follow := n.onReply(n.sim.now, sent, to, request, m.(*peer.ExchangeResponse))
		n.pull(follow.pull)
		if follow.exchange != nil && mayFollow {
			n.send(to, follow.exchange, false)
		}
		n.settle()
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
		n.core.Urge()
		n.settle()
	}
}

// call carries a request to a peer and its answer back, and counts both.
func (n *simNode) call(to Peer, request proto.Message, serve func(*simNode) proto.Message, reply func(proto.Message), fail func()) {
	b := n.sim.at(to.Address)
	n.bytes += wireSize(request)
	life := b.life
	lost := func() bool { return b.down || b.life != life || n.sim.cut(n, b) }
	n.sim.after(n.sim.latency(n, b), func() {
		if lost() {
			n.after(defaultExchangeTimeout, fail)
			return
		}
		b.bytes += wireSize(request)
		response := serve(b)
		b.bytes += wireSize(response)
		n.after(n.sim.latency(n, b), func() {
			n.bytes += wireSize(response)
			reply(response)
		})
	})
}

func wireSize(m proto.Message) int64 { return int64(proto.Size(m)) + httpOverhead }

// live returns how many members a daemon counts as live, itself included.
func (n *simNode) live() int {
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

// all tells whether a condition holds on every daemon that is up.
func (s *sim) all(condition func(*simNode) bool) bool {
	for _, n := range s.nodes {
		if !n.down && !condition(n) {
			return false
		}
	}
	return true
}

// settled runs until every daemon that is up counts size live ones.
func (s *sim) settled(size int) bool {
	const limit = 5 * time.Minute
	for end := s.now.Add(limit); s.now.Before(end); s.runFor(time.Second) {
		if s.all(func(n *simNode) bool { return n.live() == size }) {
			return true
		}
	}
	return false
}
