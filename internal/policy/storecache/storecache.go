// Package storecache tracks the content of one context store. It decides which parts the
// store caches, which requests may fetch them and when parts are freed.
//
// A store does not track its readers and frees a part as soon as it is asked to. A request
// that fetches a part while the part is written or freed would run on memory that does not
// belong to its prompt. Therefore one daemon at a time owns the store, and three rules hold:
//
//   - A part may be fetched only after the store has reported it as complete.
//   - A read permit ends at a time that the replica checks. A part is freed only after all
//     permits for it have expired, including those of an owner whose lease expired.
//   - A part is written only where no earlier permit can still be valid. After the store was
//     found empty, or was owned by another daemon, writes wait until all permits have expired.
//
// The package is pure: it uses no clock, I/O, goroutine or randomness. A Cache is not safe
// for concurrent use.
package storecache

import (
	"time"
)

const (
	// ReadPermitTTL is how long a permit to fetch a part is valid. A replica does not start a
	// transfer that would wait for more than two seconds. With a shorter permit slow fetches
	// are abandoned and their prompts computed, which costs the replicas more than the wait.
	ReadPermitTTL = 2500 * time.Millisecond
	// permitSlack covers the error of the owner's estimate of the replicas' clock.
	permitSlack = 300 * time.Millisecond
	// ReadOnlyGrace is how long an owner whose lease expired may continue to grant read permits
	// for parts that it knows to be complete. An outage of the key-value service expires all
	// leases and prevents new ones; without the grace period all prompts would be computed
	// until the outage ends. Outages last a few seconds. The next owner frees nothing for the
	// same time.
	ReadOnlyGrace = 8 * time.Second
	// restartNoticeDelay is the longest delay after which such an owner notices that the store
	// restarted empty.
	restartNoticeDelay = 2 * time.Second
	// saveTimeout is how long a save may take before it counts as lost. A large prompt takes
	// 50 ms on an idle link.
	saveTimeout = 4 * time.Second
	// minRetention is the shortest time for which an unused part is cached. Most parts are
	// requested again within it, so that freeing one earlier to make space gains nothing.
	minRetention = 20 * time.Second
	// maxFetchQueue is the longest queue of the store's link at which a fetch is worthwhile.
	// Callers wait at most 600 ms for the first token, and computing a prompt takes 100 to
	// 200 ms.
	maxFetchQueue = 250 * time.Millisecond
	// maxSaveQueue is the longest queue at which a part is saved. Fetches take priority: a save
	// occupies the link for as long as a fetch, but only a fetch has an immediate benefit. A
	// save that would wait for over two seconds is lost and blocks another save of its part for
	// 4 s. On saturated links this limit cut the recomputed tokens of shared parts by an eighth.
	maxSaveQueue = 100 * time.Millisecond
	// highWatermark and lowWatermark are the shares of the capacity at which freeing begins and
	// ends. The gap above highWatermark holds the saves that arrive while parts are freed.
	highWatermark = 0.94
	lowWatermark  = 0.90
	// MinProcessAge is how long a store's process must have been known for a new owner to permit
	// saves at once. It exceeds the lifetime of every permit granted before the process was first
	// seen. An owner behind a network partition may notice a restart late.
	MinProcessAge = restartNoticeDelay + ReadPermitTTL + permitSlack
	// blockTokens is the number of tokens per unit of space that a store allocates.
	blockTokens = 16
	// maxParts bounds the parts for which a store has space, some 250 bytes each: callers may name very many with few tokens or none.
	maxParts = 1 << 16
)

// Key identifies a part in the store.
type Key struct{ Salt, ID string }

// PartRequest describes one part of a prompt that a request wants to use.
type PartRequest struct {
	Key
	Tokens  int
	Version uint64 // weights version that the part belongs to
	// Resident is set if the replica is assumed to have the part in memory. The transfer is then
	// not counted on the link.
	Resident bool
	// Last is set for the last part of a prompt. It may be unique to the request, so it is saved
	// only when it is requested a second time.
	Last bool
	// ReadOnly is set if the owner holds no valid lease. Nothing may be written then.
	ReadOnly bool
}

