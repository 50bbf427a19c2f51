// Package tableschedule runs randomised fault schedules against the table: operators that
// edit the same rows, answers that get lost, a service that is down, daemons that
// restart, and copies of pages that arrive late. A seed fully determines a schedule.
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
	steps     = 120
	replicas  = 3
	operators = 2
	rows      = 3
	lateKept  = 16 // answers kept to arrive late
	maxPass   = 3 * time.Second
)

// columns are the cells that operators edit. Each edit sets one to a number that no other
// edit uses, so that a cell's value names the edit it comes from.
var columns = [...]string{"burst", "concurrency"}

// firstValue is above the values that the rows begin with.
const firstValue = 100

// Outcome counts what a schedule did and found.
type Outcome struct {
	Edits    int      // accepted
	Refused  int      // told "conflict"
	Unclear  int      // ended in an error of the service
	Faults   int      // answers lost, outages, restarts, late pages
	Reverted int      // times a daemon had an older edit in force than it had or must have
	Lost     int      // accepted edits that the service no longer holds at the end
	Story    []string // what happened, if anything was reverted or lost
}

// Replica is what a schedule needs of a daemon's copy; *table.Replica is one.
type Replica interface {
	Read(ctx context.Context) error
	Merge(pages []*peer.Page) int
	Above(have []*peer.PageDigest) []*peer.Page
	Digest() (uint64, []*peer.PageDigest)
	Confirmed(now time.Time) time.Duration
	ConfirmFrom(sent time.Time, p table.PeerProof) bool
	Current() *table.Snapshot
}

// Operator is what a schedule needs of an operator; EditorOperator is one.
type Operator interface {
	// See reads a row, to edit it later.
	See(ctx context.Context, id string) error
	// Set edits a cell of a row as it was when last seen.
	Set(ctx context.Context, id, column, value string) error
}

// Options replaces the parts under test; tests put naive ones in their place.
type Options struct {
	NewReplica  func(service platform.KV, now func() time.Time) Replica
	NewOperator func(service platform.KV, now func() time.Time, name string) Operator
}

// RunSchedule runs the schedule of a seed and returns how often an edit was reverted or
// lost.
func RunSchedule(seed uint64) (reverted int) {
	outcome := Run(seed, Options{})
	return outcome.Reverted + outcome.Lost
}

// Run runs the schedule of a seed.
func Run(seed uint64, options Options) Outcome {
	w := newWorld(seed, options)
	for range steps {
		w.step()
	}
	w.finish()
	if w.outcome.Reverted == 0 && w.outcome.Lost == 0 {
		w.outcome.Story = nil
	}
	return w.outcome
}

// cell names one cell of one row.
type cell struct {
	row    string
	column string
}

// accepted is an edit that its operator was told is written.
type accepted struct {
	cell  cell
	place int // in the order of the cell's edits
	at    time.Time
}

// world is the state of one schedule.
type world struct {
	rng       *rand.Rand
	now       time.Time
	options   Options
	service   *kv.Fake
	down      bool
	operators []Operator
	daemons   []*daemon
	late      [][]*peer.Page
	nextValue int
	edits     map[cell][]string // values that took effect or may have, in order
	accepted  []accepted
	nested    bool // an edit runs in the middle of another
	outcome   Outcome
}

// daemon is a process with its copy and what it had in force.
type daemon struct {
	name    string
	replica Replica
	had     map[cell]int
}

func newWorld(seed uint64, options Options) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_000_000, 0), options: options,
		nextValue: firstValue, edits: make(map[cell][]string),
	}
	if w.options.NewReplica == nil {
		w.options.NewReplica = newReplica
	}
	if w.options.NewOperator == nil {
		w.options.NewOperator = NewEditorOperator
	}
	w.service = kv.NewFake(w.clock)
	w.service.SetHook(w.fault)
	w.writeRows()
	for i := range operators {
		name := "operator-" + strconv.Itoa(i)
		w.operators = append(w.operators, w.options.NewOperator(w.service.Client(name), w.clock, name))
	}
	for i := range replicas {
		w.daemons = append(w.daemons, &daemon{name: "daemon-" + strconv.Itoa(i)})
		w.restart(w.daemons[i])
	}
	return w
}

