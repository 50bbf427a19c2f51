package table

import "github.com/bluebellscale/bluebellscale/internal/request"

// schema describes a sheet whose rows have type T; the first column is the id.
type schema[T any] []column[T]

// cellError describes one cell that can't be parsed.
type cellError struct {
	column  string
	value   string
	reason  string
	allowed string
}

func (s schema[T]) names() []string {
	names := make([]string, len(s))
	for i, c := range s {
		names[i] = c.name
	}
	return names
}

// decode parses cells in the schema's order into a row.
func (s schema[T]) decode(cells []string) (*T, []cellError) {
	row := new(T)
	var problems []cellError
	for i, c := range s {
		if err := c.parse(row, cells[i]); err != nil {
			problems = append(problems, cellError{column: c.name, value: cells[i], reason: err.Error(), allowed: c.allowed})
		}
	}
	return row, problems
}

// canonical returns the cells in the form in which they are stored and exported.
func (s schema[T]) canonical(cells []string) ([]string, []cellError) {
	row, problems := s.decode(cells)
	if len(problems) > 0 {
		return nil, problems
	}
	out := make([]string, len(s))
	for i, c := range s {
		out[i] = c.format(row)
	}
	return out, nil
}

// sheetSchema is a schema without its row type.
type sheetSchema interface {
	names() []string
	canonical(cells []string) ([]string, []cellError)
}

var organisationSchema = schema[Organisation]{
	nameColumn(idColumn, false, func(o *Organisation) *request.OrgID { return &o.ID }),
	keyDigestColumn("key_sha256"),
	intColumn("weight", 1, maxWeight, func(o *Organisation) *int { return &o.Weight }),
	rateColumn("requests_per_second", func(o *Organisation) *float64 { return &o.RequestsPerSecond }),
	intColumn("burst", 1, maxCount, func(o *Organisation) *int { return &o.Burst }),
	intColumn("concurrency", 1, maxCount, func(o *Organisation) *int { return &o.Concurrency }),
	rateColumn("tokens_per_second", func(o *Organisation) *float64 { return &o.TokensPerSecond }),
	modelsColumn("models"),
	servicesColumn("services"),
}

var modelSchema = schema[ModelRow]{
	nameColumn(idColumn, false, func(m *ModelRow) *request.Model { return &m.ID }),
	nameColumn("default_version", false, func(m *ModelRow) *request.Version { return &m.DefaultVersion }),
	intColumn("bytes_per_token", 1, maxBytesPerToken, func(m *ModelRow) *int64 { return &m.BytesPerToken }),
	intColumn("load_cap", 1, maxLoadCap, func(m *ModelRow) *int { return &m.LoadCap }),
}

var targetSchema = schema[Target]{
	nameColumn(idColumn, false, func(t *Target) *request.TargetID { return &t.ID }),
	kindColumn("kind"),
	addressColumn("address", func(t *Target) *string { return &t.Address }),
	nameColumn("failure_domain", false, func(t *Target) *string { return &t.FailureDomain }),
	nameColumn("model", true, func(t *Target) *request.Model { return &t.Model }),
	nameColumn("version", true, func(t *Target) *request.Version { return &t.Version }),
	nameColumn("service", true, func(t *Target) *string { return &t.Service }),
	boolColumn("checks_fencing", func(t *Target) *bool { return &t.ChecksFencing }),
	boolColumn("repeatable", func(t *Target) *bool { return &t.Repeatable }),
	intColumn("capacity", 1, maxCount, func(t *Target) *int { return &t.Capacity }),
	nameColumn(columnAdapter, true, func(t *Target) *string { return &t.Adapter }),
	nameColumn(columnRole, true, func(t *Target) *string { return &t.Role }),
}

// Columns that a file may omit; their cells are then empty.
const (
	columnAdapter = "adapter"
	columnRole    = "role"
)

func isOptionalColumn(column string) bool { return column == columnAdapter || column == columnRole }

var storeSchema = schema[Store]{
	nameColumn(idColumn, false, func(s *Store) *request.StoreID { return &s.ID }),
	addressColumn("address", func(s *Store) *string { return &s.Address }),
	nameColumn("failure_domain", false, func(s *Store) *string { return &s.FailureDomain }),
	intColumn("link_bytes_per_sec", 1, maxLinkBytes, func(s *Store) *int64 { return &s.LinkBytesPerSec }),
}

func schemaOf(s Sheet) sheetSchema {
	switch s {
	case SheetOrganisations:
		return organisationSchema
	case SheetModels:
		return modelSchema
	case SheetTargets:
		return targetSchema
	default:
		return storeSchema
	}
}

// Columns returns a sheet's column names in export order.
func Columns(s Sheet) []string { return schemaOf(s).names() }
