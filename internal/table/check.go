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

// Check reports violated constraints between rows: references to rows that don't exist,
// columns that don't apply to a target's kind, and duplicate organisation keys or addresses.
func Check(rows []Row) error {
	all := make(sheetRows)
	for _, row := range rows {
		all.put(row)
	}
	return problemsToError(checkConstraints(all))
}

func checkConstraints(all sheetRows) []Problem {
	c := &constraintChecker{rows: all, services: make(map[string]bool)}
	for _, row := range sortedValues(all[SheetTargets]) {
		c.checkTarget(row)
	}
	for _, row := range sortedValues(all[SheetStores]) {
		c.checkAddress(row, row.Cell("address"))
	}
	for _, row := range sortedValues(all[SheetOrganisations]) {
		c.checkOrganisation(row)
	}
	return c.problems
}

type constraintChecker struct {
	rows      sheetRows
	services  map[string]bool
	addresses map[string]string
	keys      map[string]string
	problems  []Problem
}

func (c *constraintChecker) addProblem(row Row, column, reason, allowed string) {
	c.problems = append(c.problems, Problem{
		File: row.File, Line: row.Line, Sheet: row.Sheet, Row: row.ID,
		Column: column, Value: row.Cell(column), Reason: reason, Allowed: allowed,
	})
}

func (c *constraintChecker) checkTarget(row Row) {
	t, problems := targetSchema.decode(row.Cells)
	if len(problems) > 0 {
		return
	}
	c.checkAddress(row, t.Address)
	if t.Kind == KindService {
		c.services[t.Service] = true
		c.checkServiceTarget(row, t)
		return
	}
	c.checkEngineTarget(row, t)
}

func (c *constraintChecker) checkServiceTarget(row Row, t *Target) {
	if t.Service == "" {
		c.addProblem(row, "service", "a service requires a name", allowedName)
	}
	if t.Model != "" {
		c.addProblem(row, "model", "a service has no model", "empty")
	}
	if t.Version != "" {
		c.addProblem(row, "version", "a service has no weight version", "empty")
	}
}

func (c *constraintChecker) checkEngineTarget(row Row, t *Target) {
	if t.Service != "" {
		c.addProblem(row, "service", "an engine is not a service", "empty")
	}
	c.checkModel(row, "model", t.Model)
}

func (c *constraintChecker) checkModel(row Row, column string, id request.Model) {
	if _, ok := c.rows[SheetModels][string(id)]; !ok {
		c.addProblem(row, column, "no row "+string(id)+" in models", "an id of the models sheet")
	}
}

func (c *constraintChecker) checkOrganisation(row Row) {
	o, problems := organisationSchema.decode(row.Cells)
	if len(problems) > 0 {
		return
	}
	if c.keys == nil {
		c.keys = make(map[string]string)
	}
	if other, taken := c.keys[o.KeySHA256]; taken {
		c.addProblem(row, "key_sha256", "already the key of "+other, "a unique key")
	}
	c.keys[o.KeySHA256] = row.ID
	for _, id := range sortedModels(o.Models) {
		c.checkModel(row, "models", id)
	}
	for _, service := range o.Services {
		if !c.services[service] {
			c.addProblem(row, "services", "no target serves "+service, "a service of the targets sheet")
		}
	}
}

func (c *constraintChecker) checkAddress(row Row, address string) {
	if c.addresses == nil {
		c.addresses = make(map[string]string)
	}
	if other, taken := c.addresses[address]; taken {
		c.addProblem(row, "address", "already the address of "+other, "a unique address")
	}
	c.addresses[address] = row.ID
}
