package planner

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/store"
)

// reference is a parsed manifest name: scope, generation and the hash of the last block.
// The directory stores the name, so that a copy can be freed without its context.
type reference struct {
	scope      block.Scope
	generation store.Generation
	tail       block.Hash
}

// String returns the manifest's name.
func (r reference) String() string { return store.ManifestName(r.scope, r.generation, r.tail) }

const (
	referenceParts = 5
	manifestPrefix = "manifest-"
)

// errNotManifestName reports a name that is not that of a manifest.
var errNotManifestName = errors.New("planner: not the name of a manifest")

func parseReference(name string) (reference, error) {
	parts := strings.Split(name, "/")
	if len(parts) != referenceParts {
		return reference{}, errNotManifestName
	}
	var values [referenceParts - 1]string
	for i, tag := range []string{"o=", "m=", "v=", "g="} {
		value, err := url.PathUnescape(strings.TrimPrefix(parts[i], tag))
		if err != nil || !strings.HasPrefix(parts[i], tag) {
			return reference{}, errNotManifestName
		}
		values[i] = value
	}
	r := reference{
		scope: block.Scope{
			Org:     request.OrgID(values[0]),
			Model:   request.Model(values[1]),
			Version: request.Version(values[2]),
		},
		generation: store.Generation(values[3]),
	}
	if err := r.tail.UnmarshalText([]byte(strings.TrimPrefix(parts[4], manifestPrefix))); err != nil {
		return reference{}, errors.Mark(err, errNotManifestName)
	}
	// Names of blocks and non-canonical spellings are rejected.
	if r.String() != name {
		return reference{}, errNotManifestName
	}
	return r, nil
}

// generationPrefix returns the common prefix of the generations of a context's exports. It
// is the hash of the first block, by which any daemon can find the exports.
func generationPrefix(chain []block.Hash) string { return chain[0].String() + "." }

// depthSuffix returns the suffix of a generation: the hash of the block at the context's
// depth. In a manifest's name it directly precedes store.ManifestMark, so that a search for
// both finds the exports of contexts that share the blocks up to this depth.
func depthSuffix(chain []block.Hash) string { return "." + chain[depthOf(len(chain))-1].String() }

// depthsPerDoubling is the number of depths from one power of two to the next. The depth
// does not distinguish a context from others if it is less than a quarter longer than the
// prefix that they share.
const depthsPerDoubling = 4

// depthOf returns the greatest depth that is at most the given number of blocks. All
// numbers up to 2*depthsPerDoubling are depths. Above, the depths are the multiples of
// 1/depthsPerDoubling of the next lower power of two.
func depthOf(blocks int) int {
	step := 1
	for blocks >= 2*depthsPerDoubling*step {
		step *= 2
	}
	return blocks / step * step
}

// nextGeneration returns a generation that no export has used before, since the instance
// differs for every start of every daemon.
func (p *Planner) nextGeneration(chain []block.Hash) store.Generation {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	return store.Generation(fmt.Sprintf("%s%s-%d%s", generationPrefix(chain), p.opts.Instance, p.generation, depthSuffix(chain)))
}
