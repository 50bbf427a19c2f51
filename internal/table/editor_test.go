package table

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/platform"
)

func digestOf(c byte) string { return strings.Repeat(string(c), 2*keyDigestBytes) }

// sampleFiles returns a small table that passes all checks.
func sampleFiles() []File {
	return []File{
		{Name: "models.csv", Data: []byte("id,default_version,bytes_per_token,load_cap\nverdict,v3,131072,3\nrecipes,v1,131072,3\n")},
		{Name: "stores.csv", Data: []byte("id,address,failure_domain,link_bytes_per_sec\nkv1,10.0.0.9:7000,conche,3000000000\n")},
		{Name: "targets.csv", Data: []byte("id,kind,address,failure_domain,model,version,service,checks_fencing,repeatable,capacity\n" +
			"e1,engine,10.0.0.1:8000,conche,verdict,,,true,,16\n" +
			"e2,engine,10.0.0.2:8000,temper,verdict,v4,,,,16\n" +
			"s1,service,10.0.0.3:8000,pack,,,batch-cards,,false,8\n")},
		{Name: "organisations.csv", Data: []byte("id,key_sha256,weight,requests_per_second,burst,concurrency,tokens_per_second,models,services\n" +
			"acme," + digestOf('a') + ",10,5,10,8,20000,verdict=v3;recipes,batch-cards\n" +
			"basil," + digestOf('b') + ",1,0.5,2,2,1000,verdict,\n")},
	}
}

func newTestEditor(kv platform.KV, who string) *Editor {
	return NewEditor(EditorOptions{KV: kv, Operator: who})
}

// applySample writes sampleFiles to kv.
func applySample(t *testing.T, kv platform.KV) *Editor {
	t.Helper()
	editor := newTestEditor(kv, "setup")
	plan, err := editor.Plan(t.Context(), sampleFiles())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := editor.Apply(t.Context(), plan); err != nil {
		t.Fatal(err)
	}
	return editor
}

func cellOf(t *testing.T, e *Editor, sheet Sheet, id, column string) string {
	t.Helper()
	row, err := e.Get(t.Context(), sheet, id)
	if err != nil {
		t.Fatal(err)
	}
	return row.Cell(column)
}