// Reason is the reason for a Decision.
type Reason string

// The reasons of a Decision.
const (
	ReasonCached       Reason = "held"   // the part may be fetched
	ReasonQueue        Reason = "queue"  // the link's queue is too long
	ReasonUnavailable  Reason = "saving" // the part is being written or freed, or newer weights may have computed it
	ReasonUnconfirmed  Reason = "unsure" // earlier permits may still be valid, or the owner holds no lease
	ReasonOldWeights   Reason = "old"    // newer weights are known; the saved part would never be fetched
	ReasonFirstRequest Reason = "once"   // a last part that was not requested before
	ReasonFull         Reason = "full"   // no space for the part
	ReasonSave         Reason = "save"   // the request is to save the part
)

// Decision states what a request may do with a part.
type Decision struct {
	Reason    Reason
	Fetch     bool
	Save      bool
	FetchTime time.Duration // duration of a fetch, including its time in the queue
	QueueTime time.Duration // time that the fetch waits for the link
	Claim     int64         // identifies the transfer that is reserved on the link; zero if there is none
	// Full is set with ReasonFull: the part does not fit, or it fits only above the high watermark and
	// no part may be freed now.
	Full bool
}

type partState int

const (
	saving   partState = iota // a save was permitted; the store has not confirmed it
	complete                  // the store confirmed the part
	freeing                   // the store was asked to free the part, or will be
)

type part struct {
	key            Key
	tokens         int
	weightsVersion uint64
	state          partState
	since          time.Time // time of the last state change
	lastUsed       time.Time
	permitUntil    time.Time // end of the last read permit
	claim          int64     // of the permitted save; zero if no request can release it
	// mixedWeights is set if the part became complete after newer weights were known.
	mixedWeights bool
}

// Params describes a store.
type Params struct {
	CapacityTokens int // size of the store
	TokensPerSec   float64
	FirstByte      time.Duration
	// PreviousLeaseExpired is set if the lease of another owner expired. That owner may grant
	// read permits for ReadOnlyGrace.
	PreviousLeaseExpired bool
}

// Cache is the assumed content of one store.
type Cache struct {
	params               Params
	parts                map[Key]*part
	usedTokens           int
	newestWeightsVersion uint64            // newest weight version in any request
	lastPartSeen         map[Key]time.Time // time of the last request for each last part
	seenSweptAt          time.Time
	link                 *link
	lastPermitUntil      time.Time
	saveAfter            time.Time
	freeAfter            time.Time // permits of another owner may be valid until then
	otherOwnerUntil      time.Time // another owner may grant permits until then
}

// New returns the cache of a store whose content is not known yet. Another daemon may have
// granted permits until now, or may continue to do so for ReadOnlyGrace if its lease expired.
func New(now time.Time, p Params) *Cache {
	c := &Cache{params: p, parts: map[Key]*part{}, lastPartSeen: map[Key]time.Time{}, seenSweptAt: now, link: newLink(now, p.TokensPerSec), otherOwnerUntil: now}
	if p.PreviousLeaseExpired {
		c.otherOwnerUntil = now.Add(ReadOnlyGrace)
	}
	c.saveAfter = now.Add(ReadPermitTTL + permitSlack)
	c.freeAfter = c.otherOwnerUntil.Add(ReadPermitTTL + permitSlack)
	return c
}

// Reset records that the store restarted empty.
func (c *Cache) Reset(now time.Time) {
	clear(c.parts)
	c.usedTokens = 0
	c.link.reset(now)
	c.delaySavesUntil(c.lastPermitUntil.Add(permitSlack))
	if now.Before(c.otherOwnerUntil) {
		c.delaySavesUntil(now.Add(restartNoticeDelay + ReadPermitTTL + permitSlack))
	}
}

