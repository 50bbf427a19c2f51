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
	fails := 0
	for _, t := range testimonies {
		switch t {
		case Reaches:
			return false
		case Fails:
			fails++
		}
	}
	return 2*fails > len(testimonies)
}
