package table

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

func sortedModels(models map[request.Model]request.Version) []request.Model {
	return slices.Sorted(maps.Keys(models))
}

// sortedValues returns a map's values in the order of its keys.
func sortedValues[K cmp.Ordered, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[key])
	}
	return values
}

func comparePages(a, b Change) int {
	return strings.Compare(PageName(a.Sheet, a.ID), PageName(b.Sheet, b.ID))
}

func joinNames(names []string) string { return strings.Join(names, ",") }

func compareStrings[S ~string](a, b S) int { return strings.Compare(string(a), string(b)) }
