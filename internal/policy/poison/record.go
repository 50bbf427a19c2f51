package poison

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxDeaths bounds the deaths in a record; the oldest are dropped.
const maxDeaths = 24

// restartTime is the least time from a death to the first request of a replica that starts again under its id. It is longer than daemons
// take to agree on the time of one death, and shorter than replicas take to start.
const restartTime = time.Second

// unknownStart ends the ID of a death whose replica does not say when its process started.
const unknownStart = "@0"

// DeathID returns the ID of the death of a process of a replica, which started at a time in Unix milliseconds; zero: it does not say.
func DeathID(replica string, started int64) string { return fmt.Sprint(replica, "@", started) }

// Death is the death of a replica while it ran a request with a trait.
type Death struct {
	ID   string // see DeathID
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
// already stay: those of another daemon are by another clock. Of the deaths with one ID those are added by which the other record has more.
func (r *Record) merge(other Record) (changed bool) {
	if other.Answered.After(r.Answered) {
		r.Answered, changed = other.Answered, true
	}
	if other.Trial.After(r.Trial) {
		r.Trial, changed = other.Trial, true
	}
	known := make(map[string]int, len(r.Deaths))
	for _, d := range r.Deaths {
		known[d.ID]++
	}
	for _, d := range other.Deaths {
		if known[d.ID]--; known[d.ID] < 0 && r.insert(d) {
			changed = true
		}
	}
	return changed
}

// indexOf returns the index of the death that another report is about, -1 if none is known.
func (r *Record) indexOf(d Death) int {
	return slices.IndexFunc(r.Deaths, d.same)
}

// same reports whether two reports are about one death.
func (d Death) same(other Death) bool {
	return d.ID == other.ID && !d.restartedBefore(other) && !other.restartedBefore(d)
}

// restartedBefore reports whether the replica of a death ran again before another death with the same ID: the request of that one was sent
// after the first.
func (d Death) restartedBefore(other Death) bool {
	return strings.HasSuffix(d.ID, unknownStart) && other.Sent.After(d.At.Add(restartTime))
}

// insert adds a death that is not known, unless it is older than all of a full record.
func (r *Record) insert(d Death) (added bool) {
	if len(r.Deaths) == maxDeaths && !d.At.After(r.Deaths[0].At) {
		return false
	}
	r.Deaths = append(r.Deaths, d)
	r.sortDeaths()
	return true
}

// addDeath adds a death, or what another report of the same death says: it may come from another daemon, or be about another
// request.
func (r *Record) addDeath(d Death) (changed bool) {
	i := r.indexOf(d)
	if i < 0 {
		return r.insert(d)
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