// OnSameProcess records that the store has not restarted since the first permit that may
// still be valid was granted. No part with a valid permit can be missing, so saves need not
// wait.
func (c *Cache) OnSameProcess(now time.Time) { c.saveAfter = now }

// OtherOwnerUntil returns the latest time at which another owner is assumed to grant permits.
func (c *Cache) OtherOwnerUntil() time.Time { return c.otherOwnerUntil }

// OnOtherOwner records until when another owner may grant permits.
func (c *Cache) OnOtherOwner(until time.Time) {
	if until.After(c.otherOwnerUntil) {
		c.otherOwnerUntil = until
		c.freeAfter = until.Add(ReadPermitTTL + permitSlack)
	}
}

func (c *Cache) delaySavesUntil(t time.Time) {
	if t.After(c.saveAfter) {
		c.saveAfter = t
	}
}

// QueueTime returns how long a new transfer would wait for the link.
func (c *Cache) QueueTime(now time.Time) time.Duration { return c.link.queueTime(now) }

// UsedTokens returns the space in tokens that is occupied or reserved.
func (c *Cache) UsedTokens() int { return c.usedTokens }

// CompleteParts returns the number of complete parts.
func (c *Cache) CompleteParts() int {
	n := 0
	for _, p := range c.parts {
		if p.state == complete {
			n++
		}
	}
	return n
}

// Decide decides what a request may do with one part. A read permit is valid for
// ReadPermitTTL from now.
func (c *Cache) Decide(now time.Time, a PartRequest) Decision {
	c.newestWeightsVersion = max(c.newestWeightsVersion, a.Version)
	c.link.decaySlowness(now)
	p, known := c.parts[a.Key]
	switch {
	case known && p.state == complete && !p.mixedWeights:
		return c.decideFetch(now, p, a)
	case known:
		return Decision{Reason: ReasonUnavailable}
	case now.Before(c.saveAfter) || a.ReadOnly:
		return Decision{Reason: ReasonUnconfirmed}
	case a.Version < c.newestWeightsVersion:
		return Decision{Reason: ReasonOldWeights}
	case a.Last && !c.recordLastPart(now, a.Key):
		return Decision{Reason: ReasonFirstRequest}
	case c.QueueTime(now) > maxSaveQueue:
		return Decision{Reason: ReasonQueue}
	case !c.hasSpaceFor(now, a.Tokens):
		return Decision{Reason: ReasonFull, Full: true}
	}
	p = c.add(now, a, saving)
	p.claim = c.link.reserve(now, a.Tokens)
	return Decision{Reason: ReasonSave, Save: true, Claim: p.claim}
}

// Release cancels what Decide permitted, after the request turned out not to use it.
//
// A save that no request makes would prevent its part from being saved, and so from being
// fetched, until the save counts as lost. The claim distinguishes the released save from one
// that was permitted to another request since, and from one that was interrupted: both may
// still be writing.
func (c *Cache) Release(now time.Time, key Key, claim int64) {
	c.link.cancel(now, claim)
	if p, known := c.parts[key]; known && claim != 0 && p.state == saving && p.claim == claim {
		c.remove(p)
	}
}

// recordLastPart records a request for a last part. It reports whether the part was already
// requested within minRetention, the time in which it is likely to be used again.
func (c *Cache) recordLastPart(now time.Time, key Key) bool {
	if now.Sub(c.seenSweptAt) > minRetention {
		c.seenSweptAt = now
		for k, at := range c.lastPartSeen {
			if now.Sub(at) > minRetention {
				delete(c.lastPartSeen, k)
			}
		}
	}
	at, known := c.lastPartSeen[key]
	c.lastPartSeen[key] = now
	return known && now.Sub(at) <= minRetention
}

