// Package tableschedule runs randomised fault schedules against the table: concurrent edits of
// the same rows, lost responses, outages of the key-value service, restarts of daemons, and
// delayed pages. A seed fully determines a schedule.
package tableschedule

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

// Sizes of a schedule.
const (
	steps       = 120
	replicas    = 3
	operators   = 2
	rows        = 3
	maxDelayed  = 16 // sets of pages kept for delayed delivery
	maxStepTime = 3 * time.Second
)

// columns lists the columns that operators edit. Each edit sets a cell to a number that no
// other edit uses, so that a cell's value identifies its edit.
var columns = [...]string{"burst", "concurrency"}

// firstValue is the value of the first edit; it is above the initial values of the rows.
const firstValue = 100

// Outcome counts the events and the violations of a schedule.
type Outcome struct {
	Edits     int      // accepted edits
	Conflicts int      // edits rejected because of a conflict or because the operator had not read the row
	Uncertain int      // edits that failed with an error of the key-value service
	Faults    int      // lost responses, outages, restarts, delayed pages
	Reverted  int      // checks in which a daemon had an older edit than before or than its confirmation requires
	Lost      int      // accepted edits that the key-value service no longer has at the end
	Events    []string // log of the schedule, if any edit was reverted or lost
}

// Replica is a daemon's copy of the table; *table.Replica implements it.
type Replica interface {
	Read(ctx context.Context) error
	Merge(pages []*peer.Page) int
	PagesNewerThan(have []*peer.PageDigest) []*peer.Page
	Digest() (uint64, []*peer.PageDigest)
	Staleness(now time.Time) time.Duration
	ConfirmFromPeer(sent time.Time, p table.PeerConfirmation) bool
	Current() *table.Snapshot
}

// Operator reads and edits rows; EditorOperator implements it.
type Operator interface {
	// Read reads a row for a later edit.
	Read(ctx context.Context, id string) error
	// Set edits a cell at the revision of the row that Read last returned.
	Set(ctx context.Context, id, column, value string) error
}

// Options replaces the components under test. Tests use it to run naive implementations.
type Options struct {
	NewReplica  func(service platform.KV, now func() time.Time) Replica
	NewOperator func(service platform.KV, now func() time.Time, name string) Operator
}

// RunSchedule runs the schedule of a seed and returns the number of reverted and lost edits.
func RunSchedule(seed uint64) (reverted int) {
	outcome := Run(seed, Options{})
	return outcome.Reverted + outcome.Lost
}

// Run runs the schedule of a seed.
func Run(seed uint64, options Options) Outcome {
	s := newSimulation(seed, options)
	for range steps {
		s.step()
	}
	s.finish()
	if s.outcome.Reverted == 0 && s.outcome.Lost == 0 {
		s.outcome.Events = nil
	}
	return s.outcome
}

// cell names one cell of one row.
type cell struct {
	row    string
	column string
}

// acceptedEdit is an edit that the editor reported as written.
type acceptedEdit struct {
	cell       cell
	index      int // position among the cell's edits
	acceptedAt time.Time
}

// simulation holds the state of one schedule.
type simulation struct {
	rng          *rand.Rand
	now          time.Time
	options      Options
	service      *kv.Fake
	down         bool
	operators    []Operator
	daemons      []*daemon
	delayedPages [][]*peer.Page
	nextValue    int
	edits        map[cell][]string // values that took effect or may have, in order
	accepted     []acceptedEdit
	nested       bool // an edit runs during another one
	outcome      Outcome
}

// daemon is a process with its replica and the newest edit of each cell that it has applied.
type daemon struct {
	name        string
	replica     Replica
	newestEdits map[cell]int
}

func newSimulation(seed uint64, options Options) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_000_000, 0), options: options,
		nextValue: firstValue, edits: make(map[cell][]string),
	}
	if s.options.NewReplica == nil {
		s.options.NewReplica = newReplica
	}
	if s.options.NewOperator == nil {
		s.options.NewOperator = NewEditorOperator
	}
	s.service = kv.NewFake(s.clock)
	s.service.SetHook(s.injectFault)
	s.writeRows()
	for i := range operators {
		name := "operator-" + strconv.Itoa(i)
		s.operators = append(s.operators, s.options.NewOperator(s.service.Client(name), s.clock, name))
	}
	for i := range replicas {
		s.daemons = append(s.daemons, &daemon{name: "daemon-" + strconv.Itoa(i)})
		s.restart(s.daemons[i])
	}
	return s
}

