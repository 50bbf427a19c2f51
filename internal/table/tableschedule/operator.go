package tableschedule

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

// errNotRead reports an edit of a row that the operator has not read.
var errNotRead = errors.New("tableschedule: operator has not read the row")

// EditorOperator edits rows with a table.Editor at the revisions that it has read.
type EditorOperator struct {
	editor *table.Editor
	seen   map[string]uint64
}

// NewEditorOperator returns an operator.
func NewEditorOperator(service platform.KV, now func() time.Time, name string) Operator {
	editor := table.NewEditor(table.EditorOptions{KV: service, Operator: name, Now: now})
	return &EditorOperator{editor: editor, seen: make(map[string]uint64)}
}

// Read implements Operator.
func (o *EditorOperator) Read(ctx context.Context, id string) error {
	row, err := o.editor.Get(ctx, table.SheetOrganisations, id)
	if err != nil {
		return err
	}
	o.seen[id] = row.Revision
	return nil
}

// Set implements Operator.
func (o *EditorOperator) Set(ctx context.Context, id, column, value string) error {
	seen, ok := o.seen[id]
	if !ok {
		return errNotRead
	}
	_, err := o.editor.Set(ctx, table.SetRequest{
		Sheet: table.SheetOrganisations, ID: id, SeenRevision: seen,
		Cells: []table.CellValue{{Column: column, Value: value}},
	})
	return err
}

func organisationID(i int) request.OrgID { return request.OrgID(rowID(i)) }
