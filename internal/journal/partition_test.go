package journal

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

// smallLimits make pages, merges and a full partition come soon.
var smallLimits = limits{
	keep: time.Hour, skew: time.Minute, head: 1500, seal: 300, page: 1000, pages: 3,
	maxBody: 100, outcomes: 50,
}

// store is the service as the core's shell would use it.
type store struct {
	revision platform.Revision
	entries  map[string]platform.Entry
	late     []*write // sent, not arrived
}

func (s *store) cas(w *write) (platform.Revision, bool) {
	if s.entries[w.key].Revision != w.expect {
		return 0, false
	}
	s.revision++
	s.entries[w.key] = platform.Entry{Key: w.key, Value: w.value, Revision: s.revision}
	return s.revision, true
}

// known is the naive reference: what must be true of a key, in plain words.
type known struct {
	digest  string
	at      time.Time // of the try that may have run
	mayRun  bool      // a ticket was given and not aborted
	durable bool      // its result is known to be written
	body    []byte
}

// held is a ticket in a process's hands.
type held struct {
	ticket *Ticket
	known  *known
}

// machine drives two processes that take turns at one partition.
type machine struct {
	now      time.Time
	store    *store
	procs    []*partition
	epoch    uint64
	waiters  waiter
	keys     map[keyID]*known
	asked    map[waiter]*known  // by waiting begins
	begins   []map[waiter]keyID // by process
	finishes []map[waiter]*known
	tickets  [][]held
}

func newMachine() *machine {
	m := &machine{
		now:   time.Unix(1_700_000_000, 0),
		store: &store{entries: map[string]platform.Entry{}},
		keys:  map[keyID]*known{},
		asked: map[waiter]*known{},
	}
	for i := range 2 {
		m.procs = append(m.procs, newPartition(request.DaemonID(fmt.Sprint("p", i)), smallLimits))
		m.begins = append(m.begins, map[waiter]keyID{})
		m.finishes = append(m.finishes, map[waiter]*known{})
		m.tickets = append(m.tickets, nil)
	}
	return m
}

func (m *machine) proc(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "process") }

func (m *machine) fresh(k *known) bool {
	return k.mayRun && m.now.Sub(k.at) <= smallLimits.keep
}

// load gives the partition to a process under a new epoch; the other one is not told.
func (m *machine) load(t *rapid.T) {
	i := m.proc(t)
	m.answer(t, i, m.procs[i].lose(ErrUnavailable))
	var all []platform.Entry
	for _, e := range m.store.entries {
		all = append(all, e)
	}
	r, err := parseRecord(0, all)
	if err != nil {
		t.Fatal(err)
	}
	m.epoch++
	m.procs[i].load(m.epoch, r.revision, r.head, r.pages, r.orphans)
}

func (m *machine) begin(t *rapid.T) {
	i := m.proc(t)
	id := keyID(fmt.Sprint("key", rapid.IntRange(0, 30).Draw(t, "key")))
	digest := rapid.SampledFrom([]string{"d", "d", "d", "other"}).Draw(t, "digest")
	m.waiters++
	result, waiting, err := m.procs[i].begin(m.now, true, m.waiters, ask{id: id, digest: digest})
	if waiting {
		m.begins[i][m.waiters] = id
		m.asked[m.waiters] = &known{digest: digest, at: m.now, mayRun: true}
		return
	}
	m.checkAnswer(t, id, digest, result, err)
}

// checkAnswer compares an answer at once with the reference. Only the process that
// would win the next write knows the present; the other may be behind, but a result
// that it tells is final all the same.
func (m *machine) checkAnswer(t *rapid.T, id keyID, digest string, result *Result, err error) {
	k := m.keys[id]
	switch {
	case result != nil:
		if k == nil || !bytes.Equal(result.Body, k.body) || k.digest != digest {
			t.Fatalf("%s: answered a result that no run gave", id)
		}
	case errors.Is(err, ErrResultNotKept):
		if k == nil || k.body == nil {
			t.Fatalf("%s: told that it ran", id)
		}
	}
}

func (m *machine) write(t *rapid.T) {
	i := m.proc(t)
	p := m.procs[i]
	w := p.inFlight
	if w == nil {
		if w = p.nextWrite(0, m.now); w == nil {
			return
		}
	}
	if w.page == nil && len(w.value) > smallLimits.head+2*smallLimits.maxBody+300 {
		t.Fatalf("head of %d bytes", len(w.value))
	}
	if len(p.pages) > smallLimits.pages {
		t.Fatalf("%d pages", len(p.pages))
	}
	switch rapid.SampledFrom([]string{"fine", "fine", "fine", "lost", "late", "never"}).Draw(t, "outcome") {
	case "fine":
		m.arrive(t, i, w)
	case "lost":
		m.store.cas(w)
		m.settle(t, i, w)
	case "late":
		m.store.late = append(m.store.late, w)
		m.settle(t, i, w)
	case "never":
		m.settle(t, i, w)
	}
}

