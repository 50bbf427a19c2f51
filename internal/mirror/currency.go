package mirror

import (
	"sync"
	"time"
)

const (
	// reportTime is how long the news of an answer of the key-value service may take to the last daemon that
	// learns of changes through peers: two reports in a row on slow machines, or one lost datagram that the second
	// daemon of a tier makes up for.
	reportTime = 300 * time.Millisecond
	// readTime is how long a daemon's own read may take, from the moment at which it is due until its answer is
	// applied. It covers a late timer, a lost packet, or a new connection.
	readTime = 500 * time.Millisecond
	// minWatch is the shortest wait of one watch. Bounds that would need a shorter one don't hold.
	minWatch = 200 * time.Millisecond
)

// Times are the times within which a daemon notices that its copies may be out of date.
//
// A daemon knows that its copies are current as of an answer of the key-value service, either to itself or to the
// first daemon of the chain through which it learns of changes. Reports pass the age of that answer on, so that
// neither the number of reports nor the time for which one stays valid adds to it. A daemon that hears of no answer
// for MaxAge reads from the service. A change is confirmed at the earliest right after the last answer, so that
// it is applied within MaxAge and the time of that read, whatever became of the peers.
//
// A daemon that watches has an answer within Watch. If the connection is lost, it notices after WatchTimeout and
// reads anew in the rest of the bound.
type Times struct {
	Watch        time.Duration // longest time from one answer to the next while the service answers
	WatchTimeout time.Duration // longest time until an unanswered watch fails
	MaxAge       time.Duration // age of the newest answer that is known at which a daemon reads from the service
}

// NewTimes returns the times that follow from the longest time until a change must be applied.
func NewTimes(bound time.Duration) Times {
	watch := max(minWatch, bound-reportTime-readTime)
	return Times{Watch: watch, WatchTimeout: watch + WatchSlack, MaxAge: watch + reportTime}
}

// RelyFor returns for how long a daemon relies on peers, given for how long the newest answer that they report counts and for how long they
// have answered no fetch of a change that they report (Group.UnansweredFor). To hear of a change is not to have it.
func (t Times) RelyFor(left, unanswered time.Duration) time.Duration {
	if unanswered <= 0 {
		return left
	}
	return min(left, t.Watch-unanswered)
}

// WatchSlack is how long after its wait a watch without an answer fails. The listing that follows has reportTime.
const WatchSlack = readTime

// ReportTracker tracks the reports of peers that pass on changes of the key-value service, which lets a
// daemon do without a watch.
//
// Each change costs one call for each watching daemon. Therefore only a few daemons watch and pass
// changes on to the others. These few may die, stall, or be partitioned from the service or from
// their peers, and the others would then miss changes. A daemon relies on its peers only while it knows from
// them of an answer of the service that is younger than Times.MaxAge, and one of them has reported within
// reportTTL. Otherwise the daemon watches, whatever its place. ReportTracker is safe for concurrent use.
type ReportTracker struct {
	mu         sync.Mutex
	answered   time.Time // newest answer of the service that is known; zero: none
	lastReport time.Time
}

// Record records a peer's report of an answer of the given age.
func (r *ReportTracker) Record(now time.Time, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReport = now
	if at := now.Add(-max(0, age)); at.After(r.answered) {
		r.answered = at
	}
}

// Age returns the age of the newest answer at time now, and false if none is known.
func (r *ReportTracker) Age(now time.Time) (age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.answered), !r.answered.IsZero()
}

// Left returns for how long after time now a daemon may rely on the peers if they report no further answer; zero or
// less: not at all.
func (r *ReportTracker) Left(now time.Time, maxAge time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answered.IsZero() {
		return 0
	}
	return min(maxAge-now.Sub(r.answered), reportTTL-now.Sub(r.lastReport))
}