func newReplica(service platform.KV, now func() time.Time) Replica {
	return table.NewReplica(table.ReplicaOptions{KV: service, Now: now})
}

func (s *simulation) clock() time.Time { return s.now }

func (s *simulation) logEvent(format string, args ...any) {
	at := s.now.Sub(time.Unix(1_000_000, 0))
	s.outcome.Events = append(s.outcome.Events, fmt.Sprintf("%8v ", at)+fmt.Sprintf(format, args...))
}

func rowID(i int) string { return "org" + strconv.Itoa(i) }

// writeRows writes the rows that operators edit.
func (s *simulation) writeRows() {
	data := "id,key_sha256,weight,requests_per_second,burst,concurrency,tokens_per_second,models,services\n"
	for i := range rows {
		data += fmt.Sprintf("%s,%064x,1,1,1,1,1,,\n", rowID(i), i+1)
	}
	editor := table.NewEditor(table.EditorOptions{KV: s.service.Client("setup"), Operator: "setup", Now: s.clock})
	plan, err := editor.Plan(context.Background(), []table.File{{Name: "organisations.csv", Data: []byte(data)}})
	if err == nil {
		_, err = editor.Apply(context.Background(), plan)
	}
	if err != nil {
		panic(err) // faults start with the first step
	}
	for i := range rows {
		for _, column := range columns {
			s.edits[cell{rowID(i), column}] = []string{"1"}
		}
	}
}

// injectFault is the hook of the key-value service. On some writes it runs a concurrent edit of
// an operator, drops the response, which may start an outage, or fails the write.
func (s *simulation) injectFault(client string, write bool, _ string) kv.Fault {
	if !write || client == "setup" {
		return kv.FaultNone
	}
	if !s.nested && s.rng.IntN(6) == 0 {
		s.nested = true
		s.edit()
		s.nested = false
	}
	switch s.rng.IntN(12) {
	case 0:
		s.outcome.Faults++
		s.logEvent("response to %s lost", client)
		return kv.FaultDroppedResponse
	case 1:
		s.outcome.Faults++
		s.logEvent("response to %s lost, service goes down", client)
		s.setDown(true)
		return kv.FaultDroppedResponse
	case 2:
		s.outcome.Faults++
		return kv.FaultUnavailable
	}
	return kv.FaultNone
}

func (s *simulation) setDown(down bool) {
	s.down = down
	s.service.SetDown(down)
}

// step performs one random action and then checks all daemons.
func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.rng.Int64N(int64(maxStepTime))))
	d := s.daemons[s.rng.IntN(len(s.daemons))]
	switch s.rng.IntN(12) {
	case 0, 1, 2:
		s.edit()
	case 3, 4:
		s.readRow()
	case 5, 6:
		_ = d.replica.Read(context.Background()) // during an outage the daemon gets no new confirmation
	case 7, 8:
		s.gossip(d, s.daemons[s.rng.IntN(len(s.daemons))])
	case 9:
		s.deliverDelayed(d)
	case 10:
		s.outcome.Faults++
		s.setDown(!s.down)
		s.logEvent("service down: %v", s.down)
	case 11:
		s.outcome.Faults++
		s.restart(d)
		s.logEvent("%s restarts", d.name)
	}
	for _, d := range s.daemons {
		s.checkDaemon(d)
	}
}

func (s *simulation) readRow() {
	id := rowID(s.rng.IntN(rows))
	_ = s.operators[s.rng.IntN(operators)].Read(context.Background(), id) // on failure the operator keeps the revision that it read before
}

// edit makes a random operator set a random cell.
func (s *simulation) edit() {
	c := cell{rowID(s.rng.IntN(rows)), columns[s.rng.IntN(len(columns))]}
	operator := s.rng.IntN(operators)
	value := strconv.Itoa(s.nextValue)
	s.nextValue++
	err := s.operators[operator].Set(context.Background(), c.row, c.column, value)
	var conflict *table.ConflictError
	switch {
	case err == nil:
		s.outcome.Edits++
		s.edits[c] = append(s.edits[c], value)
		s.accepted = append(s.accepted, acceptedEdit{cell: c, index: len(s.edits[c]) - 1, acceptedAt: s.now})
		s.logEvent("operator %d sets %s %s to %s", operator, c.row, c.column, value)
	case errors.As(err, &conflict), errors.Is(err, errNotRead):
		s.outcome.Conflicts++
	default:
		s.outcome.Uncertain++
		s.edits[c] = append(s.edits[c], value)
		s.logEvent("operator %d sets %s %s to %s, outcome unknown", operator, c.row, c.column, value)
	}
}