func (m *machine) arrive(t *rapid.T, i int, w *write) {
	if revision, ok := m.store.cas(w); ok {
		m.wrote(t, i, revision)
		return
	}
	m.settle(t, i, w)
}

// settle does what the shell does after a conflict or an unknown outcome.
func (m *machine) settle(t *rapid.T, i int, w *write) {
	p := m.procs[i]
	if w.page != nil {
		p.retry()
		return
	}
	e := m.store.entries[w.key]
	h, err := decodeHead(e.Value)
	if err != nil {
		t.Fatal(err)
	}
	switch p.judge(h, e.Revision) {
	case verdictWrote:
		m.wrote(t, i, e.Revision)
	case verdictRetry:
		p.retry()
	case verdictLost:
		m.answer(t, i, p.lose(ErrUnavailable))
	}
}

func (m *machine) wrote(t *rapid.T, i int, revision platform.Revision) {
	p := m.procs[i]
	m.answer(t, i, p.wrote(revision))
	for _, page := range p.takeObsolete() {
		delete(m.store.entries, pageKey(0, page.ref.Name))
	}
}

func (m *machine) answer(t *rapid.T, i int, replies []reply) {
	for _, r := range replies {
		if k := m.finishes[i][r.waiter]; k != nil && r.err == nil {
			k.durable = true
		}
		id, ok := m.begins[i][r.waiter]
		if !ok || r.err != nil {
			continue
		}
		old := m.keys[id]
		if old != nil && m.fresh(old) {
			t.Fatalf("%s: second ticket", id)
		}
		k := m.asked[r.waiter]
		m.keys[id] = k
		m.tickets[i] = append(m.tickets[i], held{&Ticket{id: id, attempt: r.attempt}, k})
	}
}

func (m *machine) conclude(t *rapid.T) {
	i := m.proc(t)
	if len(m.tickets[i]) == 0 {
		return
	}
	ticket, k := m.tickets[i][0].ticket, m.tickets[i][0].known
	m.tickets[i] = m.tickets[i][1:]
	m.waiters++
	switch rapid.SampledFrom([]string{"finish", "finish", "finish", "abort", "doubt", "die"}).Draw(t, "conclusion") {
	case "finish":
		k.body = fmt.Appendf(nil, "%*d", rapid.IntRange(1, 90).Draw(t, "size"), m.waiters)
		if waiting, _ := m.procs[i].finish(m.now, m.waiters, ticket, Result{Body: k.body}); waiting {
			m.finishes[i][m.waiters] = k
		}
	case "abort":
		k.mayRun = false
		_, _ = m.procs[i].abort(m.waiters, ticket)
	case "doubt":
		m.procs[i].doubt(ticket)
	}
}

func (m *machine) cancel(t *rapid.T) {
	i := m.proc(t)
	for w := range m.waiters + 1 {
		if _, ok := m.begins[i][w]; ok {
			m.procs[i].cancel(w)
			delete(m.begins[i], w)
			return
		}
	}
}

func (m *machine) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "seconds")) * time.Second)
}

func (m *machine) deliver(*rapid.T) {
	if len(m.store.late) > 0 {
		m.store.cas(m.store.late[0])
		m.store.late = m.store.late[1:]
	}
}

// check asks a new holder for all keys whose result is durable: whatever happened, it
// knows them for as long as keys are kept.
func (m *machine) check(t *rapid.T) {
	var all []platform.Entry
	for _, e := range m.store.entries {
		all = append(all, e)
	}
	r, err := parseRecord(0, all)
	if err != nil {
		t.Fatal(err)
	}
	p := newPartition("reader", smallLimits)
	p.load(m.epoch+1, r.revision, r.head, r.pages, r.orphans)
	for id, k := range m.keys {
		if !m.fresh(k) {
			continue
		}
		result, waiting, err := p.begin(m.now, true, 0, ask{id: id, digest: k.digest})
		if waiting || errors.Is(err, ErrKeyReused) {
			t.Fatalf("%s: may have run, and would run again", id)
		}
		if k.durable && result == nil && !errors.Is(err, ErrResultNotKept) {
			t.Fatalf("%s: durable result, answered %v", id, err)
		}
		m.checkAnswer(t, id, k.digest, result, err)
	}
}

