package residency

import (
	"testing"

	"pgregory.net/rapid"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

// The least recently used part is evicted first.
func TestLeastRecentlyUsedPartIsEvicted(t *testing.T) {
	m := New(100)
	m.Touch(1, 40)
	m.Touch(2, 40)
	m.Touch(1, 40) // read again
	m.Touch(3, 40)
	if !m.Contains(1) || m.Contains(2) || !m.Contains(3) {
		t.Errorf("part 1 cached: %t, 2: %t, 3: %t", m.Contains(1), m.Contains(2), m.Contains(3))
	}
	m.Touch(4, 500) // larger than the memory
	if m.Contains(4) || m.Contains(1) {
		t.Error("a part larger than the memory is cached, or other parts beside it")
	}
}

// TestLongUnusedPartIsNotRecent guards against parts that count as surely cached although most of the memory was used since.
func TestLongUnusedPartIsNotRecent(t *testing.T) {
	m := New(100)
	m.Touch(1, 20)
	m.Touch(2, 20)
	if !m.ContainsRecent(1, 0.4) || !m.ContainsRecent(2, 0.4) {
		t.Error("parts used just now are not recent")
	}
	m.Touch(3, 30)
	if m.ContainsRecent(1, 0.4) || !m.ContainsRecent(2, 0.4) || !m.Contains(1) {
		t.Errorf("part 1 recent: %t, 2: %t, 1 cached: %t", m.ContainsRecent(1, 0.4), m.ContainsRecent(2, 0.4), m.Contains(1))
	}
	m.Touch(1, 20) // read again
	if !m.ContainsRecent(1, 0.4) || m.ContainsRecent(9, 1) {
		t.Error("a part that is read again is not recent, or an unknown one is")
	}
	m.Clear()
	if m.ContainsRecent(1, 1) {
		t.Error("a removed part is recent")
	}
}

// The used tokens are the sum over all parts and never exceed the capacity.
func TestUsedTokensStayWithinCapacity(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := New(1000)
		for range rapid.IntRange(0, 100).Draw(rt, "steps") {
			m.Touch(Key(rapid.IntRange(0, 30).Draw(rt, "key")), rapid.IntRange(1, 300).Draw(rt, "tokens"))
			sum := 0
			for _, e := range m.byKey {
				sum += e.Value.(*part).tokens
			}
			if sum != m.usedTokens || sum > m.capacity || m.lru.Len() != len(m.byKey) {
				rt.Fatalf("%d tokens used, parts have %d, capacity is %d", m.usedTokens, sum, m.capacity)
			}
		}
	})
}

// TestPartsWithoutTokensAreBounded guards against an estimate that grows for ever, as parts without tokens never fill a replica's memory.
func TestPartsWithoutTokensAreBounded(t *testing.T) {
	m := New(1 << 40)
	for n := range 10 * maxParts {
		m.Touch(Key(n), n%2)
	}
	if n := m.lru.Len(); n > maxParts || n != len(m.byKey) {
		t.Errorf("%d parts, %d by key, want %d at most", n, len(m.byKey), maxParts)
	}
	if !m.Contains(10*maxParts - 1) {
		t.Error("the last part is not kept")
	}
}
