// Package cachepool names the pools in which organisations share KV cache.
//
// The name of a pool contains a digest of the organisations of its group that are kept apart, and none of these uses the pool.
// A pool therefore never holds cache of an organisation that its name excludes, whoever derived the name and in whatever
// order sets of organisations follow each other: a set that returns finds a pool that was closed to its members all along.
// Generations in the name change when an organisation may share again, so that its group does not return to a pool that
// the organisation may have used through a daemon that learned late of its isolation.
//
// The package is pure: names depend on the number of organisations, the set and the generations alone.
package cachepool

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	// minGroup is the least average number of organisations that share a pool. A change of the set leaves the cache of one
	// group, and organisations of different groups compute shared parts of prompts once each.
	minGroup = 256
	// groupStep is the factor between the possible numbers of groups. A large one makes changes of the number rare.
	groupStep = 8
	maxGroups = 512
	// digestBytes is the length of a digest in a name.
	digestBytes = 16
	// Sections is the number of parts into which organisations are divided by a hash, and each of which has a generation.
	// Each group consists of whole sections, or is a part of one.
	Sections = 64
)

// Section returns the section of an organisation.
func Section(org request.OrgID) int { return int(hash(org) % Sections) }

// Generations are the generations of the sections.
type Generations [Sections]uint64

// Pools are the pools of one state of the fleet. It is immutable.
type Pools struct {
	groups  uint64
	apart   map[request.OrgID]struct{}
	digests map[uint64]string // of groups with organisations that are kept apart, or of a later generation
}

// New returns the pools for a number of organisations and the set of those that are kept apart.
func New(organisations int, apart map[request.OrgID]struct{}, generations *Generations) *Pools {
	return newPools(organisations, apart, generations, "")
}

// NewProvisional returns the pools of a daemon that knows from a desired state who is kept apart, and not who was before. Only daemons that have
// applied that desired state, whose name is unique and not empty, and that do not know either use them.
func NewProvisional(organisations int, apart map[request.OrgID]struct{}, desired string) *Pools {
	return newPools(organisations, apart, &Generations{}, desired)
}

func newPools(organisations int, apart map[request.OrgID]struct{}, generations *Generations, desired string) *Pools {
	p := &Pools{groups: groupsFor(organisations), apart: make(map[request.OrgID]struct{}, len(apart)), digests: map[uint64]string{}}
	named := map[uint64]*identity{}
	of := func(group uint64) *identity {
		if named[group] == nil {
			named[group] = &identity{Generations: map[int]uint64{}}
		}
		return named[group]
	}
	for org := range apart {
		p.apart[org] = struct{}{}
		i := of(p.groupOf(org))
		i.Without = append(i.Without, string(org))
	}
	for section, generation := range generations {
		if generation == 0 {
			continue
		}
		for group := uint64(section) % p.groups; group < p.groups; group += Sections {
			of(group).Generations[section] = generation
		}
	}
	if desired != "" {
		for group := range p.groups {
			of(group).Desired = desired
		}
	}
	for group, i := range named {
		p.digests[group] = i.digest()
	}
	return p
}

// identity is what tells a pool from others of its group.
type identity struct {
	Without     []string       // the organisations that do not use it
	Generations map[int]uint64 // of its sections, if not zero
	Desired     string         `json:",omitempty"` // the desired state that a provisional pool is of
}

// digest returns a digest that differs for any other identity.
func (i *identity) digest() string {
	slices.Sort(i.Without)
	raw, err := json.Marshal(i) // delimits the names, and sorts the keys of maps
	if err != nil {
		panic(fmt.Sprint("cachepool: encode an identity: ", err)) // strings and numbers are always encoded
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:digestBytes])
}

// groupsFor returns the number of groups for a number of organisations.
func groupsFor(organisations int) uint64 {
	groups := 1
	for groups < maxGroups && organisations >= groups*groupStep*minGroup {
		groups *= groupStep
	}
	return uint64(groups)
}

func (p *Pools) groupOf(org request.OrgID) uint64 {
	return hash(org) % p.groups
}

func hash(org request.OrgID) uint64 { return xxhash.Sum64String(string(org)) }

// Salt returns the salt of an organisation for a version of the weights.
func (p *Pools) Salt(weights uint64, org request.OrgID) string {
	if _, apart := p.apart[org]; apart {
		return Own(weights, org)
	}
	return p.shared(weights, org)
}

// Anonymous returns the salt of requests without an organisation, which share with one group.
func (p *Pools) Anonymous(weights uint64) string { return p.shared(weights, "") }

func (p *Pools) shared(weights uint64, org request.OrgID) string {
	group := p.groupOf(org)
	salt := prefix(weights)
	if p.groups > 1 {
		salt += fmt.Sprintf(".group.%d-%d", p.groups, group)
	}
	if d := p.digests[group]; d != "" {
		salt += ".pool." + d
	}
	return salt
}

// Own returns the salt of an organisation that shares nothing, for a version of the weights. No pool has it.
func Own(weights uint64, org request.OrgID) string { return prefix(weights) + ".org." + string(org) }

// OwnAnonymous returns the salt of requests without an organisation that share nothing with organisations.
func OwnAnonymous(weights uint64) string { return prefix(weights) + ".anonymous" }

func prefix(weights uint64) string { return "w" + strconv.FormatUint(weights, 10) }

// ForModel returns the salt of a model's KV cache. Parts of prompts have the same names for each model, in context stores and in what is known
// of replicas. The digest has a fixed length, so that it can't be taken for a part of another salt.
func ForModel(salt string, model request.Model) string {
	return fmt.Sprintf("%s.%016x", salt, xxhash.Sum64String(string(model)))
}
