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

// reference is what a manifest's name says: scope, generation and the hash of the
// last block. The directory keeps the name, so that a copy can be freed without
// knowing whose it was.
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

// errReference reports a name that is not a manifest's.
var errReference = errors.New("planner: not the name of a manifest")

func parseReference(name string) (reference, error) {
	parts := strings.Split(name, "/")
	if len(parts) != referenceParts {
		return reference{}, errReference
	}
	var values [referenceParts - 1]string
	for i, tag := range []string{"o=", "m=", "v=", "g="} {
		value, err := url.PathUnescape(strings.TrimPrefix(parts[i], tag))
		if err != nil || !strings.HasPrefix(parts[i], tag) {
			return reference{}, errReference
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
		return reference{}, errors.Mark(err, errReference)
	}
	// A block's name, or another spelling of a name, is not the manifest's.
	if r.String() != name {
		return reference{}, errReference
	}
	return r, nil
}

// generationStart is what the generations of all exports of a context begin with: the
// hash of its first block, by which a daemon that never saw the context finds them.
func generationStart(chain []block.Hash) string { return chain[0].String() + "." }

// depthMark is what a generation ends with: the hash of the block at the context's
// depth. It stands right before the manifest's mark in a manifest's name, so that a
// search for both finds the exports of contexts that share so many blocks.
func depthMark(chain []block.Hash) string { return "." + chain[depthOf(len(chain))-1].String() }

// stepsInOctave is how many depths there are from one power of two to the next. A
// context that is less than a quarter longer than the prompt it shares with others is
// not told apart from them by its depth.
const stepsInOctave = 4

// depthOf returns the deepest depth that a context of some blocks reaches. All numbers
// up to 2*stepsInOctave are depths, and of larger ones the multiples of the
// stepsInOctave'th part of the power of two below.
func depthOf(blocks int) int {
	step := 1
	for blocks >= 2*stepsInOctave*step {
		step *= 2
	}
	return blocks / step * step
}

// nextGeneration returns a generation that no export has had: the instance differs
// for every start of every daemon.
func (p *Planner) nextGeneration(chain []block.Hash) store.Generation {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	return store.Generation(fmt.Sprintf("%s%s-%d%s", generationStart(chain), p.opts.Instance, p.generation, depthMark(chain)))
}
