package cachepool

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// The model of the price of isolation: organisations at the aimed size, whose prompts begin with one of some shared parts, and
// whose sessions return. A replica keeps what it has read. Sessions stay at their replica, which is drawn without regard to
// groups, so that shared parts are read by as many replicas as possible in each group.
const (
	modelReplicas     = 130
	modelSessions     = 60_000
	modelParts        = 200
	modelRequests     = 300_000 // before the change, and as many after it
	modelSharedTokens = 1000
	modelOwnTokens    = 3000
	modelPartSkew     = 1.2 // of the shared parts' popularity, as the exponent of a Zipf distribution
	modelOrgSkew      = 1.05
	modelPartsOfOrg   = 2
)

type modelSession struct {
	org     int
	part    int
	replica uint64
}

type model struct {
	orgs     []request.OrgID
	sessions []modelSession
	cached   map[uint64]bool
	random   *rand.Rand
	salt     func(org, part int) string
	read     int // tokens
	prompts  int // tokens
}

func newModel(seed uint64) *model {
	m := &model{orgs: names(aimedOrganisations), cached: map[uint64]bool{}, random: rand.New(rand.NewPCG(seed, 1))}
	parts := rand.NewZipf(m.random, modelPartSkew, 1, modelParts-1)
	orgs := rand.NewZipf(m.random, modelOrgSkew, 100, aimedOrganisations-1)
	ofOrg := map[int][]int{}
	for range modelSessions {
		org := int(orgs.Uint64())
		for len(ofOrg[org]) < modelPartsOfOrg {
			ofOrg[org] = append(ofOrg[org], int(parts.Uint64()))
		}
		m.sessions = append(m.sessions, modelSession{org: org, part: ofOrg[org][m.random.IntN(modelPartsOfOrg)], replica: m.random.Uint64N(modelReplicas)})
	}
	return m
}

// run sends requests of sessions drawn at random and returns the tokens that are read for them.
func (m *model) run(requests int) int {
	read := 0
	use := func(tokens int, s modelSession, salt, part string) {
		m.prompts += tokens
		key := xxhash.Sum64String(fmt.Sprint(s.replica, "/", salt, "/", part))
		if !m.cached[key] {
			m.cached[key] = true
			read += tokens
		}
	}
	for range requests {
		n := m.random.IntN(len(m.sessions))
		s := m.sessions[n]
		salt := m.salt(s.org, s.part)
		use(modelSharedTokens, s, salt, fmt.Sprint("part", s.part))
		use(modelOwnTokens, s, salt, fmt.Sprint("session", n))
	}
	m.read += read
	return read
}

// modelDesign names the salts of a design while some organisations are isolated.
type modelDesign func(m *model, isolated map[request.OrgID]struct{}) func(org, part int) string

// groupDesign divides organisations into groups, as this package does for a number of organisations.
func groupDesign(organisations int) modelDesign {
	return func(m *model, isolated map[request.OrgID]struct{}) func(org, part int) string {
		p := New(organisations, isolated, &Generations{})
		return func(org, _ int) string { return p.Salt(1, m.orgs[org]) }
	}
}

// partDesign has one pool for each shared part, and is told which parts an organisation used.
func partDesign(m *model, isolated map[request.OrgID]struct{}) func(org, part int) string {
	generations := map[int]int{}
	for n, org := range m.orgs {
		if _, out := isolated[org]; !out {
			continue
		}
		used := map[int]bool{}
		for _, s := range m.sessions {
			if s.org == n {
				used[s.part] = true
			}
		}
		for part := range used {
			generations[part]++
		}
	}
	return func(org, part int) string {
		if _, out := isolated[m.orgs[org]]; out {
			return Own(1, m.orgs[org])
		}
		return fmt.Sprint(part, "/", generations[part])
	}
}

// BenchmarkTokensReadAgain reports which share of the prompts' tokens is read from empty caches and after that, and what one
// change and a row of changes add to it.
func BenchmarkTokensReadAgain(b *testing.B) {
	designs := []struct {
		name   string
		design modelDesign
	}{
		{"one_pool", groupDesign(1)},
		{"8_groups", groupDesign(minGroup * groupStep)},
		{"64_groups_as_aimed", groupDesign(aimedOrganisations)},
		{"512_groups", groupDesign(minGroup * maxGroups)},
		{"pool_for_each_shared_part", partDesign},
	}
	for _, d := range designs {
		b.Run(d.name, func(b *testing.B) {
			for range b.N {
				reportModel(b, d.design)
			}
		})
	}
}

const (
	modelSeed = 1
	rowLength = 30 // changes
)

func reportModel(b *testing.B, design modelDesign) {
	run := func(changes int) (first, after, prompts int) {
		m := newModel(modelSeed)
		isolated := map[request.OrgID]struct{}{}
		m.salt = design(m, isolated)
		first = m.run(modelRequests)
		m.prompts = 0
		for n := range changes {
			isolated[m.orgs[m.sessions[n].org]] = struct{}{} // busy organisations are drawn more often
			m.salt = design(m, isolated)
			after += m.run(modelRequests / changes)
		}
		if changes == 0 {
			after = m.run(modelRequests)
		}
		return first, after, m.prompts
	}
	percent := func(tokens, of int) float64 { return 100 * float64(tokens) / float64(of) }
	first, unchanged, prompts := run(0)
	_, one, _ := run(1)
	_, row, _ := run(rowLength)
	b.ReportMetric(percent(first, prompts), "%read-from-empty")
	b.ReportMetric(percent(unchanged, prompts), "%read-unchanged")
	b.ReportMetric(percent(one-unchanged, prompts), "%read-again-1-change")
	b.ReportMetric(percent(row-unchanged, prompts), "%read-again-30-changes")
	b.ReportMetric(float64(one-unchanged), "tokens-1-change")
	b.ReportMetric(float64(row-unchanged), "tokens-30-changes")
}