func (c *Cache) decideFetch(now time.Time, p *part, a PartRequest) Decision {
	queue := c.QueueTime(now)
	p.lastUsed = now
	if !a.Resident && queue > maxFetchQueue {
		return Decision{Reason: ReasonQueue}
	}
	p.permitUntil = now.Add(ReadPermitTTL)
	c.lastPermitUntil = p.permitUntil
	out := Decision{Reason: ReasonCached, Fetch: true, QueueTime: queue, FetchTime: queue + c.params.FirstByte + c.link.transferTime(p.tokens)}
	if !a.Resident {
		out.Claim = c.link.reserve(now, p.tokens)
	}
	return out
}

// FetchResult reports the outcome of a fetch.
type FetchResult struct {
	Claim int64
	Took  time.Duration // time elapsed until now, if the fetch is overdue
	// Overdue is set if the fetch has not ended long after its expected time.
	Overdue bool
	// Busy is set if the replica was loaded or also fetched from another store. Either may
	// explain a long fetch.
	Busy bool
}

// OnFetched records the outcome of a fetch.
func (c *Cache) OnFetched(now time.Time, f FetchResult) {
	switch {
	case f.Overdue:
		c.link.onOverdue(now, f.Claim)
	case f.Busy:
		c.link.onEndedBusy(now, f.Claim)
	default:
		c.link.onEnded(now, f.Claim, f.Took)
	}
}

// Slowness returns the factor by which transfers exceed the time that the link's configured
// speed implies.
func (c *Cache) Slowness() float64 { return c.link.slowness }

// space returns the space in tokens that a part counts for.
func (c *Cache) space(tokens int) int {
	return max((tokens+blockTokens-1)/blockTokens*blockTokens, blockTokens, c.params.CapacityTokens/maxParts)
}

func (c *Cache) add(now time.Time, a PartRequest, s partState) *part {
	p := &part{key: a.Key, tokens: a.Tokens, weightsVersion: a.Version, state: s, since: now, lastUsed: now}
	c.parts[a.Key] = p
	c.usedTokens += c.space(a.Tokens)
	return p
}

func (c *Cache) remove(p *part) {
	if c.parts[p.key] != p {
		return
	}
	delete(c.parts, p.key)
	c.usedTokens -= c.space(p.tokens)
}

// hasSpaceFor reports whether a part fits. The store may briefly lack space while parts are
// freed; a save is not attempted then.
func (c *Cache) hasSpaceFor(now time.Time, tokens int) bool {
	if c.usedTokens+c.space(tokens) <= int(highWatermark*float64(c.params.CapacityTokens)) {
		return true
	}
	return c.usedTokens+c.space(tokens) <= c.params.CapacityTokens && len(c.freeable(now)) > 0
}

// OnStored records the store's report that a part is complete. weightsVersion is the one that
// the part's salt encodes.
//
// A run may continue while its replica changes weights. If the run is preempted and its
// prompt computed again at that time, the prompt is saved under the salt of the old weights
// although the new ones computed it, and a request on the old weights would use it.
// Therefore a part of old weights that becomes complete after newer ones are known is never
// fetched. Old weights remain in use for a few more seconds at most.
func (c *Cache) OnStored(now time.Time, key Key, tokens int, weightsVersion uint64) {
	p, known := c.parts[key]
	if !known {
		c.add(now, PartRequest{Key: key, Tokens: tokens, Version: weightsVersion}, complete).mixedWeights = weightsVersion < c.newestWeightsVersion
		return
	}
	if p.state == saving {
		c.usedTokens += c.space(tokens) - c.space(p.tokens)
		p.tokens, p.state, p.since, p.mixedWeights = tokens, complete, now, p.weightsVersion < c.newestWeightsVersion
	}
}

// OnRemoved records the store's report that a part was removed. A report about a part that is
// being written refers to an earlier copy and arrived late.
func (c *Cache) OnRemoved(key Key) {
	if p, known := c.parts[key]; known && p.state != saving {
		c.remove(p)
	}
}
