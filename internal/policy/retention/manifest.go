package retention

import (
	"encoding/hex"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// ErrBadManifest reports a manifest that must not be imported from.
var ErrBadManifest = errors.New("retention: bad manifest")

// Generations hands out numbers for names. Together with the daemon and its
// incarnation, which grows with each start, a number is never used twice; a store VM
// also refuses a name that was deleted.
type Generations struct {
	daemon      request.DaemonID
	incarnation uint64
	last        uint64
}

// NewGenerations returns the numbers of one run of a daemon.
func NewGenerations(daemon request.DaemonID, incarnation uint64) *Generations {
	return &Generations{daemon: daemon, incarnation: incarnation}
}

// Name is the never repeated part of a manifest's and its blocks' names.
type Name struct {
	Generation uint64
	stem       string
}

// Next returns a fresh name in a scope.
func (g *Generations) Next(scope block.Scope) Name {
	g.last++
	stem := fmt.Sprintf("%s-%s-%d-%d", scope.Salt(), hex.EncodeToString([]byte(g.daemon)), g.incarnation, g.last)
	return Name{Generation: g.last, stem: stem}
}

// Manifest returns the name of the manifest object.
func (n Name) Manifest() string { return "m-" + n.stem }

// BlockPrefix returns what the names of the blocks begin with.
func (n Name) BlockPrefix() string { return "b-" + n.stem + "-" }

// Manifest lists the blocks of an exported context. It is written last and deleted
// first: what no manifest lists does not exist for readers.
type Manifest struct {
	Salt     string          `json:"salt"`
	Version  request.Version `json:"version"`
	Segments []Segment       `json:"segments"` // in chain order
}

// Segment is a run of blocks that one export wrote.
type Segment struct {
	Prefix string                    `json:"prefix"`
	Blocks []engineapi.ExportedBlock `json:"blocks"`
}

// NewManifest returns the manifest of one export, which may extend an earlier one. It
// refuses what an engine did not write in full order, so a gap can't be committed.
func NewManifest(scope block.Scope, chain []block.Hash, earlier *Manifest, name Name, written []engineapi.ExportedBlock) (Manifest, error) {
	m := Manifest{Salt: scope.Salt(), Version: scope.Version}
	if earlier != nil {
		m.Segments = append(m.Segments, earlier.Segments...)
	}
	m.Segments = append(m.Segments, Segment{Prefix: name.BlockPrefix(), Blocks: written})
	return m, m.Check(scope, chain)
}

// Blocks returns the number of leading blocks that the manifest commits.
func (m Manifest) Blocks() int {
	n := 0
	for _, s := range m.Segments {
		n += len(s.Blocks)
	}
	return n
}

// Bytes returns the size of all blocks.
func (m Manifest) Bytes() int64 {
	var n int64
	for _, s := range m.Segments {
		for _, b := range s.Blocks {
			n += b.Length
		}
	}
	return n
}

// Check returns ErrBadManifest unless the manifest belongs to the scope and its blocks
// are leading blocks of the chain, each with a digest. It guards against a manifest
// that was swapped or half written: its blocks would be put under a wrong context.
func (m Manifest) Check(scope block.Scope, chain []block.Hash) error {
	if m.Salt != scope.Salt() || m.Version != scope.Version {
		return errors.Wrap(ErrBadManifest, "other scope")
	}
	n := 0
	for _, s := range m.Segments {
		for _, b := range s.Blocks {
			if n == len(chain) || b.Hash != chain[n] {
				return errors.Wrapf(ErrBadManifest, "block %d is not the context's", n)
			}
			if b.Length <= 0 || b.Digest == "" {
				return errors.Wrapf(ErrBadManifest, "block %d has no length or digest", n)
			}
			n++
		}
	}
	if n == 0 {
		return errors.Wrap(ErrBadManifest, "no blocks")
	}
	return nil
}

// Imports returns the import requests for the blocks from to, in chain order.
func (m Manifest) Imports(storeAddress string, from, to int) []engineapi.ImportRequest {
	var requests []engineapi.ImportRequest
	start := 0
	for _, s := range m.Segments {
		low := min(max(from-start, 0), len(s.Blocks))
		high := min(max(to-start, 0), len(s.Blocks))
		start += len(s.Blocks)
		if low >= high {
			continue
		}
		requests = append(requests, engineapi.ImportRequest{
			StoreAddress: storeAddress,
			Prefix:       s.Prefix,
			CacheSalt:    m.Salt,
			Version:      m.Version,
			Blocks:       s.Blocks[low:high],
		})
	}
	return requests
}

// StepKind is a step on objects of a store VM.
type StepKind int

const (
	// DeleteManifest deletes the manifest object.
	DeleteManifest StepKind = iota
	// AwaitPins waits until no reader that saw the manifest can still read blocks.
	AwaitPins
	// DeleteBlocks deletes the blocks.
	DeleteBlocks
)

// FreeingSteps returns the order in which a manifest and its blocks are deleted. The
// other order lets a reader find a manifest whose blocks are gone, or find a name
// that a newer export has taken. Blocks that kept lists too stay.
func FreeingSteps() []StepKind { return []StepKind{DeleteManifest, AwaitPins, DeleteBlocks} }

// Garbage returns the names of the blocks of m that kept, its successor, does not list.
func (m Manifest) Garbage(kept *Manifest) []string {
	stays := map[string]bool{}
	if kept != nil {
		for _, s := range kept.Segments {
			stays[s.Prefix] = true
		}
	}
	var names []string
	for _, s := range m.Segments {
		if stays[s.Prefix] {
			continue
		}
		for _, b := range s.Blocks {
			names = append(names, s.Prefix+b.Hash.String())
		}
	}
	return names
}
