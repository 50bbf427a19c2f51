package residency

import (
	"testing"

	"pgregory.net/rapid"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

// A memory drops what was used longest ago.
func TestOldestPartsYield(t *testing.T) {
	m := New(100)
	m.Touch(1, 40)
	m.Touch(2, 40)
	m.Touch(1, 40) // read again
	m.Touch(3, 40)
	if !m.Contains(1) || m.Contains(2) || !m.Contains(3) {
		t.Errorf("1 %t, 2 %t, 3 %t", m.Contains(1), m.Contains(2), m.Contains(3))
	}
	m.Touch(4, 500) // more than there is
	if m.Contains(4) || m.Contains(1) {
		t.Error("a part larger than the memory stays, or others beside it")
	}
}

// The tokens of all parts together never exceed the memory, and are those of the parts.
func TestMemoryIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := New(1000)
		for range rapid.IntRange(0, 100).Draw(rt, "steps") {
			m.Touch(Key(rapid.IntRange(0, 30).Draw(rt, "key")), rapid.IntRange(1, 300).Draw(rt, "tokens"))
			sum := 0
			for _, e := range m.byKey {
				sum += e.Value.(*part).tokens
			}
			if sum != m.used || sum > m.capacity || m.order.Len() != len(m.byKey) {
				rt.Fatalf("used %d, parts %d, capacity %d", m.used, sum, m.capacity)
			}
		}
	})
}
