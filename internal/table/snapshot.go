package table

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Snapshot is the table at one moment. It never changes; readers share it without locks
// and must not change the rows.
type Snapshot struct {
	revision uint64
	hash     uint64
	pages    map[string]*livePage
	byKey    map[string]*Organisation
	targets  []*Target
	engines  map[request.Model][]*Target
	services map[string][]*Target
	stores   []*Store
}

// livePage is a page that the replica holds, with its rows decoded.
type livePage struct {
	name          string
	revision      uint64
	value         []byte
	organisations map[request.OrgID]*Organisation
	models        map[request.Model]*ModelRow
	targets       map[request.TargetID]*Target
	stores        map[request.StoreID]*Store
}

// decodeLive decodes a page's rows. A row that can't be parsed makes the whole page
// ErrBadPage, so that an earlier copy stays in force rather than a page with holes.
func decodeLive(name string, revision uint64, value []byte) (*livePage, error) {
	p, err := decodePage(name, value)
	if err != nil {
		return nil, err
	}
	live := &livePage{name: name, revision: revision, value: value}
	sheet, _ := sheetOfPage(name)
	switch sheet {
	case SheetOrganisations:
		live.organisations, err = decodeRows(p, organisationSchema, func(o *Organisation) request.OrgID { return o.ID })
	case SheetModels:
		live.models, err = decodeRows(p, modelSchema, func(m *ModelRow) request.Model { return m.ID })
	case SheetTargets:
		live.targets, err = decodeRows(p, targetSchema, func(t *Target) request.TargetID { return t.ID })
	case SheetStores:
		live.stores, err = decodeRows(p, storeSchema, func(s *Store) request.StoreID { return s.ID })
	}
	return live, err
}

func decodeRows[K comparable, T any](p *page, s schema[T], key func(*T) K) (map[K]*T, error) {
	rows := make(map[K]*T, len(p.Records))
	for _, r := range p.Records {
		if r.Removed {
			continue
		}
		row, problems := s.decode(r.Cells)
		if len(problems) > 0 {
			return nil, badRow(p.Name, r.ID, problems[0])
		}
		rows[key(row)] = row
	}
	return rows, nil
}

// newSnapshot indexes pages. Two organisations with one key can only come from two
// operators at the same moment, since an edit is checked against the table that its
// operator read. Such a key identifies nobody, so that neither organisation can act as
// the other.
func newSnapshot(pages map[string]*livePage) *Snapshot {
	s := &Snapshot{
		pages:    pages,
		byKey:    make(map[string]*Organisation),
		engines:  make(map[request.Model][]*Target),
		services: make(map[string][]*Target),
	}
	ambiguous := make(map[string]bool)
	for _, p := range pages {
		s.revision = max(s.revision, p.revision)
		for _, o := range p.organisations {
			_, taken := s.byKey[o.KeySHA256]
			if taken {
				ambiguous[o.KeySHA256] = true
			}
			s.byKey[o.KeySHA256] = o
		}
		s.targets = slices.AppendSeq(s.targets, maps.Values(p.targets))
		s.stores = slices.AppendSeq(s.stores, maps.Values(p.stores))
	}
	for key := range ambiguous {
		delete(s.byKey, key)
	}
	s.hash = hashPages(pages)
	s.indexTargets()
	slices.SortFunc(s.stores, func(a, b *Store) int { return compareStrings(a.ID, b.ID) })
	return s
}

func (s *Snapshot) indexTargets() {
	slices.SortFunc(s.targets, func(a, b *Target) int { return compareStrings(a.ID, b.ID) })
	for _, t := range s.targets {
		if t.Kind == KindEngine {
			s.engines[t.Model] = append(s.engines[t.Model], t)
			continue
		}
		s.services[t.Service] = append(s.services[t.Service], t)
	}
}