func TestPlanApplyExportRoundTrip(t *testing.T) {
	kv := newTestKV()
	editor := applySample(t, kv)
	files, err := editor.Export(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	plan, err := editor.Plan(t.Context(), files)
	if err != nil {
		t.Fatal(err)
	}
	if len(plan.Changes) != 0 {
		t.Fatalf("exported files differ from the table: %v", plan.Changes)
	}
	replica := NewReplica(ReplicaOptions{KV: kv})
	loop := &runLoop{replica: replica}
	if err := loop.read(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	s := replica.Current()
	if o, ok := s.OrganisationByKey(digestOf('a')); !ok || o.ID != "acme" || o.Weight != 10 {
		t.Fatalf("organisation by key: %+v", o)
	}
	if v, ok := s.VersionFor("basil", "verdict"); !ok || v != "v3" {
		t.Fatalf("basil's version of verdict: %q", v)
	}
	if _, ok := s.VersionFor("basil", "recipes"); ok {
		t.Fatal("basil may use recipes")
	}
	if n := len(s.EnginesFor("verdict")); n != 2 {
		t.Fatalf("%d engines for verdict", n)
	}
	if e, _ := s.Target("e2"); s.TargetVersion(e) != "v4" {
		t.Fatalf("version of e2: %q", s.TargetVersion(e))
	}
	if len(s.ServiceTargets("batch-cards")) != 1 || len(s.Stores()) != 1 {
		t.Fatal("service or store missing")
	}
}

// TestConcurrentEditsOfOneRow: two operators read the same row. One raises its weight and the
// edit is accepted; then the other edits the row from its old copy. With last-write-wins the
// weight would silently revert. Instead, the second operator gets a conflict with both values.
func TestConcurrentEditsOfOneRow(t *testing.T) {
	t.Run("naive last write wins loses the first edit", func(t *testing.T) {
		kv := newTestKV()
		editor := applySample(t, kv)
		seen, err := editor.Get(t.Context(), SheetOrganisations, "acme")
		if err != nil {
			t.Fatal(err)
		}
		naiveWrite(t, editor, seen.Row, "weight", "40")
		naiveWrite(t, editor, seen.Row, "concurrency", "9")
		if got := cellOf(t, editor, SheetOrganisations, "acme", "weight"); got != "10" {
			t.Fatalf("the naive table kept the first edit (%s); the test no longer shows the fault", got)
		}
	})
	t.Run("second operator gets both values", func(t *testing.T) {
		kv := newTestKV()
		applySample(t, kv)
		ana, bo := newTestEditor(kv, "ana"), newTestEditor(kv, "bo")
		seen, err := bo.Get(t.Context(), SheetOrganisations, "acme")
		if err != nil {
			t.Fatal(err)
		}
		set := func(e *Editor, column, value string) error {
			_, err := e.Set(t.Context(), SetRequest{
				Sheet: SheetOrganisations, ID: "acme", SeenRevision: seen.Revision, Cells: []CellValue{{column, value}},
			})
			return err
		}
		if err := set(ana, "weight", "40"); err != nil {
			t.Fatal(err)
		}
		err = set(bo, "weight", "20")
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			t.Fatalf("want a conflict, got %v", err)
		}
		want := CellConflict{Column: "weight", Seen: "10", Mine: "20", Theirs: "40"}
		if len(conflict.Cells) != 1 || conflict.Cells[0] != want || conflict.Operator != "ana" {
			t.Fatalf("conflict %+v", conflict)
		}
		if got := cellOf(t, ana, SheetOrganisations, "acme", "weight"); got != "40" {
			t.Fatalf("weight %s, want 40", got)
		}
	})
}

// naiveWrite writes the row that the operator has read with one cell changed, whatever the
// current row is.
func naiveWrite(t *testing.T, e *Editor, seen Row, column, value string) {
	t.Helper()
	stored, err := e.loadPage(t.Context(), PageName(seen.Sheet, seen.ID), seen.Sheet)
	if err != nil {
		t.Fatal(err)
	}
	cells, err := setCells(seen, []CellValue{{column, value}})
	if err != nil {
		t.Fatal(err)
	}
	stored.page.get(seen.ID).Cells = cells
	data, err := stored.page.encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.kv.CompareAndSwap(t.Context(), KeyPrefix+stored.page.Name, stored.revision, data, ""); err != nil {
		t.Fatal(err)
	}
}

// TestApplyWithConcurrentPageWrite: another operator writes the page between an editor's read
// and its compare-and-swap. Edits of two rows of one page must both be written; the second
// edit of the same row must be rejected with a conflict.
func TestApplyWithConcurrentPageWrite(t *testing.T) {
	for _, sameRow := range []bool{false, true} {
		t.Run(fmt.Sprintf("same row %v", sameRow), func(t *testing.T) {
			kv := newTestKV()
			editor := applySample(t, kv)
			other := "acme"
			if !sameRow {
				other = addRowOnSamePage(t, editor, "acme")
			}
			kv.beforeWrite = func() {
				mustSet(t, newTestEditor(kv, "ana"), other, "weight", "40")
			}
			_, err := newTestEditor(kv, "bo").Set(t.Context(), SetRequest{
				Sheet: SheetOrganisations, ID: "acme", Cells: []CellValue{{"weight", "20"}},
			})
			var conflict *ConflictError
			if got := errors.As(err, &conflict); got != sameRow {
				t.Fatalf("conflict %v, want %v: %v", got, sameRow, err)
			}
			if got := cellOf(t, editor, SheetOrganisations, other, "weight"); got != "40" {
				t.Fatalf("ana's accepted weight changed to %s", got)
			}
		})
	}
}

func mustSet(t *testing.T, e *Editor, id, column, value string) {
	t.Helper()
	_, err := e.Set(t.Context(), SetRequest{Sheet: SheetOrganisations, ID: id, Cells: []CellValue{{column, value}}})
	if err != nil {
		t.Fatal(err)
	}
}

// addRowOnSamePage adds an organisation on the page of id and returns its id.
func addRowOnSamePage(t *testing.T, e *Editor, id string) string {
	t.Helper()
	for i := 0; ; i++ {
		other := fmt.Sprintf("neighbour%d", i)
		if PageName(SheetOrganisations, other) != PageName(SheetOrganisations, id) {
			continue
		}
		row, err := e.Get(t.Context(), SheetOrganisations, id)
		if err != nil {
			t.Fatal(err)
		}
		cells := append([]string{other, digestOf('c')}, row.Cells[2:]...)
		change := Change{Kind: EditAdd, Sheet: SheetOrganisations, ID: other, After: cells}
		if _, err := e.Apply(t.Context(), &Plan{Changes: []Change{change}}); err != nil {
			t.Fatal(err)
		}
		return other
	}
}

// TestSetWithLostWriteResponse: the key-value service writes the page but its response is lost.
// The editor must report the edit as written exactly once, and must not take its own write
// for a conflicting edit of another operator.
func TestSetWithLostWriteResponse(t *testing.T) {
	kv := newTestKV()
	editor := applySample(t, kv)
	kv.DropWriteResponses(1)
	result, err := editor.Set(t.Context(), SetRequest{Sheet: SheetOrganisations, ID: "acme", Cells: []CellValue{{"weight", "11"}}})
	if err != nil || result.Written != 1 {
		t.Fatalf("result %+v, error %v", result, err)
	}
	history, err := editor.History(t.Context(), SheetOrganisations, "acme")
	if err != nil {
		t.Fatal(err)
	}
	if n := len(history); n != 2 || history[1].Cells[0] != (CellChange{"weight", "10", "11"}) {
		t.Fatalf("history %+v", history)
	}
}

// TestPageSizes checks that 35,000 organisations fit in pages below MaxPageBytes, and that a
// full page drops histories but no rows.
func TestPageSizes(t *testing.T) {
	const organisations = 35000
	pages := make(map[string]*page)
	row := sampleOrganisation()
	for i := range organisations {
		id := fmt.Sprintf("organisation-%05d", i)
		name := PageName(SheetOrganisations, id)
		if pages[name] == nil {
			pages[name] = newPage(name, SheetOrganisations)
		}
		cells := append([]string{id}, row[1:]...)
		change := Change{Kind: EditAdd, Sheet: SheetOrganisations, ID: id, After: cells}
		for range historyLength + 1 {
			pages[name].edit(change, editStamp{id: "edit", operator: "operator"})
			change = Change{Kind: EditChange, Sheet: SheetOrganisations, ID: id, Before: cells, After: cells}
		}
	}
	largest, rows := 0, 0
	for _, p := range pages {
		value, err := p.encode()
		if err != nil {
			t.Fatal(err)
		}
		largest = max(largest, len(value))
		rows += len(p.Records)
	}
	t.Logf("%d pages, largest %d bytes", len(pages), largest)
	if rows != organisations || largest > MaxPageBytes {
		t.Fatalf("%d rows, largest page %d", rows, largest)
	}
}

func sampleOrganisation() []string {
	_, rows, err := ParseFile(sampleFiles()[3])
	if err != nil {
		panic(err)
	}
	return rows[0].Cells
}
