package store

import (
	"net/url"
	"strings"

	"github.com/bluebellscale/bluebellscale/internal/block"
)

// Generation tells apart two writes of the same context. A writer takes a new one for
// each export and never uses it again, so that a name always stands for one content.
type Generation string

// Prefix returns the start of all names of one export: organisation, model, weight
// version and generation. Engines add the block's hash to it. Each part is escaped
// and has a tag, so that no two scopes share a prefix and no part is empty or a dot.
func Prefix(scope block.Scope, generation Generation) string {
	var b strings.Builder
	for _, part := range []struct{ tag, value string }{
		{"o=", string(scope.Org)},
		{"m=", string(scope.Model)},
		{"v=", string(scope.Version)},
		{"g=", string(generation)},
	} {
		b.WriteString(part.tag)
		b.WriteString(url.PathEscape(part.value))
		b.WriteByte('/')
	}
	return b.String()
}

// ManifestMark is what names of manifests contain and names of blocks do not.
const ManifestMark = "/manifest-"

// GenerationsPrefix returns the start of the names of all exports whose generation
// begins with start.
func GenerationsPrefix(scope block.Scope, start string) string {
	return strings.TrimSuffix(Prefix(scope, Generation(start)), "/")
}

// BlockName returns the name of one block of an export.
func BlockName(scope block.Scope, generation Generation, h block.Hash) string {
	return Prefix(scope, generation) + h.String()
}

// ManifestName returns the name of an export's manifest. Tail is the hash of the last
// block, which covers the whole context.
func ManifestName(scope block.Scope, generation Generation, tail block.Hash) string {
	return Prefix(scope, generation) + "manifest-" + tail.String()
}
