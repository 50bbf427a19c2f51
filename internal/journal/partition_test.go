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

// smallLimits leads to pages, merges and a full partition after few calls.
var smallLimits = limits{
	retention: time.Hour, maxClockSkew: time.Minute, maxHeadBytes: 1500, sealThreshold: 300, maxPageBytes: 1000, maxPages: 3,
	maxBody: 100, maxUnsavedOutcomes: 50,
}

// fakeKV is the KV service as a worker uses it.
type fakeKV struct {
	revision platform.Revision
	entries  map[string]platform.Entry
	delayed  []*write // sent, not yet applied
}

func (s *fakeKV) cas(w *write) (platform.Revision, bool) {
	if s.entries[w.key].Revision != w.expect {
		return 0, false
	}
	s.revision++
	s.entries[w.key] = platform.Entry{Key: w.key, Value: w.value, Revision: s.revision}
	return s.revision, true
}

// keyModel is the reference state of a key.
type keyModel struct {
	digest  string
	at      time.Time // of the attempt that may have run
	mayRun  bool      // a ticket was issued and not aborted
	durable bool      // its result is confirmed as written
	body    []byte
}

// openTicket is a ticket that its process has not concluded.
type openTicket struct {
	ticket *Ticket
	model  *keyModel
}

// machine drives two processes that alternate as holder of one partition.
type machine struct {
	now        time.Time
	kv         *fakeKV
	procs      []*partition
	epoch      uint64
	lastWaiter waiterID
	keys       map[keyID]*keyModel
	begun      map[waiterID]*keyModel // by waiter of a Begin
	begins     []map[waiterID]keyID   // by process
	finishes   []map[waiterID]*keyModel
	tickets    [][]openTicket
}

func newMachine() *machine {
	m := &machine{
		now:   time.Unix(1_700_000_000, 0),
		kv:    &fakeKV{entries: map[string]platform.Entry{}},
		keys:  map[keyID]*keyModel{},
		begun: map[waiterID]*keyModel{},
	}
	for i := range 2 {
		m.procs = append(m.procs, newPartition(request.DaemonID(fmt.Sprint("p", i)), smallLimits))
		m.begins = append(m.begins, map[waiterID]keyID{})
		m.finishes = append(m.finishes, map[waiterID]*keyModel{})
		m.tickets = append(m.tickets, nil)
	}
	return m
}

func (m *machine) proc(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "process") }

func (m *machine) isRetained(k *keyModel) bool {
	return k.mayRun && m.now.Sub(k.at) <= smallLimits.retention
}

// load makes a process the holder under a new epoch; the other process is not notified.
func (m *machine) load(t *rapid.T) {
	i := m.proc(t)
	m.handleReplies(t, i, m.procs[i].unload(ErrUnavailable))
	var all []platform.Entry
	for _, e := range m.kv.entries {
		all = append(all, e)
	}
	r, err := parseRecord(0, all)
	if err != nil {
		t.Fatal(err)
	}
	m.epoch++
	m.procs[i].load(m.epoch, r.revision, r.head, r.pages, r.unreferenced)
}

func (m *machine) begin(t *rapid.T) {
	i := m.proc(t)
	id := keyID(fmt.Sprint("key", rapid.IntRange(0, 30).Draw(t, "key")))
	digest := rapid.SampledFrom([]string{"d", "d", "d", "other"}).Draw(t, "digest")
	m.lastWaiter++
	result, waiting, err := m.procs[i].begin(m.now, true, m.lastWaiter, beginRequest{id: id, digest: digest})
	if waiting {
		m.begins[i][m.lastWaiter] = id
		m.begun[m.lastWaiter] = &keyModel{digest: digest, at: m.now, mayRun: true}
		return
	}
	m.checkAnswer(t, id, digest, result, err)
}