// gossip transfers pages and the confirmation from one daemon to another, as an exchange and a
// pull do. The pages may be delivered a second time later.
func (s *simulation) gossip(to, from *daemon) {
	if to == from {
		return
	}
	sent := s.now
	_, have := to.replica.Digest()
	pages := from.replica.PagesNewerThan(have)
	if all := from.replica.PagesNewerThan(nil); len(all) > 0 && len(s.delayedPages) < maxDelayed {
		s.delayedPages = append(s.delayedPages, all)
	}
	hash, digest := from.replica.Digest()
	confirmation := table.PeerConfirmation{Age: from.replica.Staleness(s.now), Hash: hash, Pages: digest}
	s.now = s.now.Add(time.Duration(s.rng.Int64N(int64(time.Second))))
	if s.rng.IntN(4) > 0 { // otherwise only the confirmation arrives
		to.replica.Merge(pages)
	}
	to.replica.ConfirmFromPeer(sent, confirmation)
}

func (s *simulation) deliverDelayed(d *daemon) {
	if len(s.delayedPages) == 0 {
		return
	}
	i := s.rng.IntN(len(s.delayedPages))
	s.outcome.Faults++
	d.replica.Merge(s.delayedPages[i])
	s.logEvent("delayed pages reach %s", d.name)
	s.delayedPages = append(s.delayedPages[:i], s.delayedPages[i+1:]...)
}

// restart replaces a daemon by a new process with an empty replica.
func (s *simulation) restart(d *daemon) {
	d.replica = s.options.NewReplica(s.service.Client(d.name), s.clock)
	d.newestEdits = make(map[cell]int)
}

// checkDaemon compares a daemon's table with the newest edits that the daemon has applied, and
// with those that its confirmation requires: every edit accepted before the replica was
// confirmed.
func (s *simulation) checkDaemon(d *daemon) {
	snapshot := d.replica.Current()
	required := s.requiredEdits(d)
	for i := range rows {
		o, known := snapshot.Organisation(organisationID(i))
		values := [...]int{0, 0}
		if known {
			values = [...]int{o.Burst, o.Concurrency}
		}
		for j, column := range columns {
			c := cell{rowID(i), column}
			index := s.editIndex(c, values[j], known)
			if index < d.newestEdits[c] || index < required[c] {
				s.outcome.Reverted++
				s.logEvent("%s has %s %s = %d (edit %d), had edit %d, confirmation requires edit %d", d.name, c.row, c.column, values[j], index, d.newestEdits[c], required[c])
			}
			d.newestEdits[c] = max(d.newestEdits[c], index)
		}
	}
}

// editIndex returns the index of the edit that wrote a value, or -1 if no edit did. A row that
// the replica does not have yet counts as index 0, the initial value.
func (s *simulation) editIndex(c cell, value int, known bool) int {
	if !known {
		return 0
	}
	text := strconv.Itoa(value)
	for i, edit := range s.edits[c] {
		if edit == text {
			return i
		}
	}
	return -1
}

// requiredEdits returns the index of the last edit of each cell that a daemon's confirmation
// covers.
func (s *simulation) requiredEdits(d *daemon) map[cell]int {
	required := make(map[cell]int)
	age := d.replica.Staleness(s.now)
	if age == table.NeverConfirmed {
		return required
	}
	for _, a := range s.accepted {
		if a.acceptedAt.Before(s.now.Add(-age)) {
			required[a.cell] = max(required[a.cell], a.index)
		}
	}
	return required
}

// finish ends all faults and counts the accepted edits for which the key-value service has
// neither the edit's value nor a later one.
func (s *simulation) finish() {
	s.setDown(false)
	s.service.SetHook(nil)
	last := &daemon{name: "reader"}
	s.restart(last)
	if err := last.replica.Read(context.Background()); err != nil {
		s.outcome.Lost++
		s.logEvent("cannot read the table at the end: %v", err)
		return
	}
	snapshot := last.replica.Current()
	for i := range rows {
		o, known := snapshot.Organisation(organisationID(i))
		if !known {
			s.outcome.Lost++
			continue
		}
		for j, value := range [...]int{o.Burst, o.Concurrency} {
			c := cell{rowID(i), columns[j]}
			s.countLost(c, s.editIndex(c, value, true))
		}
	}
}

func (s *simulation) countLost(c cell, index int) {
	for _, a := range s.accepted {
		if a.cell == c && a.index > index {
			s.outcome.Lost++
			s.logEvent("edit %d of %s %s is lost; stored is edit %d", a.index, c.row, c.column, index)
		}
	}
}
