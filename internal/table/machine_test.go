package table

import (
	"context"
	"fmt"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/bluebellscale/bluebellscale/internal/peer"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // makes rapid use the same seeds in each run
)

// referenceTable is the reference model: a map of rows, each with the number of its edits. It
// has no pages and no replicas. An edit is allowed if the row's number of edits is the one
// that the operator has read.
type referenceTable map[string]referenceRow

type referenceRow struct {
	weight string // "" if the row does not exist
	edits  int
}

// edit applies an edit and reports whether it conflicts.
func (n referenceTable) edit(id, weight string, seen referenceRow) (conflict bool) {
	current := n[id]
	if current.weight == weight {
		return false
	}
	if current.edits != seen.edits {
		return true
	}
	n[id] = referenceRow{weight: weight, edits: current.edits + 1}
	return false
}

// operator is an Editor with the table that the operator read last.
type operator struct {
	editor *Editor
	seen   referenceTable
	stored storedTable
}

// tableMachine compares two operators and two replicas with the reference model.
type tableMachine struct {
	kv        *testKV
	reference referenceTable
	operators []*operator
	replicas  []*Replica
	delayed   [][]*peer.Page
}

var machineIDs = []string{"a", "b", "c", "d"}

func machineCells(id, weight string) []string {
	return []string{id, fmt.Sprintf("%064x", id), weight, "1", "1", "1", "1", "", ""}
}

func newTableMachine(t *rapid.T) *tableMachine {
	m := &tableMachine{kv: newTestKV(), reference: make(referenceTable)}
	for i := range 2 {
		m.operators = append(m.operators, &operator{editor: newTestEditor(m.kv, strconv.Itoa(i))})
		m.readTable(t, m.operators[i])
	}
	for range 2 {
		m.replicas = append(m.replicas, NewReplica(ReplicaOptions{KV: m.kv}))
	}
	return m
}

func (m *tableMachine) readTable(t *rapid.T, o *operator) {
	stored, err := o.editor.load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	o.stored = stored
	o.seen = make(referenceTable)
	for id, row := range m.reference {
		o.seen[id] = row
	}
}

// change returns the Change that sets a weight, based on the table that the operator has read.
func (o *operator) change(id, weight string) (Change, bool) {
	seen, existed := o.seen[id]
	c := Change{Kind: EditChange, Sheet: SheetOrganisations, ID: id, SeenRevision: seenRevision(o.stored, SheetOrganisations, id)}
	if weight != "" {
		c.After = machineCells(id, weight)
	}
	if seen.weight != "" {
		c.Before = machineCells(id, seen.weight)
	}
	switch {
	case weight == "" && seen.weight == "":
		return c, false // an operator removes only rows that it has read
	case weight == "":
		c.Kind = EditRemove
	case !existed || seen.weight == "":
		c.Kind = EditAdd
	}
	return c, true
}

// TestTableMatchesReferenceModel compares the table with the reference model under edits of two
// operators with stale reads and lost responses, and with replicas that read, gossip, restart
// and receive delayed pages.
func TestTableMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTableMachine(t)
		pick := func(t *rapid.T) *operator { return rapid.SampledFrom(m.operators).Draw(t, "operator") }
		replica := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "replica") }
		t.Repeat(map[string]func(*rapid.T){
			"see": func(t *rapid.T) { m.readTable(t, pick(t)) },
			"edit": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "lose") == 0 {
					m.kv.DropWriteResponses(1)
				}
				weight := rapid.SampledFrom([]string{"", "1", "2", "3"}).Draw(t, "weight")
				m.edit(t, pick(t), rapid.SampledFrom(machineIDs).Draw(t, "id"), weight)
				m.kv.DropWriteResponses(0)
			},
			"read":    func(t *rapid.T) { m.update(t, replica(t), nil) },
			"gossip":  func(t *rapid.T) { m.update(t, replica(t), m.recordDelayed(m.replicas[replica(t)].PagesNewerThan(nil))) },
			"restart": func(t *rapid.T) { m.replicas[replica(t)] = NewReplica(ReplicaOptions{KV: m.kv}) },
			"late": func(t *rapid.T) {
				if len(m.delayed) > 0 {
					m.update(t, replica(t), rapid.SampledFrom(m.delayed).Draw(t, "pages"))
				}
			},
			"": m.check,
		})
	})
}

func (m *tableMachine) recordDelayed(pages []*peer.Page) []*peer.Page {
	m.delayed = append(m.delayed, pages)
	return append([]*peer.Page{}, pages...) // not nil, since nil stands for a read
}

func (m *tableMachine) edit(t *rapid.T, o *operator, id, weight string) {
	change, possible := o.change(id, weight)
	if !possible {
		return
	}
	wantConflict := m.reference.edit(id, weight, o.seen[id])
	_, err := o.editor.Apply(context.Background(), &Plan{Changes: []Change{change}})
	var conflict *ConflictError
	if errors.As(err, &conflict) != wantConflict {
		t.Fatalf("want conflict %v, got error %v", wantConflict, err)
	}
	if err != nil && !wantConflict {
		t.Fatal(err)
	}
	if wantConflict && conflict.CurrentRevision == conflict.SeenRevision {
		t.Fatalf("conflict between equal revisions: %+v", conflict)
	}
}

// update makes a replica read (nil pages) or merge pages, and checks that no page goes back to
// an earlier revision.
func (m *tableMachine) update(t *rapid.T, i int, pages []*peer.Page) {
	r := m.replicas[i]
	_, before := r.Digest()
	if pages == nil {
		if err := r.Read(context.Background()); err != nil {
			t.Fatal(err)
		}
	} else {
		r.Merge(pages)
	}
	if r.IsBehind(before) {
		t.Fatal("a page went back to an earlier revision")
	}
	if pages == nil {
		m.checkReplica(t, r)
	}
}

func (m *tableMachine) checkReplica(t *rapid.T, r *Replica) {
	for _, id := range machineIDs {
		weight := ""
		for _, o := range r.Current().Organisations() {
			if string(o.ID) == id {
				weight = strconv.Itoa(o.Weight)
			}
		}
		if want := m.reference[id].weight; weight != want {
			t.Fatalf("row %s: replica has weight %q, want %q", id, weight, want)
		}
	}
}

// check exports and parses the table, and compares it with the reference model.
func (m *tableMachine) check(t *rapid.T) {
	editor := m.operators[0].editor
	files, err := editor.Export(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := ParseFiles(files)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range machineIDs {
		row := parsed[SheetOrganisations][id]
		if got, want := row.Cell("weight"), m.reference[id].weight; got != want {
			t.Fatalf("row %s: weight %q, want %q", id, got, want)
		}
		history, err := editor.History(context.Background(), SheetOrganisations, id)
		if edits := m.reference[id].edits; err == nil && len(history) != min(edits, historyLength) {
			t.Fatalf("row %s: %d edits in the history, want %d", id, len(history), min(edits, historyLength))
		}
	}
}