// checkAnswer compares an immediate answer with the reference. The record of a process that
// is no longer the holder may be stale, but a result that it returns is still final.
func (m *machine) checkAnswer(t *rapid.T, id keyID, digest string, result *Result, err error) {
	k := m.keys[id]
	switch {
	case result != nil:
		if k == nil || !bytes.Equal(result.Body, k.body) || k.digest != digest {
			t.Fatalf("%s: answered with a result that no run returned", id)
		}
	case errors.Is(err, ErrResultNotKept):
		if k == nil || k.body == nil {
			t.Fatalf("%s: ErrResultNotKept, but no run finished", id)
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
	if w.seal == nil && len(w.value) > smallLimits.maxHeadBytes+2*smallLimits.maxBody+300 {
		t.Fatalf("head of %d bytes", len(w.value))
	}
	if len(p.pages) > smallLimits.maxPages {
		t.Fatalf("%d pages", len(p.pages))
	}
	switch rapid.SampledFrom([]string{"fine", "fine", "fine", "lost", "late", "never"}).Draw(t, "outcome") {
	case "fine":
		m.deliverWrite(t, i, w)
	case "lost":
		m.kv.cas(w)
		m.resolveWrite(t, i, w)
	case "late":
		m.kv.delayed = append(m.kv.delayed, w)
		m.resolveWrite(t, i, w)
	case "never":
		m.resolveWrite(t, i, w)
	}
}

func (m *machine) deliverWrite(t *rapid.T, i int, w *write) {
	if revision, ok := m.kv.cas(w); ok {
		m.confirmWrite(t, i, revision)
		return
	}
	m.resolveWrite(t, i, w)
}

// resolveWrite does what a worker does after a conflict or an unknown outcome.
func (m *machine) resolveWrite(t *rapid.T, i int, w *write) {
	p := m.procs[i]
	if w.seal != nil {
		p.retryWrite()
		return
	}
	e := m.kv.entries[w.key]
	h, err := decodeHead(e.Value)
	if err != nil {
		t.Fatal(err)
	}
	switch p.resolveWrite(h, e.Revision) {
	case writeApplied:
		m.confirmWrite(t, i, e.Revision)
	case writeNotApplied:
		p.retryWrite()
	case writeSuperseded:
		m.handleReplies(t, i, p.unload(ErrUnavailable))
	}
}

func (m *machine) confirmWrite(t *rapid.T, i int, revision platform.Revision) {
	p := m.procs[i]
	m.handleReplies(t, i, p.confirmWrite(revision))
	for _, page := range p.takePagesToDelete() {
		delete(m.kv.entries, pageKey(0, page.ref.Name))
	}
}

func (m *machine) handleReplies(t *rapid.T, i int, replies []reply) {
	for _, r := range replies {
		if k := m.finishes[i][r.waiter]; k != nil && r.err == nil {
			k.durable = true
		}
		id, ok := m.begins[i][r.waiter]
		if !ok || r.err != nil {
			continue
		}
		old := m.keys[id]
		if old != nil && m.isRetained(old) {
			t.Fatalf("%s: second ticket", id)
		}
		k := m.begun[r.waiter]
		m.keys[id] = k
		m.tickets[i] = append(m.tickets[i], openTicket{&Ticket{id: id, attempt: r.attempt}, k})
	}
}

func (m *machine) conclude(t *rapid.T) {
	i := m.proc(t)
	if len(m.tickets[i]) == 0 {
		return
	}
	ticket, k := m.tickets[i][0].ticket, m.tickets[i][0].model
	m.tickets[i] = m.tickets[i][1:]
	m.lastWaiter++
	switch rapid.SampledFrom([]string{"finish", "finish", "finish", "abort", "doubt", "die"}).Draw(t, "conclusion") {
	case "finish":
		k.body = fmt.Appendf(nil, "%*d", rapid.IntRange(1, 90).Draw(t, "size"), m.lastWaiter)
		if waiting, _ := m.procs[i].finish(m.now, m.lastWaiter, ticket, Result{Body: k.body}); waiting {
			m.finishes[i][m.lastWaiter] = k
		}
	case "abort":
		k.mayRun = false
		_, _ = m.procs[i].abort(m.lastWaiter, ticket)
	case "doubt":
		m.procs[i].markInDoubt(ticket)
	}
}

func (m *machine) cancel(t *rapid.T) {
	i := m.proc(t)
	for w := range m.lastWaiter + 1 {
		if _, ok := m.begins[i][w]; ok {
			m.procs[i].cancel(w)
			delete(m.begins[i], w)
			return
		}
	}
}

func (m *machine) advanceClock(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "seconds")) * time.Second)
}

func (m *machine) deliverDelayed(*rapid.T) {
	if len(m.kv.delayed) > 0 {
		m.kv.cas(m.kv.delayed[0])
		m.kv.delayed = m.kv.delayed[1:]
	}
}

// check loads the record as a new holder. Within the retention period it must not run any
// key again that may have run, and it must know all durable results.
func (m *machine) check(t *rapid.T) {
	var all []platform.Entry
	for _, e := range m.kv.entries {
		all = append(all, e)
	}
	r, err := parseRecord(0, all)
	if err != nil {
		t.Fatal(err)
	}
	p := newPartition("reader", smallLimits)
	p.load(m.epoch+1, r.revision, r.head, r.pages, r.unreferenced)
	for id, k := range m.keys {
		if !m.isRetained(k) {
			continue
		}
		result, waiting, err := p.begin(m.now, true, 0, beginRequest{id: id, digest: k.digest})
		if waiting || errors.Is(err, ErrKeyReused) {
			t.Fatalf("%s: may have run, and would run again", id)
		}
		if k.durable && result == nil && !errors.Is(err, ErrResultNotKept) {
			t.Fatalf("%s: durable result, answered %v", id, err)
		}
		m.checkAnswer(t, id, k.digest, result, err)
	}
}