func newReplica(service platform.KV, now func() time.Time) Replica {
	return table.NewReplica(table.ReplicaOptions{KV: service, Now: now})
}

func (w *world) clock() time.Time { return w.now }

func (w *world) tell(format string, args ...any) {
	at := w.now.Sub(time.Unix(1_000_000, 0))
	w.outcome.Story = append(w.outcome.Story, fmt.Sprintf("%8v ", at)+fmt.Sprintf(format, args...))
}

func rowID(i int) string { return "org" + strconv.Itoa(i) }

// writeRows writes the rows that operators edit.
func (w *world) writeRows() {
	data := "id,key_sha256,weight,requests_per_second,burst,concurrency,tokens_per_second,models,services\n"
	for i := range rows {
		data += fmt.Sprintf("%s,%064x,1,1,1,1,1,,\n", rowID(i), i+1)
	}
	editor := table.NewEditor(table.EditorOptions{KV: w.service.Client("setup"), Who: "setup", Now: w.clock})
	plan, err := editor.Plan(context.Background(), []table.File{{Name: "organisations.csv", Data: []byte(data)}})
	if err == nil {
		_, err = editor.Apply(context.Background(), plan)
	}
	if err != nil {
		panic(err) // nothing fails before the first step
	}
	for i := range rows {
		for _, column := range columns {
			w.edits[cell{rowID(i), column}] = []string{"1"}
		}
	}
}

// fault is the service's hook: now and then another operator edits in the middle of an
// edit, or the answer of a write gets lost, perhaps at the start of an outage.
func (w *world) fault(client string, write bool, _ string) kv.Fault {
	if !write || client == "setup" {
		return kv.FaultNone
	}
	if !w.nested && w.rng.IntN(6) == 0 {
		w.nested = true
		w.edit()
		w.nested = false
	}
	switch w.rng.IntN(12) {
	case 0:
		w.outcome.Faults++
		w.tell("the answer to %s is lost", client)
		return kv.FaultDroppedResponse
	case 1:
		w.outcome.Faults++
		w.tell("the answer to %s is lost and the service goes down", client)
		w.setDown(true)
		return kv.FaultDroppedResponse
	case 2:
		w.outcome.Faults++
		return kv.FaultUnavailable
	}
	return kv.FaultNone
}

func (w *world) setDown(down bool) {
	w.down = down
	w.service.SetDown(down)
}

// step does one random thing and looks at all daemons.
func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.rng.Int64N(int64(maxPass))))
	d := w.daemons[w.rng.IntN(len(w.daemons))]
	switch w.rng.IntN(12) {
	case 0, 1, 2:
		w.edit()
	case 3, 4:
		w.see()
	case 5, 6:
		_ = d.replica.Read(context.Background()) // an outage leaves the daemon without a new proof
	case 7, 8:
		w.gossip(d, w.daemons[w.rng.IntN(len(w.daemons))])
	case 9:
		w.deliverLate(d)
	case 10:
		w.outcome.Faults++
		w.setDown(!w.down)
		w.tell("service down: %v", w.down)
	case 11:
		w.outcome.Faults++
		w.restart(d)
		w.tell("%s restarts", d.name)
	}
	for _, d := range w.daemons {
		w.check(d)
	}
}

func (w *world) see() {
	id := rowID(w.rng.IntN(rows))
	_ = w.operators[w.rng.IntN(operators)].See(context.Background(), id) // else it keeps what it saw
}

// edit lets an operator set a cell.
func (w *world) edit() {
	c := cell{rowID(w.rng.IntN(rows)), columns[w.rng.IntN(len(columns))]}
	operator := w.rng.IntN(operators)
	value := strconv.Itoa(w.nextValue)
	w.nextValue++
	err := w.operators[operator].Set(context.Background(), c.row, c.column, value)
	var conflict *table.ConflictError
	switch {
	case err == nil:
		w.outcome.Edits++
		w.edits[c] = append(w.edits[c], value)
		w.accepted = append(w.accepted, accepted{cell: c, place: len(w.edits[c]) - 1, at: w.now})
		w.tell("operator %d sets %s %s to %s", operator, c.row, c.column, value)
	case errors.As(err, &conflict), errors.Is(err, errNotSeen):
		w.outcome.Refused++
	default:
		w.outcome.Unclear++
		w.edits[c] = append(w.edits[c], value)
		w.tell("operator %d sets %s %s to %s, outcome unclear", operator, c.row, c.column, value)
	}
}

