package store

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Manifest lists the blocks of one exported context, in chain order. It is written after
// all blocks, and readers use only blocks that a manifest lists. A context whose export
// was interrupted has no manifest and does not exist for readers.
type Manifest struct {
	Org        request.OrgID             `json:"org"`
	Model      request.Model             `json:"model"`
	Version    request.Version           `json:"version"`
	Generation Generation                `json:"generation"`
	Blocks     []engineapi.ExportedBlock `json:"blocks"`
	// Earlier lists, in order, the earlier exports whose blocks this context begins with.
	// The blocks after theirs were written under Generation.
	Earlier []Segment `json:"earlier,omitempty"`
}

// Segment is the generation and number of consecutive blocks that an earlier export wrote.
type Segment struct {
	Generation Generation `json:"generation"`
	Blocks     int        `json:"blocks"`
}

// Run is a sequence of consecutive blocks that one export wrote, so that their names share
// a prefix.
type Run struct {
	Generation Generation
	Blocks     []engineapi.ExportedBlock
}

// Extend returns the manifest of an export that continues an earlier one of the same
// context, so that only new blocks are sent over the link. Once the new manifest is
// committed, the earlier manifest is freed, but none of its blocks.
func (m Manifest) Extend(generation Generation, written []engineapi.ExportedBlock) Manifest {
	out := m
	out.Generation = generation
	out.Blocks = append(slices.Clone(m.Blocks), written...)
	out.Earlier = nil
	for _, r := range m.Runs() {
		out.Earlier = append(out.Earlier, Segment{Generation: r.Generation, Blocks: len(r.Blocks)})
	}
	return out
}

// Runs returns all blocks in chain order, grouped by the export that wrote them.
func (m Manifest) Runs() []Run {
	var out []Run
	rest := m.Blocks
	for _, s := range m.Earlier {
		n := min(max(s.Blocks, 0), len(rest))
		out = append(out, Run{Generation: s.Generation, Blocks: rest[:n]})
		rest = rest[n:]
	}
	if len(rest) > 0 {
		out = append(out, Run{Generation: m.Generation, Blocks: rest})
	}
	return out
}

// Check returns ErrBadManifest unless the manifest belongs to the scope and its blocks
// are leading blocks of the chain, each with a length and a digest.
//
// It protects against an engine that responds to an export with a gap or with blocks of
// another context, and against an earlier manifest that belongs to another chain. If
// committed, these blocks would be stored under a wrong prefix for every later caller. The
// check suffices because no manifest is committed without it, and because a block's hash
// covers its complete prefix.
func (m Manifest) Check(scope block.Scope, chain []block.Hash) error {
	if m.Scope() != scope {
		return errors.Wrap(ErrBadManifest, "manifest belongs to another scope")
	}
	if len(m.Blocks) == 0 || len(m.Blocks) > len(chain) {
		return errors.Wrapf(ErrBadManifest, "%d blocks for a chain of %d", len(m.Blocks), len(chain))
	}
	for i, b := range m.Blocks {
		if b.Hash != chain[i] {
			return errors.Wrapf(ErrBadManifest, "block %d does not belong to the context", i)
		}
	}
	return m.checkBlocks()
}

// checkBlocks refuses blocks whose content cannot be verified on reading.
func (m Manifest) checkBlocks() error {
	for i, b := range m.Blocks {
		if b.Length <= 0 || b.Digest == "" {
			return errors.Wrapf(ErrBadManifest, "block %d has no length or digest", i)
		}
	}
	return nil
}

// Scope returns the scope of the context.
func (m Manifest) Scope() block.Scope {
	return block.Scope{Org: m.Org, Model: m.Model, Version: m.Version}
}

// Tail returns the hash of the last block.
func (m Manifest) Tail() block.Hash {
	if len(m.Blocks) == 0 {
		return block.Hash{}
	}
	return m.Blocks[len(m.Blocks)-1].Hash
}

// Name returns the manifest's name.
func (m Manifest) Name() string { return ManifestName(m.Scope(), m.Generation, m.Tail()) }

// BlockNames returns the names of all blocks.
func (m Manifest) BlockNames() []string {
	names := make([]string, 0, len(m.Blocks))
	for _, r := range m.Runs() {
		prefix := Prefix(m.Scope(), r.Generation)
		for _, b := range r.Blocks {
			names = append(names, prefix+b.Hash.String())
		}
	}
	return names
}