// A partition with tiny limits under random calls, lost, late and failed writes, and
// changes of holder, against a plain list of what must be true of each key.
func TestPartitionAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"load": m.load, "begin": m.begin, "begin2": m.begin, "begin3": m.begin,
			"write": m.write, "write2": m.write, "write3": m.write, "write4": m.write,
			"conclude": m.conclude, "conclude2": m.conclude, "cancel": m.cancel,
			"pass": m.pass, "deliver": m.deliver, "": m.check,
		})
	})
}

// Story: a key ran, was forgotten after its time, and ran again under the same name.
// Its old result and its new one lie in two pages. When the old page is merged, the
// new result must stay the one known, or the key looks forgotten and runs once more.
func TestKeyInTwoPages(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	at := func(age time.Duration) int64 { return now.Add(-age).UnixMilli() }
	done := func(id keyID, seq uint64, age time.Duration) entry {
		return entry{ID: id, Digest: "d", Attempt: attempt{Epoch: 1, Seq: seq}, At: at(age), Done: true, Kept: true}
	}
	older := heldPage{entries: []entry{done("k", 1, 3*time.Hour), done("other", 2, time.Minute)}}
	newer := heldPage{entries: []entry{done("k", 3, time.Minute)}}
	for name, pages := range map[string][]heldPage{
		"loaded": {older, newer},
		"merged": {newer, older}, // a merge indexes the older page last
	} {
		p := newPartition("p", smallLimits)
		p.load(2, 1, head{}, pages, nil)
		result, waiting, err := p.begin(now, true, 1, ask{id: "k", digest: "d"})
		if waiting || err != nil || result == nil {
			t.Errorf("%s: waiting %v, error %v; want the result", name, waiting, err)
		}
	}
}

// Story: one organisation sends keys without end. Without a share it would fill the
// partition, and another one's first batch card would be refused for a day.
func TestLoudOrganisationLeavesRoom(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := newPartition("p", smallLimits)
	p.load(1, 0, head{}, nil, nil)
	p.nextWrite(0, now)
	p.wrote(1)
	const loud, quiet = orgID(1), orgID(2)
	revision := platform.Revision(1)
	accepted := 0
	for i := range 2 * p.capacity() {
		_, waiting, err := p.begin(now, true, 1, ask{org: loud, id: keyID(fmt.Sprint(i)), digest: "d"})
		if err != nil {
			break
		}
		accepted++
		if !waiting {
			t.Fatal("a new key was answered")
		}
		for w := p.nextWrite(0, now); w != nil; w = p.nextWrite(0, now) {
			revision++
			for _, r := range p.wrote(revision) {
				if r.attempt.Seq == p.seq && r.waiter == 1 {
					_, _ = p.finish(now, 2, &Ticket{id: keyID(fmt.Sprint(i)), attempt: r.attempt}, Result{})
				}
			}
		}
	}
	if half := p.capacity() / 2; accepted < half-2 || accepted > half+2 {
		t.Errorf("loud organisation has %d keys of %d, want half", accepted, p.capacity())
	}
	if _, waiting, err := p.begin(now, true, 1, ask{org: quiet, id: "quiet", digest: "d"}); !waiting {
		t.Errorf("quiet organisation: %v", err)
	}
}

// Story: so many calls end without an answer that a partition is full of keys in doubt.
// Forgetting one to make room could run it again; new keys are refused instead, and
// told when the oldest may be forgotten. While calls are under way that may be soon.
func TestFullPartitionRefuses(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := newPartition("p", smallLimits)
	p.load(1, 0, head{}, nil, nil)
	var full *FullError
	begun := waiter(0)
	for {
		_, _, err := p.begin(now, true, begun+1, ask{id: keyID(fmt.Sprint(begun)), digest: "d"})
		if errors.As(err, &full) {
			break
		}
		begun++
	}
	if full.RetryAfter != minRetryAfter {
		t.Errorf("while calls are under way: come back after %v", full.RetryAfter)
	}
	p.nextWrite(0, now)
	for _, r := range p.wrote(1) {
		p.doubt(&Ticket{attempt: r.attempt})
	}
	later := now.Add(20 * time.Minute)
	_, _, err := p.begin(later, true, 0, ask{id: "new", digest: "d"})
	if want := smallLimits.keep + smallLimits.skew - 20*time.Minute; !errors.As(err, &full) || full.RetryAfter != want {
		t.Errorf("full of doubts: %v, %v; want %v", err, full.RetryAfter, want)
	}
	if _, _, err := p.begin(later, true, 0, ask{id: "0", digest: "d"}); !errors.Is(err, ErrInDoubt) {
		t.Errorf("oldest key: %v", err)
	}
	p.nextWrite(0, now.Add(smallLimits.keep+smallLimits.skew+time.Second))
	if _, waiting, err := p.begin(later.Add(time.Hour), true, 0, ask{id: "new", digest: "d"}); !waiting {
		t.Errorf("after the stated time: %v", err)
	}
}
