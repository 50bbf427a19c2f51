// Package storecache decides what one context store keeps, who may fetch from it and when
// parts are freed.
//
// A store does not know who reads from it, and frees what it is told to free at once. A
// request that fetches a part while it is written or freed would run on memory that is
// not its prompt's. So one daemon at a time keeps the store's room, and three things hold:
//
//   - a part may be fetched only once the store has told that it is whole;
//   - leave to fetch ends at a time that the replica checks, and a part is freed only when
//     all leave for it has ended, also that of a keeper whose lease ran out;
//   - a part is written only where nobody can hold leave from before: not until all leave
//     has ended after the store was found empty or another daemon kept it.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness. A Room is not safe
// for concurrent use.
package storecache

import (
	"time"
)

const (
	// ReadPermitTTL is how long leave to fetch lasts. A replica does not start a transfer that
	// would wait for more than two seconds. Shorter leave lets slow fetches go and computes
	// their prompts, which costs the replicas more than the wait.
	ReadPermitTTL = 2500 * time.Millisecond
	// leaveSlack covers what the keeper does not know of the replicas' clock.
	leaveSlack = 300 * time.Millisecond
	// ReadOnlyGrace is how long a keeper that lost its lease may go on to give leave to fetch
	// what it knows to be whole. An outage of the key-value service ends all leases and
	// lets nobody take one: without this all prompts are computed until it is over. The
	// next keeper frees nothing for as long. Outages last some seconds.
	ReadOnlyGrace = 8 * time.Second
	// readerLag is how late such a keeper may notice that the store came back empty.
	readerLag = 2 * time.Second
	// saveWithin is how long a save may take before it counts as lost. A large prompt
	// takes 50 ms on an idle link.
	saveWithin = 4 * time.Second
	// keepFor is how long a part is kept for its return at least: sooner than this most
	// come back, and freeing one for another gains nothing.
	keepFor = 20 * time.Second
	// maxQueue is the longest queue of the store's link at which a fetch is worth it.
	// Callers wait 600 ms at most for first words, and computing a prompt takes 100 to
	// 200 ms.
	maxQueue = 250 * time.Millisecond
	// maxSaveQueue is the longest queue at which a part is saved. Saves give way: one takes
	// the link for as long as a fetch, which is of use now, and a save that would wait for
	// over two seconds is lost and keeps its part from being saved for 4 s. Where links were
	// full it cut the tokens of shared parts that were computed again by an eighth.
	maxSaveQueue = 100 * time.Millisecond
	// fullAt and freeTo are the shares of the room at which freeing begins and ends. The
	// gap takes the saves of the time that freeing needs.
	fullAt = 0.94
	freeTo = 0.90
	// MinProcessAge is longer than any leave lasts from when a store's process was seen first:
	// a keeper that was cut off may notice late that the process is another one.
	MinProcessAge = readerLag + ReadPermitTTL + leaveSlack
	// block is the number of tokens by which a store gives room.
	block = 16
)

// Key names a part in the store.
type Key struct{ Salt, ID string }

// PartRequest is what a request wants of one part.
type PartRequest struct {
	Key
	Tokens  int
	Weights uint64 // the version of the weights that made it
	// Resident is set if the replica has the part, as far as is known. The link's time
	// is then not counted.
	Resident bool
	// Last is set for the last part of a prompt. It may be the request's own and never
	// come again, so it is saved only when it is asked for a second time.
	Last bool
	// ReadOnly is set where this keeper holds no lease: nothing may be written.
	ReadOnly bool
}

// Reason says what decided on a part.
type Reason string

// The reasons of Answer.
const (
	ReasonCached       Reason = "held"   // it may be fetched
	ReasonQueue        Reason = "queue"  // the link has too much to do
	ReasonSaving       Reason = "saving" // it is being written
	ReasonUnconfirmed  Reason = "unsure" // leave from before may still be used
	ReasonOldWeights   Reason = "old"    // of weights that were replaced: it would be mixed when whole
	ReasonFirstRequest Reason = "once"   // a last part that was not asked for before
	ReasonFull         Reason = "full"   // no room without freeing what is wanted
	ReasonSave         Reason = "save"   // it is to be saved
)

// Decision says what may be done with a part.
type Decision struct {
	Reason    Reason
	Fetch     bool
	Save      bool
	FetchTime time.Duration // of a fetch, the queue included
	QueueTime time.Duration // of the link, before the fetch
	Claim     int64         // names the transfer that is counted on the link; zero: none is
	// Full says that the store would have to free parts that are still wanted.
	Full bool
}

type state int

