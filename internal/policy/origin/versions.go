package origin

import "time"

// Versions are the versions of one service's software that a daemon has seen lately. The zero value has seen none; it is not
// safe for concurrent use.
type Versions struct {
	present map[string]bool
	gone    map[string]time.Time // when the last replica of a version left
}

// Appear records that replicas of a version are registered. It reports whether the version had lost its last replica before.
func (v *Versions) Appear(software string) (returned bool) {
	if v.present == nil {
		v.present, v.gone = map[string]bool{}, map[string]time.Time{}
	}
	_, returned = v.gone[software]
	v.present[software] = true
	delete(v.gone, software)
	return returned
}

// Vanish records that the last replica of a version is no longer registered. Its streams may go on for a while.
func (v *Versions) Vanish(now time.Time, software string) {
	if !v.present[software] {
		return
	}
	delete(v.present, software)
	v.gone[software] = now
}

// AllPresent reports whether all versions that have replicas satisfy f.
func (v *Versions) AllPresent(f func(software string) bool) bool {
	for software := range v.present {
		if !f(software) {
			return false
		}
	}
	return true
}

// Present returns the versions that have replicas and satisfy f.
func (v *Versions) Present(f func(software string) bool) map[string]bool {
	out := map[string]bool{}
	for software := range v.present {
		if f(software) {
			out[software] = true
		}
	}
	return out
}

// Remember records that a version has had replicas until now, unless the daemon knows better.
func (v *Versions) Remember(now time.Time, software string) {
	if v.present[software] {
		return
	}
	if _, known := v.gone[software]; known {
		return
	}
	v.RememberAnew(now, software)
}

// RememberAnew records that a version may have had replicas until now, also if the daemon saw the last one leave before.
func (v *Versions) RememberAnew(now time.Time, software string) {
	if v.present[software] {
		return
	}
	if v.gone == nil {
		v.present, v.gone = map[string]bool{}, map[string]time.Time{}
	}
	v.gone[software] = now
}

// Prune forgets versions whose last replica left longer than keep ago. It reports whether no version is left.
func (v *Versions) Prune(now time.Time, keep time.Duration) (empty bool) {
	for software, at := range v.gone {
		if now.Sub(at) > keep {
			delete(v.gone, software)
		}
	}
	return len(v.present)+len(v.gone) == 0
}

// Names returns the versions at which streams can have begun within keep.
func (v *Versions) Names(now time.Time, keep time.Duration) []string {
	var names []string
	for software := range v.present {
		names = append(names, software)
	}
	for software, at := range v.gone {
		if now.Sub(at) <= keep {
			names = append(names, software)
		}
	}
	return names
}

// View returns what the versions tell. sure says that the daemon has seen all versions of the last keep, and that its
// registry is current.
func (v *Versions) View(now time.Time, keep time.Duration, sure bool) View {
	names := v.Names(now, keep)
	switch {
	case len(names) > 1:
		return View{Certainty: Several}
	case len(names) == 0:
		return View{}
	case !sure:
		return View{Software: names[0], Nameless: names[0] == ""}
	}
	return View{Certainty: Sole, Software: names[0]}
}
