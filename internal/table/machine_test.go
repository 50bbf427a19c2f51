package table

import (
	"context"
	"fmt"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/bluebellscale/bluebellscale/internal/peer"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

// naiveTable is the reference: rows in a map, each with a count of its edits. It has one
// place and no pages, so an edit is allowed if the row's count is what the operator saw.
type naiveTable map[string]naiveRow

type naiveRow struct {
	weight string // "" if there is no such row
	edits  int
}

// edit carries out an edit and tells whether it conflicts.
func (n naiveTable) edit(id, weight string, seen naiveRow) (conflict bool) {
	now := n[id]
	if now.weight == weight {
		return false
	}
	if now.edits != seen.edits {
		return true
	}
	n[id] = naiveRow{weight: weight, edits: now.edits + 1}
	return false
}

// operator is a person with an Editor and the table as last read.
type operator struct {
	editor *Editor
	saw    naiveTable
	plan   storedTable
}

// tableMachine drives two operators and replicas against the reference.
type tableMachine struct {
	kv        *testKV
	reference naiveTable
	operators []*operator
	replicas  []*Replica
	late      [][]*peer.Page
}

var machineIDs = []string{"a", "b", "c", "d"}

func machineCells(id, weight string) []string {
	return []string{id, fmt.Sprintf("%064x", id), weight, "1", "1", "1", "1", "", ""}
}

func newTableMachine(t *rapid.T) *tableMachine {
	m := &tableMachine{kv: newTestKV(), reference: make(naiveTable)}
	for i := range 2 {
		m.operators = append(m.operators, &operator{editor: newTestEditor(m.kv, strconv.Itoa(i))})
		m.see(t, m.operators[i])
	}
	for range 2 {
		m.replicas = append(m.replicas, NewReplica(ReplicaOptions{KV: m.kv}))
	}
	return m
}

func (m *tableMachine) see(t *rapid.T, o *operator) {
	stored, err := o.editor.load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	o.plan = stored
	o.saw = make(naiveTable)
	for id, row := range m.reference {
		o.saw[id] = row
	}
}

// change makes an operator's wish a Change from what it saw.
func (o *operator) change(id, weight string) (Change, bool) {
	seen, existed := o.saw[id]
	c := Change{Kind: EditChange, Sheet: SheetOrganisations, ID: id, Seen: seenRevision(o.plan, SheetOrganisations, id)}
	if weight != "" {
		c.After = machineCells(id, weight)
	}
	if seen.weight != "" {
		c.Before = machineCells(id, seen.weight)
	}
	switch {
	case weight == "" && seen.weight == "":
		return c, false // an operator removes only what it sees
	case weight == "":
		c.Kind = EditRemove
	case !existed || seen.weight == "":
		c.Kind = EditAdd
	}
	return c, true
}

// TestTableAgainstNaive compares edits of two operators, with stale views and lost
// answers, and replicas that read, gossip, restart and get late pages, with the reference.
func TestTableAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTableMachine(t)
		pick := func(t *rapid.T) *operator { return rapid.SampledFrom(m.operators).Draw(t, "operator") }
		replica := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "replica") }
		t.Repeat(map[string]func(*rapid.T){
			"see": func(t *rapid.T) { m.see(t, pick(t)) },
			"edit": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "lose") == 0 {
					m.kv.DropWriteResponses(1)
				}
				weight := rapid.SampledFrom([]string{"", "1", "2", "3"}).Draw(t, "weight")
				m.edit(t, pick(t), rapid.SampledFrom(machineIDs).Draw(t, "id"), weight)
				m.kv.DropWriteResponses(0)
			},
			"read":    func(t *rapid.T) { m.take(t, replica(t), nil) },
			"gossip":  func(t *rapid.T) { m.take(t, replica(t), m.keep(m.replicas[replica(t)].Above(nil))) },
			"restart": func(t *rapid.T) { m.replicas[replica(t)] = NewReplica(ReplicaOptions{KV: m.kv}) },
			"late": func(t *rapid.T) {
				if len(m.late) > 0 {
					m.take(t, replica(t), rapid.SampledFrom(m.late).Draw(t, "pages"))
				}
			},
			"": m.check,
		})
	})
}

func (m *tableMachine) keep(pages []*peer.Page) []*peer.Page {
	m.late = append(m.late, pages)
	return append([]*peer.Page{}, pages...) // not nil, which stands for a read
}

func (m *tableMachine) edit(t *rapid.T, o *operator, id, weight string) {
	change, possible := o.change(id, weight)
	if !possible {
		return
	}
	wantConflict := m.reference.edit(id, weight, o.saw[id])
	_, err := o.editor.Apply(context.Background(), &Plan{Changes: []Change{change}})
	var conflict *ConflictError
	if errors.As(err, &conflict) != wantConflict {
		t.Fatalf("conflict wanted %v, got %v", wantConflict, err)
	}
	if err != nil && !wantConflict {
		t.Fatal(err)
	}
	if wantConflict && conflict.Current == conflict.Seen {
		t.Fatalf("a conflict without a difference: %+v", conflict)
	}
}

// take lets a replica read (nil pages) or merge, and checks that no page goes back.
func (m *tableMachine) take(t *rapid.T, i int, pages []*peer.Page) {
	r := m.replicas[i]
	_, before := r.Digest()
	if pages == nil {
		if err := r.Read(context.Background()); err != nil {
			t.Fatal(err)
		}
	} else {
		r.Merge(pages)
	}
	if r.Lacks(before) {
		t.Fatal("a page went back to a lower revision")
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
			t.Fatalf("row %s: weight %q in force, want %q", id, weight, want)
		}
	}
}

// check compares an export with the reference, and reads it back.
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
