package engine

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/bluebellscale/bluebellscale/internal/block"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // fixes the seeds
)

// naiveCache is a reference model of cache. It holds its blocks in a slice, the most
// recently used first.
type naiveCache struct {
	capacity int
	order    []block.Hash
	refs     map[block.Hash]int
}

func (c *naiveCache) touch(h block.Hash) {
	i := slices.Index(c.order, h)
	c.order = slices.Insert(slices.Delete(c.order, i, i+1), 0, h)
}

func (c *naiveCache) insert(h block.Hash) bool {
	if slices.Contains(c.order, h) {
		return true
	}
	for i := len(c.order) - 1; i >= 0 && len(c.order) >= c.capacity; i-- {
		if c.refs[c.order[i]] == 0 {
			c.order = slices.Delete(c.order, i, i+1)
		}
	}
	if len(c.order) >= c.capacity {
		return false
	}
	c.order = slices.Insert(c.order, 0, h)
	return true
}

// TestCacheMatchesNaiveModel compares the cache with a reference model, to detect a cache
// that exceeds its capacity or evicts a block in use.
func TestCacheMatchesNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const names = 8
		total := rapid.IntRange(1, 5).Draw(t, "total")
		ours := newCache(total)
		naive := &naiveCache{capacity: total, refs: make(map[block.Hash]int)}
		var held []block.Hash
		draw := func(t *rapid.T) block.Hash { return block.Hash{rapid.ByteRange(0, names-1).Draw(t, "block")} }
		t.Repeat(map[string]func(*rapid.T){
			"insert": func(t *rapid.T) {
				h := draw(t)
				_, ok := ours.insert(h)
				if want := naive.insert(h); ok != want {
					t.Fatalf("insert %v, naive %v", ok, want)
				}
			},
			"acquire": func(t *rapid.T) {
				h := draw(t)
				ok := ours.acquire(h)
				if want := slices.Contains(naive.order, h); ok != want {
					t.Fatalf("acquire %v, naive %v", ok, want)
				}
				if ok {
					naive.refs[h]++
					naive.touch(h)
					held = append(held, h)
				}
			},
			"release": func(t *rapid.T) {
				if len(held) == 0 {
					t.Skip("nothing held")
				}
				i := rapid.IntRange(0, len(held)-1).Draw(t, "held")
				h := held[i]
				held = slices.Delete(held, i, i+1)
				ours.release([]block.Hash{h})
				naive.refs[h]--
				naive.touch(h)
			},
			"clear": func(*rapid.T) {
				ours.clear()
				naive.order = slices.DeleteFunc(naive.order, func(h block.Hash) bool { return naive.refs[h] == 0 })
			},
			"": func(t *rapid.T) {
				if !slices.Equal(ours.hashes(), naive.order) {
					t.Fatalf("ours %v, naive %v", ours.hashes(), naive.order)
				}
			},
		})
	})
}