// Bytes returns the total length of all blocks.
func (m Manifest) Bytes() int64 {
	var n int64
	for _, b := range m.Blocks {
		n += b.Length
	}
	return n
}

// envelope is the stored form of a manifest. It holds a digest of its own, so that the
// check on reading does not depend on the digest that the store VM reports.
type envelope struct {
	Manifest json.RawMessage `json:"manifest"`
	Digest   string          `json:"digest"`
}

// PutManifest commits an export. Every block must have been written successfully before.
func (c *Client) PutManifest(ctx context.Context, m Manifest) error {
	if len(m.Blocks) == 0 {
		return errors.Wrap(ErrBadManifest, "manifest has no blocks")
	}
	if err := m.checkBlocks(); err != nil {
		return err
	}
	inner, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "store: encode manifest")
	}
	content, err := json.Marshal(envelope{Manifest: inner, Digest: digestOf(inner)})
	if err != nil {
		return errors.Wrap(err, "store: encode manifest")
	}
	return c.put(ctx, m.Name(), content)
}

// GetManifest reads the manifest of an export. It returns a *MissError if the manifest is
// absent, freed, corrupt, or belongs to another scope, generation or context.
func (c *Client) GetManifest(ctx context.Context, scope block.Scope, generation Generation, tail block.Hash) (Manifest, error) {
	name := ManifestName(scope, generation, tail)
	resp, _, err := c.get(ctx, name)
	return decodeManifest(name, resp, err)
}

// PeekManifest is like GetManifest, but does not count as a use of the export.
func (c *Client) PeekManifest(ctx context.Context, scope block.Scope, generation Generation, tail block.Hash) (Manifest, error) {
	name := ManifestName(scope, generation, tail)
	resp, err := c.do(ctx, apiCall{method: http.MethodGet, path: objectPath(name) + "?peek=1", name: name})
	return decodeManifest(name, resp, err)
}

// decodeManifest decodes and checks the content that was read under a name.
func decodeManifest(name string, resp response, err error) (Manifest, error) {
	if err != nil {
		return Manifest{}, err
	}
	m, ok := decodeEnvelope(resp.content)
	if !ok {
		return Manifest{}, corruptError(name, resp)
	}
	if m.Name() != name {
		return Manifest{}, &MissError{Name: name, Reason: MissWrongName}
	}
	return m, nil
}

func decodeEnvelope(content []byte) (Manifest, bool) {
	var e envelope
	if json.Unmarshal(content, &e) != nil || digestOf(e.Manifest) != e.Digest {
		return Manifest{}, false
	}
	var m Manifest
	return m, json.Unmarshal(e.Manifest, &m) == nil && m.checkBlocks() == nil
}

// blockName returns a block's name, which contains the generation that wrote it.
func (m Manifest) blockName(b engineapi.ExportedBlock) string {
	for _, r := range m.Runs() {
		if slices.Contains(r.Blocks, b) {
			return BlockName(m.Scope(), r.Generation, b.Hash)
		}
	}
	return BlockName(m.Scope(), m.Generation, b.Hash)
}

// GetBlock reads one block's content. It returns a *MissError if the block is absent, freed,
// or does not have the length and digest that the manifest lists.
func (c *Client) GetBlock(ctx context.Context, m Manifest, b engineapi.ExportedBlock) ([]byte, error) {
	name := m.blockName(b)
	resp, length, err := c.get(ctx, name)
	if err != nil {
		return nil, err
	}
	if length != b.Length || digestOf(resp.content) != b.Digest {
		return nil, corruptError(name, resp)
	}
	return resp.content, nil
}

// UnreferencedBlocks returns the names of the blocks that no manifest in kept lists.
func (m Manifest) UnreferencedBlocks(kept ...Manifest) []string {
	referenced := map[string]bool{}
	for _, other := range kept {
		for _, name := range other.BlockNames() {
			referenced[name] = true
		}
	}
	return slices.DeleteFunc(m.BlockNames(), func(name string) bool { return referenced[name] })
}

// DeleteExport frees an export: first the manifest, so that no new reader finds its blocks,
// then the blocks that no manifest in kept lists. It skips objects that are already freed.
// At a pinned object it stops with ErrPinned, and a repeated call continues from there.
func (c *Client) DeleteExport(ctx context.Context, m Manifest, kept ...Manifest) error {
	for _, name := range append([]string{m.Name()}, m.UnreferencedBlocks(kept...)...) {
		if err := c.Delete(ctx, name); err != nil && !errors.Is(err, ErrMiss) {
			return err
		}
	}
	return nil
}
