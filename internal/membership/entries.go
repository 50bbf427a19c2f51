package membership

import (
	"slices"
	"strings"
)

// entries holds the other members, indexed by id and sorted by id.
type entries struct {
	byID   map[string]*entry
	sorted []*entry
}

func newEntries() entries { return entries{byID: make(map[string]*entry)} }

func (e *entries) get(id string) (*entry, bool) {
	found, ok := e.byID[id]
	return found, ok
}

func (e *entries) len() int { return len(e.sorted) }

func (e *entries) add(added *entry) {
	i, _ := e.find(added.record.Id)
	e.sorted = slices.Insert(e.sorted, i, added)
	e.byID[added.record.Id] = added
}

func (e *entries) remove(id string) {
	if i, ok := e.find(id); ok {
		e.sorted = slices.Delete(e.sorted, i, i+1)
		delete(e.byID, id)
	}
}

func (e *entries) find(id string) (int, bool) {
	return slices.BinarySearchFunc(e.sorted, id, func(e *entry, id string) int { return strings.Compare(e.record.Id, id) })
}
