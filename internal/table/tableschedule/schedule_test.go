package tableschedule

import (
	"context"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

const (
	firstSeed = 1
	schedules = 100
)

// runAll sums the outcomes of all seeds.
func runAll(t *testing.T, options Options) Outcome {
	t.Helper()
	var sum Outcome
	for seed := uint64(firstSeed); seed < firstSeed+schedules; seed++ {
		o := Run(seed, options)
		if sum.Reverted+sum.Lost == 0 && o.Reverted+o.Lost > 0 {
			sum.Events = append([]string{"seed"}, o.Events...)
			t.Logf("first seed with a violation: %d", seed)
		}
		sum.Edits += o.Edits
		sum.Conflicts += o.Conflicts
		sum.Uncertain += o.Uncertain
		sum.Faults += o.Faults
		sum.Reverted += o.Reverted
		sum.Lost += o.Lost
	}
	t.Logf("schedules=%d edits=%d conflicts=%d uncertain=%d faults=%d reverted=%d lost=%d",
		schedules, sum.Edits, sum.Conflicts, sum.Uncertain, sum.Faults, sum.Reverted, sum.Lost)
	return sum
}

func TestNoEditIsRevertedOrLost(t *testing.T) {
	sum := runAll(t, Options{})
	if sum.Reverted+sum.Lost > 0 {
		for _, line := range sum.Events {
			t.Log(line)
		}
		t.Fatal("an accepted edit was reverted or lost")
	}
	if sum.Edits < schedules || sum.Conflicts < schedules || sum.Faults < schedules {
		t.Fatal("the schedules have too few edits, conflicts or faults")
	}
}

// naiveReplica replaces each page by the one received last, whatever its revision.
type naiveReplica struct {
	*table.Replica
	service platform.KV
	now     func() time.Time
}

func (n *naiveReplica) Merge(pages []*peer.Page) int {
	latest := make(map[string]*peer.Page)
	for _, p := range append(n.PagesNewerThan(nil), pages...) {
		latest[p.Name] = p
	}
	n.Replica = table.NewReplica(table.ReplicaOptions{KV: n.service, Now: n.now})
	for _, p := range latest {
		n.Replica.Merge([]*peer.Page{p})
	}
	return len(pages)
}

// TestNaiveReplicaReverts shows that the schedules detect reverted edits: a page that was sent
// before an edit arrives at a daemon that has already applied the edit. A replica that does
// not compare revisions reverts it.
func TestNaiveReplicaReverts(t *testing.T) {
	sum := runAll(t, Options{NewReplica: func(service platform.KV, now func() time.Time) Replica {
		return &naiveReplica{Replica: table.NewReplica(table.ReplicaOptions{KV: service, Now: now}), service: service, now: now}
	}})
	if sum.Reverted == 0 {
		t.Fatal("the naive replica reverted no edit; the schedules do not detect the fault")
	}
}

// naiveOperator writes the whole row that it has read with one cell changed, whatever the
// current revision of the row.
type naiveOperator struct {
	editor *table.Editor
	seen   map[string]table.StoredRow
}

func (o *naiveOperator) Read(ctx context.Context, id string) error {
	row, err := o.editor.Get(ctx, table.SheetOrganisations, id)
	if err == nil {
		o.seen[id] = row
	}
	return err
}

func (o *naiveOperator) Set(ctx context.Context, id, column, value string) error {
	seen, ok := o.seen[id]
	if !ok {
		return errNotRead
	}
	var cells []table.CellValue
	for _, name := range table.Columns(table.SheetOrganisations)[1:] {
		cells = append(cells, table.CellValue{Column: name, Value: seen.Cell(name)})
		if name == column {
			cells[len(cells)-1].Value = value
		}
	}
	_, err := o.editor.Set(ctx, table.SetRequest{Sheet: table.SheetOrganisations, ID: id, Cells: cells})
	return err
}

// TestNaiveOperatorLosesEdits shows that the schedules detect lost edits: two operators read
// one row and edit different cells of it. If each writes the whole row, the second write
// reverts the first operator's cell.
func TestNaiveOperatorLosesEdits(t *testing.T) {
	sum := runAll(t, Options{NewOperator: func(service platform.KV, now func() time.Time, name string) Operator {
		editor := table.NewEditor(table.EditorOptions{KV: service, Operator: name, Now: now})
		return &naiveOperator{editor: editor, seen: make(map[string]table.StoredRow)}
	}})
	if sum.Reverted+sum.Lost == 0 {
		t.Fatal("the naive operator lost no edit; the schedules do not detect the fault")
	}
}