const (
	saving  state = iota // leave to save was given; nothing was heard of it
	held                 // whole
	freeing              // the store was told to free it, or will be
)

type part struct {
	key     Key
	tokens  int
	weights uint64
	state   state
	since   time.Time // of the state
	used    time.Time
	leave   time.Time // until when some replica may fetch it
	claim   int64     // of the save that was allowed; zero: nobody may give it back
	// mixed is set if it became whole when newer weights were known already.
	mixed bool
}

// Params describe a store.
type Params struct {
	CapacityTokens int // room
	TokensPerSec   float64
	FirstByte      time.Duration
	// PreviousLeaseExpired is set if another keeper's lease ran out. It may give leave for ReadOnFor.
	PreviousLeaseExpired bool
}

// Cache is what is known of one store.
type Cache struct {
	p         Params
	parts     map[Key]*part
	taken     int
	newest    uint64            // version of weights seen in asks
	seen      map[Key]time.Time // last parts that were asked for once
	seenSwept time.Time
	link      *link
	lastLeave time.Time
	saveAfter time.Time
	freeAfter time.Time // another keeper's leave may last until then
	readers   time.Time // until when another keeper may give leave
}

// New returns the room of a store whose content is not known yet. Another daemon may have
// given leave until now, or goes on to for a while if its lease ran out.
func New(now time.Time, p Params) *Cache {
	r := &Cache{p: p, parts: map[Key]*part{}, seen: map[Key]time.Time{}, seenSwept: now, link: newLink(now, p.TokensPerSec), readers: now}
	if p.PreviousLeaseExpired {
		r.readers = now.Add(ReadOnlyGrace)
	}
	r.saveAfter = now.Add(ReadPermitTTL + leaveSlack)
	r.freeAfter = r.readers.Add(ReadPermitTTL + leaveSlack)
	return r
}

// Reset is told that the store came back empty.
func (r *Cache) Reset(now time.Time) {
	clear(r.parts)
	r.taken = 0
	r.link.reset(now)
	r.noSaveBefore(r.lastLeave.Add(leaveSlack))
	if now.Before(r.readers) {
		r.noSaveBefore(now.Add(readerLag + ReadPermitTTL + leaveSlack))
	}
}

// OnSameProcess is told that the store has not restarted since any leave was given that may
// still be in use. Nothing that somebody may fetch is missing then, so that saves need not
// wait.
func (r *Cache) OnSameProcess(now time.Time) { r.saveAfter = now }

// OtherOwnerUntil returns until when another keeper may give leave, as far as is known.
func (r *Cache) OtherOwnerUntil() time.Time { return r.readers }

// OnOtherOwner is told until when another keeper may give leave.
func (r *Cache) OnOtherOwner(until time.Time) {
	if until.After(r.readers) {
		r.readers = until
		r.freeAfter = until.Add(ReadPermitTTL + leaveSlack)
	}
}

func (r *Cache) noSaveBefore(t time.Time) {
	if t.After(r.saveAfter) {
		r.saveAfter = t
	}
}

// QueueTime returns the link's queue.
func (r *Cache) QueueTime(now time.Time) time.Duration { return r.link.queue(now) }

// UsedTokens returns the tokens of room that are taken or promised.
func (r *Cache) UsedTokens() int { return r.taken }

// CompleteParts returns the number of parts that are whole.
func (r *Cache) CompleteParts() int {
	n := 0
	for _, p := range r.parts {
		if p.state == held {
			n++
		}
	}
	return n
}

// Decide decides on one part. Leave to fetch lasts until now plus LeaveFor.
func (r *Cache) Decide(now time.Time, a PartRequest) Decision {
	r.newest = max(r.newest, a.Weights)
	r.link.recover(now)
	p, known := r.parts[a.Key]
	switch {
	case known && p.state == held && !p.mixed:
		return r.fetch(now, p, a)
	case known:
		return Decision{Reason: ReasonSaving}
	case now.Before(r.saveAfter) || a.ReadOnly:
		return Decision{Reason: ReasonUnconfirmed}
	case a.Weights < r.newest:
		return Decision{Reason: ReasonOldWeights}
	case a.Last && !r.seenBefore(now, a.Key):
		return Decision{Reason: ReasonFirstRequest}
	case r.QueueTime(now) > maxSaveQueue:
		return Decision{Reason: ReasonQueue}
	case !r.roomFor(now, a.Tokens):
		return Decision{Reason: ReasonFull, Full: true}
	}
	p = r.add(now, a, saving)
	p.claim = r.link.use(now, a.Tokens)
	return Decision{Reason: ReasonSave, Save: true, Claim: p.claim}
}

