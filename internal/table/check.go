package table

import "github.com/bluebellscale/bluebellscale/internal/request"

// sheetRows holds the rows of each sheet by id.
type sheetRows map[Sheet]map[string]Row

func (s sheetRows) put(row Row) {
	if s[row.Sheet] == nil {
		s[row.Sheet] = make(map[string]Row)
	}
	s[row.Sheet][row.ID] = row
}

// Check reports what is wrong between rows: names of rows that don't exist, columns that
// don't fit the kind of a target, one key for two organisations, one address twice.
func Check(rows []Row) error {
	all := make(sheetRows)
	for _, row := range rows {
		all.put(row)
	}
	return checkError(checkAcross(all))
}

func checkAcross(all sheetRows) []Problem {
	c := &crossCheck{all: all, services: make(map[string]bool)}
	for _, row := range sortedValues(all[SheetTargets]) {
		c.target(row)
	}
	for _, row := range sortedValues(all[SheetStores]) {
		c.address(row, row.Cell("address"))
	}
	for _, row := range sortedValues(all[SheetOrganisations]) {
		c.organisation(row)
	}
	return c.problems
}

type crossCheck struct {
	all       sheetRows
	services  map[string]bool
	addresses map[string]string
	keys      map[string]string
	problems  []Problem
}

func (c *crossCheck) add(row Row, column, reason, allowed string) {
	c.problems = append(c.problems, Problem{
		File: row.File, Line: row.Line, Sheet: row.Sheet, Row: row.ID,
		Column: column, Value: row.Cell(column), Reason: reason, Allowed: allowed,
	})
}

func (c *crossCheck) target(row Row) {
	t, problems := targetSchema.decode(row.Cells)
	if len(problems) > 0 {
		return
	}
	c.address(row, t.Address)
	if t.Kind == KindService {
		c.services[t.Service] = true
		c.serviceTarget(row, t)
		return
	}
	c.engineTarget(row, t)
}

func (c *crossCheck) serviceTarget(row Row, t *Target) {
	if t.Service == "" {
		c.add(row, "service", "a service needs a name", allowedName)
	}
	if t.Model != "" {
		c.add(row, "model", "a service has no model", "empty")
	}
	if t.Version != "" {
		c.add(row, "version", "a service has no weight version", "empty")
	}
}

func (c *crossCheck) engineTarget(row Row, t *Target) {
	if t.Service != "" {
		c.add(row, "service", "an engine is not a service", "empty")
	}
	c.model(row, "model", t.Model)
}

func (c *crossCheck) model(row Row, column string, id request.Model) {
	if _, ok := c.all[SheetModels][string(id)]; !ok {
		c.add(row, column, "no row "+string(id)+" in models", "an id of the models sheet")
	}
}

func (c *crossCheck) organisation(row Row) {
	o, problems := organisationSchema.decode(row.Cells)
	if len(problems) > 0 {
		return
	}
	if c.keys == nil {
		c.keys = make(map[string]string)
	}
	if other, taken := c.keys[o.KeySHA256]; taken {
		c.add(row, "key_sha256", "also the key of "+other, "a key of its own")
	}
	c.keys[o.KeySHA256] = row.ID
	for _, id := range sortedModels(o.Models) {
		c.model(row, "models", id)
	}
	for _, service := range o.Services {
		if !c.services[service] {
			c.add(row, "services", "no target serves "+service, "a service of the targets sheet")
		}
	}
}

func (c *crossCheck) address(row Row, address string) {
	if c.addresses == nil {
		c.addresses = make(map[string]string)
	}
	if other, taken := c.addresses[address]; taken {
		c.add(row, "address", "also the address of "+other, "an address of its own")
	}
	c.addresses[address] = row.ID
}