// hashPages covers the names and revisions of all pages.
func hashPages(pages map[string]*livePage) uint64 {
	digest := xxhash.New()
	var revision [8]byte
	for _, p := range sortedValues(pages) {
		binary.LittleEndian.PutUint64(revision[:], p.revision)
		_, _ = digest.WriteString(p.name) // never fails
		_, _ = digest.Write(revision[:])
	}
	return digest.Sum64()
}

// Revision returns the highest revision of a page; 0 is a table never written.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Hash covers the revisions of all pages; equal hashes mean equal tables.
func (s *Snapshot) Hash() uint64 { return s.hash }

// Organisation returns an organisation's row.
func (s *Snapshot) Organisation(id request.OrgID) (*Organisation, bool) {
	return pageRow(s, SheetOrganisations, id, func(p *livePage) map[request.OrgID]*Organisation { return p.organisations })
}

// OrganisationByKey returns the organisation whose bearer key has a SHA-256 digest,
// given in lower-case hexadecimal.
func (s *Snapshot) OrganisationByKey(digest string) (*Organisation, bool) {
	o, ok := s.byKey[digest]
	return o, ok
}

// Model returns a model's row.
func (s *Snapshot) Model(id request.Model) (*ModelRow, bool) {
	return pageRow(s, SheetModels, id, func(p *livePage) map[request.Model]*ModelRow { return p.models })
}

// Target returns a target's row.
func (s *Snapshot) Target(id request.TargetID) (*Target, bool) {
	return pageRow(s, SheetTargets, id, func(p *livePage) map[request.TargetID]*Target { return p.targets })
}

func pageRow[K ~string, T any](s *Snapshot, sheet Sheet, id K, rows func(*livePage) map[K]*T) (*T, bool) {
	p, ok := s.pages[PageName(sheet, string(id))]
	if !ok {
		return nil, false
	}
	row, ok := rows(p)[id]
	return row, ok
}

// Targets returns all targets, ordered by id.
func (s *Snapshot) Targets() []*Target { return s.targets }

// EnginesFor returns the engines of a model, ordered by id.
func (s *Snapshot) EnginesFor(model request.Model) []*Target { return s.engines[model] }

// ServiceTargets returns the targets of a plain service, ordered by id.
func (s *Snapshot) ServiceTargets(name string) []*Target { return s.services[name] }

// Stores returns all store VMs, ordered by id.
func (s *Snapshot) Stores() []*Store { return s.stores }

// Organisations returns all organisations, ordered by id.
func (s *Snapshot) Organisations() []*Organisation {
	var all []*Organisation
	for _, p := range s.pages {
		all = slices.AppendSeq(all, maps.Values(p.organisations))
	}
	slices.SortFunc(all, func(a, b *Organisation) int { return compareStrings(a.ID, b.ID) })
	return all
}

// Models returns all models, ordered by id.
func (s *Snapshot) Models() []*ModelRow {
	var all []*ModelRow
	for _, p := range s.pages {
		all = slices.AppendSeq(all, maps.Values(p.models))
	}
	slices.SortFunc(all, func(a, b *ModelRow) int { return compareStrings(a.ID, b.ID) })
	return all
}

// VersionFor returns the weight version wanted for an organisation's use of a model: the
// organisation's own, else the model's default; false if the organisation may not use
// the model or the model has no row.
func (s *Snapshot) VersionFor(org request.OrgID, model request.Model) (request.Version, bool) {
	o, ok := s.Organisation(org)
	if !ok {
		return "", false
	}
	wanted, allowed := o.Models[model]
	if !allowed {
		return "", false
	}
	if wanted != "" {
		return wanted, true
	}
	row, ok := s.Model(model)
	if !ok {
		return "", false
	}
	return row.DefaultVersion, true
}

// TargetVersion returns the weight version wanted on an engine: its own, else the
// model's default; empty for a plain service or a model without a row.
func (s *Snapshot) TargetVersion(t *Target) request.Version {
	if t.Version != "" {
		return t.Version
	}
	row, ok := s.Model(t.Model)
	if !ok {
		return ""
	}
	return row.DefaultVersion
}