// Release is told that what Ask allowed is not used: no request was sent with it.
//
// A save that nobody makes would keep its part from being saved, and so from being fetched,
// until it counts as broken off. Its claim tells it from a save that another request was
// allowed since, and from one that broke off: those may write still.
func (r *Cache) Release(now time.Time, key Key, claim int64) {
	r.link.drop(now, claim)
	if p, known := r.parts[key]; known && claim != 0 && p.state == saving && p.claim == claim {
		r.remove(p)
	}
}

// seenBefore notes a last part and reports whether it was asked for before, within the
// time in which it is likely to return.
func (r *Cache) seenBefore(now time.Time, key Key) bool {
	if now.Sub(r.seenSwept) > keepFor {
		r.seenSwept = now
		for k, at := range r.seen {
			if now.Sub(at) > keepFor {
				delete(r.seen, k)
			}
		}
	}
	at, known := r.seen[key]
	r.seen[key] = now
	return known && now.Sub(at) <= keepFor
}

func (r *Cache) fetch(now time.Time, p *part, a PartRequest) Decision {
	queue := r.QueueTime(now)
	p.used = now
	if !a.Resident && queue > maxQueue {
		return Decision{Reason: ReasonQueue}
	}
	p.leave = now.Add(ReadPermitTTL)
	r.lastLeave = p.leave
	out := Decision{Reason: ReasonCached, Fetch: true, QueueTime: queue, FetchTime: queue + r.p.FirstByte + r.link.transfer(p.tokens)}
	if !a.Resident {
		out.Claim = r.link.use(now, p.tokens)
	}
	return out
}

// FetchResult is how a fetch went.
type FetchResult struct {
	Claim int64
	Took  time.Duration // so far, if it is overdue
	// Overdue is set if it has not ended, long after it should have.
	Overdue bool
	// Busy is set if the replica had much to do, or fetched from elsewhere as well, which may be
	// why it took so long.
	Busy bool
}

// OnFetched is told how a fetch went.
func (r *Cache) OnFetched(now time.Time, f FetchResult) {
	switch {
	case f.Overdue:
		r.link.onOverdue(now, f.Claim)
	case f.Busy:
		r.link.onEndedLate(now, f.Claim)
	default:
		r.link.onEnded(now, f.Claim, f.Took)
	}
}

// Slowness returns by how much transfers take longer than the link's speed says.
func (r *Cache) Slowness() float64 { return r.link.slowness }

func roundUp(tokens int) int { return (tokens + block - 1) / block * block }

func (r *Cache) add(now time.Time, a PartRequest, s state) *part {
	p := &part{key: a.Key, tokens: a.Tokens, weights: a.Weights, state: s, since: now, used: now}
	r.parts[a.Key] = p
	r.taken += roundUp(a.Tokens)
	return p
}

func (r *Cache) remove(p *part) {
	if r.parts[p.key] != p {
		return
	}
	delete(r.parts, p.key)
	r.taken -= roundUp(p.tokens)
}

// roomFor reports whether a part fits. While freeing is under way the store's room may be
// short for a moment; a save is then not tried.
func (r *Cache) roomFor(now time.Time, tokens int) bool {
	if r.taken+roundUp(tokens) <= int(fullAt*float64(r.p.CapacityTokens)) {
		return true
	}
	return r.taken+roundUp(tokens) <= r.p.CapacityTokens && len(r.unwanted(now)) > 0
}

// OnStored is told by the store that a part is whole. weights is what the salt says.
//
// A run may go on while its replica changes weights. Were it put back and read again then,
// its prompt would be saved under the name of the old weights and made by the new ones, and
// a request on the old ones would run on it. A part of old weights that becomes whole when
// newer ones are known is therefore never given out; old weights are used for some seconds
// more at most.
func (r *Cache) OnStored(now time.Time, key Key, tokens int, weights uint64) {
	p, known := r.parts[key]
	if !known {
		r.add(now, PartRequest{Key: key, Tokens: tokens, Weights: weights}, held).mixed = weights < r.newest
		return
	}
	if p.state == saving {
		r.taken += roundUp(tokens) - roundUp(p.tokens)
		p.tokens, p.state, p.since, p.mixed = tokens, held, now, p.weights < r.newest
	}
}

// OnRemoved is told by the store that a part is gone. A part that is being written now
// was gone before: the word of it came late.
func (r *Cache) OnRemoved(key Key) {
	if p, known := r.parts[key]; known && p.state != saving {
		r.remove(p)
	}
}
