package store

import (
	"net/url"
	"strings"

	"github.com/bluebellscale/bluebellscale/internal/block"
)

// Generation distinguishes two writes of the same context. A writer uses a new generation
// for each export and never reuses it, so that a name always refers to one content.
type Generation string

// Prefix returns the common prefix of the names of one export, which consists of
// organisation, model, weight version and generation. Engines append the block's hash.
// Each component is escaped and tagged, so that no two scopes share a prefix and no
// component is empty or a dot.
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

// ManifestMark is a text that the names of manifests contain and those of blocks do not.
const ManifestMark = "/manifest-"

// GenerationsPrefix returns the common prefix of the names of all exports whose generation
// begins with start.
func GenerationsPrefix(scope block.Scope, start string) string {
	return strings.TrimSuffix(Prefix(scope, Generation(start)), "/")
}

// BlockName returns the name of one block of an export.
func BlockName(scope block.Scope, generation Generation, h block.Hash) string {
	return Prefix(scope, generation) + h.String()
}

// ManifestName returns the name of an export's manifest. The tail is the hash of the last
// block, which covers the complete context.
func ManifestName(scope block.Scope, generation Generation, tail block.Hash) string {
	return Prefix(scope, generation) + "manifest-" + tail.String()
}
