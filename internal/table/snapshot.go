package table

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Snapshot is an immutable version of the table. Readers share it without locks and must not
// modify the rows.
type Snapshot struct {
	revision uint64
	hash     uint64
	pages    map[string]*decodedPage
	byKey    map[string]*Organisation
	targets  []*Target
	engines  map[request.Model][]*Target
	services map[string][]*Target
	stores   []*Store
}

// decodedPage is a page of a replica with its decoded rows.
type decodedPage struct {
	name          string
	revision      uint64
	value         []byte
	organisations map[request.OrgID]*Organisation
	models        map[request.Model]*ModelRow
	targets       map[request.TargetID]*Target
	stores        map[request.StoreID]*Store
}

// decodePageRows decodes a page's rows. It returns ErrBadPage if any row can't be parsed, so
// that the replica keeps the earlier page instead of one with missing rows.
func decodePageRows(name string, revision uint64, value []byte) (*decodedPage, error) {
	p, err := decodePage(name, value)
	if err != nil {
		return nil, err
	}
	decoded := &decodedPage{name: name, revision: revision, value: value}
	sheet, _ := sheetOfPage(name)
	switch sheet {
	case SheetOrganisations:
		decoded.organisations, err = decodeRecords(p, organisationSchema, func(o *Organisation) request.OrgID { return o.ID })
	case SheetModels:
		decoded.models, err = decodeRecords(p, modelSchema, func(m *ModelRow) request.Model { return m.ID })
	case SheetTargets:
		decoded.targets, err = decodeRecords(p, targetSchema, func(t *Target) request.TargetID { return t.ID })
	case SheetStores:
		decoded.stores, err = decodeRecords(p, storeSchema, func(s *Store) request.StoreID { return s.ID })
	}
	return decoded, err
}

func decodeRecords[K comparable, T any](p *page, s schema[T], key func(*T) K) (map[K]*T, error) {
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

// newSnapshot indexes pages. Two organisations can have the same key only after concurrent
// edits of two operators, since an edit is checked against the table that its operator read.
// newSnapshot drops such a key from the index, so that neither organisation can act as the
// other.
func newSnapshot(pages map[string]*decodedPage) *Snapshot {
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

// hashPages returns a hash over the names and revisions of all pages.
func hashPages(pages map[string]*decodedPage) uint64 {
	digest := xxhash.New()
	var revision [8]byte
	for _, p := range sortedValues(pages) {
		binary.LittleEndian.PutUint64(revision[:], p.revision)
		_, _ = digest.WriteString(p.name) // never returns an error
		_, _ = digest.Write(revision[:])
	}
	return digest.Sum64()
}

// Revision returns the highest page revision; 0 if the table was never written.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Hash returns a hash over the revisions of all pages; equal hashes mean equal tables.
func (s *Snapshot) Hash() uint64 { return s.hash }

// Organisation returns an organisation's row.
func (s *Snapshot) Organisation(id request.OrgID) (*Organisation, bool) {
	return pageRow(s, SheetOrganisations, id, func(p *decodedPage) map[request.OrgID]*Organisation { return p.organisations })
}

// OrganisationByKey returns the organisation whose bearer key has the given SHA-256 digest,
// in lower-case hexadecimal.
func (s *Snapshot) OrganisationByKey(digest string) (*Organisation, bool) {
	o, ok := s.byKey[digest]
	return o, ok
}

// Model returns a model's row.
func (s *Snapshot) Model(id request.Model) (*ModelRow, bool) {
	return pageRow(s, SheetModels, id, func(p *decodedPage) map[request.Model]*ModelRow { return p.models })
}

// Target returns a target's row.
func (s *Snapshot) Target(id request.TargetID) (*Target, bool) {
	return pageRow(s, SheetTargets, id, func(p *decodedPage) map[request.TargetID]*Target { return p.targets })
}

func pageRow[K ~string, T any](s *Snapshot, sheet Sheet, id K, rows func(*decodedPage) map[K]*T) (*T, bool) {
	p, ok := s.pages[PageName(sheet, string(id))]
	if !ok {
		return nil, false
	}
	row, ok := rows(p)[id]
	return row, ok
}

// Targets returns all targets, ordered by id.
func (s *Snapshot) Targets() []*Target { return s.targets }

// SampleTargets returns up to n targets other than one, drawn by intN, which returns a random number below its argument.
func (s *Snapshot) SampleTargets(except request.TargetID, n int, intN func(int) int) []*Target {
	others := slices.DeleteFunc(slices.Clone(s.targets), func(t *Target) bool { return t.ID == except })
	n = min(n, len(others))
	for i := range n {
		k := i + intN(len(others)-i)
		others[i], others[k] = others[k], others[i]
	}
	return others[:n]
}

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

// VersionFor returns the weight version that an organisation's requests for a model use: the
// organisation's own version or else the model's default. It returns false if the
// organisation may not use the model or the model has no row.
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

// TargetVersion returns the weight version that an engine should serve: its own version or
// else the model's default. It is empty for a plain service and for a model without a row.
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
