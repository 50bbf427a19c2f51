package reach

// Testimony is what another daemon says of a replica that this one does not reach.
type Testimony int

// Testimonies. The zero value is that of a daemon that does not answer in time or does not know the replica.
const (
	NoAnswer Testimony = iota
	Reaches
	Fails
)

// Died reports whether a replica that this daemon does not reach accepts no connections at all, by the testimonies of the daemons that were
// asked. More than half of them must say so: some may have just terminated, and one that is silent may reach the replica.
func Died(testimonies []Testimony) bool {
	return Count(testimonies, Reaches) == 0 && 2*Count(testimonies, Fails) > len(testimonies)
}

// Count returns the number of testimonies that say the same.
func Count(testimonies []Testimony, same Testimony) (n int) {
	for _, t := range testimonies {
		if t == same {
			n++
		}
	}
	return n
}
