package poison

import (
	"slices"
	"strings"
	"time"
)

// maxDeaths bounds the deaths in a record; the oldest are dropped.
const maxDeaths = 24

// Death is the death of a replica while it ran a request with a trait.
type Death struct {
	ID   string // of the replica and its incarnation
	Org  Org    // of the request
	Sent time.Time
	At   time.Time
}

// Record is what is known of a trait. Times are of the daemons' wall clocks, in milliseconds.
type Record struct {
	Trait  Trait
	Deaths []Death // in order of At
	// Answered is when a replica last ran a request with the trait to its end; zero: it is not known to have.
	Answered time.Time
	// Trial is when a request with the trait was last sent to find out whether it still crashes replicas; zero: never.
	Trial time.Time
}

// clone returns a copy that shares no deaths.
func (r *Record) clone() Record {
	out := *r
	out.Deaths = slices.Clone(r.Deaths)
	return out
}

// merge adds what another daemon's record of the trait says, and reports whether anything changed. The times of a death that is known
// already stay: those of another daemon are by another clock.
func (r *Record) merge(other Record) (changed bool) {
	if other.Answered.After(r.Answered) {
		r.Answered, changed = other.Answered, true
	}
	if other.Trial.After(r.Trial) {
		r.Trial, changed = other.Trial, true
	}
	for _, d := range other.Deaths {
		if r.indexOf(d.ID) < 0 && r.addDeath(d) {
			changed = true
		}
	}
	return changed
}

func (r *Record) indexOf(death string) int {
	return slices.IndexFunc(r.Deaths, func(known Death) bool { return known.ID == death })
}

// addDeath adds a death, or what another report of the same death says: it may come from another daemon, or be about another
// request.
func (r *Record) addDeath(d Death) (changed bool) {
	i := r.indexOf(d.ID)
	if i < 0 {
		if len(r.Deaths) == maxDeaths && !d.At.After(r.Deaths[0].At) {
			return false
		}
		r.Deaths = append(r.Deaths, d)
		r.sortDeaths()
		return true
	}
	known := &r.Deaths[i]
	if d.Sent.After(known.Sent) {
		known.Sent, known.Org, changed = d.Sent, d.Org, true
	}
	if d.At.Before(known.At) {
		known.At, changed = d.At, true
	}
	if changed {
		r.sortDeaths()
	}
	return changed
}

func (r *Record) sortDeaths() {
	slices.SortFunc(r.Deaths, Death.compare)
	if n := len(r.Deaths) - maxDeaths; n > 0 {
		r.Deaths = slices.Delete(r.Deaths, 0, n)
	}
}

// pending returns the deaths whose requests were sent after the last answer.
func (r *Record) pending() []Death {
	if r.Answered.IsZero() {
		return r.Deaths
	}
	var out []Death
	for _, d := range r.Deaths {
		if !d.Sent.Before(r.Answered) {
			out = append(out, d)
		}
	}
	return out
}

// independent returns the largest number of deaths of which each one's request was sent after the one before. Replicas that
// die together, for example because a failure domain loses power, count once: their requests were all sent before.
func independent(deaths []Death) int {
	n := 0
	eachIndependent(deaths, func(Death) bool {
		n++
		return true
	})
	return n
}

// reaches returns the death with which there is a number of independent ones; ok is false if there are fewer.
func reaches(deaths []Death, number int) (d Death, ok bool) {
	n := 0
	eachIndependent(deaths, func(next Death) bool {
		n++
		d, ok = next, n == number
		return !ok
	})
	return d, ok
}

// eachIndependent calls do for independent deaths in their order, until it returns false.
func eachIndependent(deaths []Death, do func(Death) bool) {
	var last time.Time
	for _, d := range deaths {
		if d.Sent.Before(last) {
			continue
		}
		if !do(d) {
			return
		}
		last = d.At
	}
}

// before orders deaths by time.
func (d Death) before(other Death) bool { return d.compare(other) < 0 }

func (d Death) compare(other Death) int {
	if c := d.At.Compare(other.At); c != 0 {
		return c
	}
	return strings.Compare(d.ID, other.ID)
}

// organisations returns the number of organisations whose requests were in flight, two if there are more.
func organisations(deaths []Death) int {
	for _, d := range deaths {
		if d.Org != deaths[0].Org {
			return 2
		}
	}
	return min(1, len(deaths))
}

// notAfter returns a copy without times after now. By the clock of another daemon these would keep later deaths from counting.
func (r *Record) notAfter(now time.Time) Record {
	out := r.clone()
	out.Answered, out.Trial = earlier(out.Answered, now), earlier(out.Trial, now)
	for i, d := range out.Deaths {
		out.Deaths[i].Sent, out.Deaths[i].At = earlier(d.Sent, now), earlier(d.At, now)
	}
	return out
}

func earlier(a, b time.Time) time.Time {
	if a.After(b) {
		return milliseconds(b)
	}
	return a
}

// last returns when the record last changed.
func (r *Record) last() time.Time {
	at := r.Answered
	if r.Trial.After(at) {
		at = r.Trial
	}
	if n := len(r.Deaths); n > 0 && r.Deaths[n-1].At.After(at) {
		at = r.Deaths[n-1].At
	}
	return at
}

// UnixMilli returns a time of a record in Unix milliseconds, 0 for the zero time.
func UnixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// FromUnixMilli returns the time that UnixMilli was given, the zero time for anything that is not a time after 1970.
func FromUnixMilli(ms int64) time.Time {
	if ms <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