// gossip lets one daemon learn from another, as an exchange and a pull do. The answer may
// arrive a second time later.
func (w *world) gossip(to, from *daemon) {
	if to == from {
		return
	}
	sent := w.now
	_, have := to.replica.Digest()
	pages := from.replica.Above(have)
	if all := from.replica.Above(nil); len(all) > 0 && len(w.late) < lateKept {
		w.late = append(w.late, all)
	}
	hash, digest := from.replica.Digest()
	proof := table.PeerProof{Age: from.replica.Confirmed(w.now), Hash: hash, Pages: digest}
	w.now = w.now.Add(time.Duration(w.rng.Int64N(int64(time.Second))))
	if w.rng.IntN(4) > 0 { // else only the proof arrives
		to.replica.Merge(pages)
	}
	to.replica.ConfirmFrom(sent, proof)
}

func (w *world) deliverLate(d *daemon) {
	if len(w.late) == 0 {
		return
	}
	i := w.rng.IntN(len(w.late))
	w.outcome.Faults++
	d.replica.Merge(w.late[i])
	w.tell("late pages reach %s", d.name)
	w.late = append(w.late[:i], w.late[i+1:]...)
}

// restart begins a new process of a daemon, which has nothing.
func (w *world) restart(d *daemon) {
	d.replica = w.options.NewReplica(w.service.Client(d.name), w.clock)
	d.had = make(map[cell]int)
}

// check compares what a daemon has in force with what it had, and with what its proof
// promises: every edit accepted before the proof.
func (w *world) check(d *daemon) {
	snapshot := d.replica.Current()
	must := w.promised(d)
	for i := range rows {
		o, known := snapshot.Organisation(organisationID(i))
		values := [...]int{0, 0}
		if known {
			values = [...]int{o.Burst, o.Concurrency}
		}
		for j, column := range columns {
			c := cell{rowID(i), column}
			place := w.place(c, values[j], known)
			if place < d.had[c] || place < must[c] {
				w.outcome.Reverted++
				w.tell("%s has %s %s = %d (edit %d), had edit %d, promised edit %d", d.name, c.row, c.column, values[j], place, d.had[c], must[c])
			}
			d.had[c] = max(d.had[c], place)
		}
	}
}

// place returns which edit of a cell a value comes from; -1 stands for none. A row that
// is not known yet is before all edits.
func (w *world) place(c cell, value int, known bool) int {
	if !known {
		return 0
	}
	text := strconv.Itoa(value)
	for i, edit := range w.edits[c] {
		if edit == text {
			return i
		}
	}
	return -1
}

// promised returns the last edit of each cell that a daemon's proof covers.
func (w *world) promised(d *daemon) map[cell]int {
	must := make(map[cell]int)
	age := d.replica.Confirmed(w.now)
	if age == table.NeverConfirmed {
		return must
	}
	for _, a := range w.accepted {
		if a.at.Before(w.now.Add(-age)) {
			must[a.cell] = max(must[a.cell], a.place)
		}
	}
	return must
}

// finish ends all faults and looks for accepted edits that the service does not hold, nor
// anything later in their place.
func (w *world) finish() {
	w.setDown(false)
	w.service.SetHook(nil)
	last := &daemon{name: "reader"}
	w.restart(last)
	if err := last.replica.Read(context.Background()); err != nil {
		w.outcome.Lost++
		w.tell("the table can't be read at the end: %v", err)
		return
	}
	snapshot := last.replica.Current()
	for i := range rows {
		o, known := snapshot.Organisation(organisationID(i))
		if !known {
			w.outcome.Lost++
			continue
		}
		for j, value := range [...]int{o.Burst, o.Concurrency} {
			c := cell{rowID(i), columns[j]}
			w.countLost(c, w.place(c, value, true))
		}
	}
}

func (w *world) countLost(c cell, place int) {
	for _, a := range w.accepted {
		if a.cell == c && a.place > place {
			w.outcome.Lost++
			w.tell("edit %d of %s %s is lost; edit %d is in force", a.place, c.row, c.column, place)
		}
	}
}
