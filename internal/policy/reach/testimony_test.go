package reach

import "testing"

// TestDied guards against a replica that counts as dead because daemons that lost their paths, or don't answer, don't reach it, and against
// one that is never dead because the last daemons of a service's callers are just starting.
func TestDied(t *testing.T) {
	for _, c := range []struct {
		name        string
		testimonies []Testimony
		died        bool
	}{
		{"nobody asked", nil, false},
		{"all fail", []Testimony{Fails, Fails, Fails}, true},
		{"one reaches it", []Testimony{Fails, Reaches, Fails, Fails}, false},
		{"nobody answers", []Testimony{NoAnswer, NoAnswer}, false},
		{"half are silent", []Testimony{Fails, NoAnswer}, false},
		{"most fail", []Testimony{Fails, NoAnswer, Fails}, true},
	} {
		if got := Died(c.testimonies); got != c.died {
			t.Errorf("%s: died %t, want %t", c.name, got, c.died)
		}
	}
}