// Compares a partition with small limits with a reference state of each key, under random
// calls, changes of holder, and lost, delayed and failed writes.
func TestPartitionAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"load": m.load, "begin": m.begin, "begin2": m.begin, "begin3": m.begin,
			"write": m.write, "write2": m.write, "write3": m.write, "write4": m.write,
			"conclude": m.conclude, "conclude2": m.conclude, "cancel": m.cancel,
			"pass": m.advanceClock, "deliver": m.deliverDelayed, "": m.check,
		})
	})
}

// A key expired and ran again, and its old and new results are in two pages. When the old
// page is merged, the new result must stay in the index. Otherwise the key looks expired
// and its call runs once more.
func TestLaterAttemptWinsAcrossPages(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	at := func(age time.Duration) int64 { return now.Add(-age).UnixMilli() }
	done := func(id keyID, seq uint64, age time.Duration) entry {
		return entry{ID: id, Digest: "d", Attempt: attempt{Epoch: 1, Seq: seq}, At: at(age), Done: true, Kept: true}
	}
	older := loadedPage{entries: []entry{done("k", 1, 3*time.Hour), done("other", 2, time.Minute)}}
	newer := loadedPage{entries: []entry{done("k", 3, time.Minute)}}
	for name, pages := range map[string][]loadedPage{
		"loaded": {older, newer},
		"merged": {newer, older}, // a merge indexes the older page last
	} {
		p := newPartition("p", smallLimits)
		p.load(2, 1, head{}, pages, nil)
		result, waiting, err := p.begin(now, true, 1, beginRequest{id: "k", digest: "d"})
		if waiting || err != nil || result == nil {
			t.Errorf("%s: waiting %v, error %v; want the result", name, waiting, err)
		}
	}
}

// One organisation sends new keys without limit. Without a limit per organisation it would
// fill the partition, and the first call of another organisation would be refused for a
// day.
func TestOrganisationCannotFillPartition(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := newPartition("p", smallLimits)
	p.load(1, 0, head{}, nil, nil)
	p.nextWrite(0, now)
	p.confirmWrite(1)
	const busyOrg, otherOrg = orgID(1), orgID(2)
	revision := platform.Revision(1)
	accepted := 0
	for i := range 2 * p.capacity() {
		_, waiting, err := p.begin(now, true, 1, beginRequest{org: busyOrg, id: keyID(fmt.Sprint(i)), digest: "d"})
		if err != nil {
			break
		}
		accepted++
		if !waiting {
			t.Fatal("a new key was answered")
		}
		for w := p.nextWrite(0, now); w != nil; w = p.nextWrite(0, now) {
			revision++
			for _, r := range p.confirmWrite(revision) {
				if r.attempt.Seq == p.seq && r.waiter == 1 {
					_, _ = p.finish(now, 2, &Ticket{id: keyID(fmt.Sprint(i)), attempt: r.attempt}, Result{})
				}
			}
		}
	}
	if half := p.capacity() / 2; accepted < half-2 || accepted > half+2 {
		t.Errorf("busy organisation has %d keys of %d, want half", accepted, p.capacity())
	}
	if _, waiting, err := p.begin(now, true, 1, beginRequest{org: otherOrg, id: "quiet", digest: "d"}); !waiting {
		t.Errorf("other organisation: %v", err)
	}
}

// So many calls end without a known outcome that a partition is full of keys in doubt.
// Dropping a key could run its call again. The partition must refuse new keys instead and
// return the time until the oldest key expires, or minRetryAfter while calls are in
// progress.
func TestFullPartitionRefusesNewKeys(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := newPartition("p", smallLimits)
	p.load(1, 0, head{}, nil, nil)
	var full *FullError
	begun := waiterID(0)
	for {
		_, _, err := p.begin(now, true, begun+1, beginRequest{id: keyID(fmt.Sprint(begun)), digest: "d"})
		if errors.As(err, &full) {
			break
		}
		begun++
	}
	if full.RetryAfter != minRetryAfter {
		t.Errorf("while calls are in progress: retry after %v", full.RetryAfter)
	}
	p.nextWrite(0, now)
	for _, r := range p.confirmWrite(1) {
		p.markInDoubt(&Ticket{attempt: r.attempt})
	}
	later := now.Add(20 * time.Minute)
	_, _, err := p.begin(later, true, 0, beginRequest{id: "new", digest: "d"})
	if want := smallLimits.retention + smallLimits.maxClockSkew - 20*time.Minute; !errors.As(err, &full) || full.RetryAfter != want {
		t.Errorf("full of keys in doubt: %v, %v; want %v", err, full.RetryAfter, want)
	}
	if _, _, err := p.begin(later, true, 0, beginRequest{id: "0", digest: "d"}); !errors.Is(err, ErrInDoubt) {
		t.Errorf("oldest key: %v", err)
	}
	p.nextWrite(0, now.Add(smallLimits.retention+smallLimits.maxClockSkew+time.Second))
	if _, waiting, err := p.begin(later.Add(time.Hour), true, 0, beginRequest{id: "new", digest: "d"}); !waiting {
		t.Errorf("after the returned time: %v", err)
	}
}
