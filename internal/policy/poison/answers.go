package poison

import "time"

// answers remembers traits whose requests were answered, for a bounded number of traits. Those that were not answered for longest are
// dropped, half of them at a time.
type answers struct {
	limit        int // of each of the maps
	newer, older map[Trait]time.Time
}

func newAnswers(limit int) answers {
	return answers{limit: max(1, limit/2), newer: map[Trait]time.Time{}, older: map[Trait]time.Time{}}
}

func (a *answers) add(now time.Time, t Trait) {
	if _, known := a.newer[t]; !known && len(a.newer) >= a.limit {
		a.older, a.newer = a.newer, map[Trait]time.Time{}
	}
	a.newer[t] = now
}

// last returns when a request with a trait was last answered, zero if that is not known or too long ago.
func (a *answers) last(t Trait, since time.Time) time.Time {
	at, known := a.newer[t]
	if !known {
		at = a.older[t]
	}
	if at.Before(since) {
		return time.Time{}
	}
	return at
}
