// Package memory decides what a daemon may hold in memory for callers: heads and bodies of requests, buffered
// answers and the buffers of streams.
//
// Invariant: heads, bodies, the buffers of their requests and buffered answers together never exceed Capacity, apart from
// one body that is larger than Capacity allows and is accepted only if Ceiling has room for both. A burst of large
// bodies or one organisation's requests therefore neither exhaust the VM's memory nor keep small urgent requests out.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness.
package memory

import (
	"fmt"
	"math"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Kind is what bytes are held for.
type Kind int

// The kinds of held bytes.
const (
	Body   Kind = iota // of a request
	Answer             // complete response, until the caller has taken it
	Stream             // buffers of a stream, taken with its request's body
	Head               // of a request, until it has been answered
	kinds
)

// Kinds lists all kinds.
var Kinds = []Kind{Body, Answer, Stream, Head}

// String returns the name of the kind in metrics and state dumps.
func (k Kind) String() string { return [...]string{"bodies", "answers", "streams", "heads"}[k] }

const (
	// smallBytes is the size up to which a body or a head counts as small. Most requests are smaller.
	smallBytes = 64 << 10
	// headShare and largeHeadShare are the shares of Capacity of which a small and a large head can use a part. Large heads leave room
	// for small ones, and all heads for bodies, without which a head is of no use.
	headShare      = 0.95
	largeHeadShare = 0.5
	// reserveShare is the share of Capacity of which large bodies and less urgent requests can use only a part.
	reserveShare = 0.3
	// rateWindow is the time constant of the rate at which bytes become free.
	rateWindow = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Params bounds a Budget.
type Params struct {
	Capacity int64 // bytes; zero or less: unlimited
	Ceiling  int64 // bytes that the VM can hold for requests at most
	// OrgShare is the share of Capacity that an organisation may hold while no other holds anything,
	// above 0 and below 1.
	OrgShare float64
}

// Ask describes who wants to hold bytes.
type Ask struct {
	Org      request.OrgID // empty for callers without a key, which count as one organisation
	Priority int           // 0 is the most urgent
	// Stream is the size of the buffers of the request's stream in bytes; zero: it is none.
	Stream int64
}

// Reason is why a body was refused.
type Reason string

// Reasons of refusals.
const (
	ReasonFull Reason = "full"         // the capacity that requests of this priority and size may use is in use
	ReasonOrg  Reason = "organisation" // the organisation holds its part
	ReasonSize Reason = "size"         // the body is larger than its part of Capacity, and so is another one, or the VM can't hold it
)

// Refusal is the error of a body that may not be held.
type Refusal struct {
	Reason     Reason
	Bytes      int64         // that were asked for
	Held       int64         // bytes held by the daemon
	RetryAfter time.Duration // until enough bytes are expected to be free
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no memory for %d bytes (%s): %d are held", r.Bytes, r.Reason, r.Held)
}

// Hold is a number of bytes taken from a Budget. The zero value holds nothing.
type Hold struct {
	kind     Kind
	ask      Ask
	bytes    int64 // of the body or the answer
	stream   int64 // of the buffers of a stream
	oversize bool  // held beside Capacity
}

// Bytes returns the number of bytes held for the body or the answer.
func (h *Hold) Bytes() int64 { return h.bytes }

// Oversize reports whether the bytes are held beside Capacity.
func (h *Hold) Oversize() bool { return h.oversize }

func (h *Hold) total() int64 { return h.bytes + h.stream }

// Budget counts held bytes. It is not safe for concurrent use.
type Budget struct {
	p        Params
	held     [kinds]int64
	used     int64 // part of held that counts towards Capacity
	oversize int64 // bytes of the body that is held beside Capacity
	// oversizeOrg is the organisation of that body.
	oversizeOrg request.OrgID
	orgs        map[request.OrgID]int64

	freed   float64 // bytes given back, decaying with rateWindow
	freedAt time.Time
}

// New returns an empty Budget.
func New(p Params) *Budget { return &Budget{p: p, orgs: map[request.OrgID]int64{}} }

// Held returns the bytes held for a kind.
func (b *Budget) Held(k Kind) int64 { return b.held[k] }

// HeldByOrg returns the bytes held for an organisation.
func (b *Budget) HeldByOrg(org request.OrgID) int64 { return b.orgs[org] }

// Organisations returns the number of organisations for which bytes are held.
func (b *Budget) Organisations() int { return len(b.orgs) }

// Params returns the bounds.
func (b *Budget) Params() Params { return b.p }

// TakeBody takes bytes for a request's body and the buffers of its stream.
func (b *Budget) TakeBody(now time.Time, ask Ask, bytes int64) (Hold, *Refusal) {
	ask.Stream = max(0, ask.Stream)
	h := Hold{kind: Body, ask: ask}
	refusal := b.grow(now, &h, bytes, ask.Stream)
	return h, refusal
}

// Grow adds bytes to a body. If it refuses, the body still holds what it held before.
func (b *Budget) Grow(now time.Time, h *Hold, more int64) *Refusal { return b.grow(now, h, more, 0) }

// grow adds bytes to the body and to the buffers of a request.
func (b *Budget) grow(now time.Time, h *Hold, body, stream int64) *Refusal {
	body = max(0, body)
	if body > math.MaxInt64-h.total()-stream {
		return b.refuseSize(body)
	}
	if h.oversize || !b.mayEverFit(h.ask, h.bytes+body, h.total()+body+stream) {
		return b.growOversize(h, body, stream)
	}
	if reason := b.check(h.ask, body+stream, b.limit(h.ask, h.bytes+body)); reason != "" {
		return b.refuse(now, reason, h.ask, h.bytes+body, body+stream)
	}
	b.add(h, body, stream)
	return nil
}

// TakeAnswer takes bytes for a buffered answer. It returns false if there is no room; the
// answer must then be passed on without buffering.
func (b *Budget) TakeAnswer(org request.OrgID, bytes int64) (Hold, bool) {
	h := Hold{kind: Answer, ask: Ask{Org: org}}
	ok := b.GrowAnswer(&h, bytes)
	return h, ok
}

// GrowAnswer adds bytes to a buffered answer. It returns false if there is no room.
func (b *Budget) GrowAnswer(h *Hold, more int64) bool {
	more = max(0, more)
	if b.check(h.ask, more, b.p.Capacity) != "" {
		return false
	}
	b.add(h, more, 0)
	return true
}

// GrowHead adds bytes to the head of a request, whose organisation is not known yet. If it refuses, the head still holds what it held
// before.
func (b *Budget) GrowHead(now time.Time, h *Hold, more int64) *Refusal {
	h.kind = Head
	more = max(0, more)
	limit := b.headLimit(h.bytes + more)
	if !b.unlimited() && more > limit-b.used {
		return &Refusal{Reason: ReasonFull, Bytes: more, Held: b.total(), RetryAfter: b.retryAfter(now, float64(b.used+more-limit))}
	}
	h.bytes += more
	b.held[Head] += more
	b.used += more
	return nil
}

// headLimit returns how much of Capacity may be in use after a head of a size is accepted.
func (b *Budget) headLimit(size int64) int64 {
	share := headShare
	if size > smallBytes {
		share = largeHeadShare
	}
	return int64(share * float64(b.p.Capacity))
}

// Release gives back all bytes of h, which holds nothing afterwards.
func (b *Budget) Release(now time.Time, h *Hold) {
	total := h.total()
	if total == 0 && !h.oversize {
		return
	}
	b.held[h.kind] -= h.bytes
	b.held[Stream] -= h.stream
	if h.oversize {
		b.oversize = 0
	} else {
		b.used -= total
	}
	if h.kind != Head {
		b.releaseOrg(h.ask.Org, total)
	}
	b.freed = b.freedRecently(now) + float64(total)
	b.freedAt = now
	h.bytes, h.stream, h.oversize = 0, 0, false
}

func (b *Budget) releaseOrg(org request.OrgID, bytes int64) {
	if b.orgs[org] -= bytes; b.orgs[org] <= 0 {
		delete(b.orgs, org)
	}
}

func (b *Budget) unlimited() bool { return b.p.Capacity <= 0 }

// limit returns how much of Capacity may be in use after a body is accepted. The unusable part of the reserve
// is a half for the first step away from a small body of priority 0, then three quarters, and so on.
func (b *Budget) limit(ask Ask, size int64) int64 {
	steps := max(0, ask.Priority)
	if size > smallBytes {
		steps++
	}
	unusable := reserveShare * (1 - math.Pow(0.5, float64(steps)))
	return int64(float64(b.p.Capacity) * (1 - unusable))
}

// check returns why bytes can't be taken, or "".
func (b *Budget) check(ask Ask, more, limit int64) Reason {
	if b.unlimited() {
		return ""
	}
	if more > limit-b.used {
		return ReasonFull
	}
	if float64(b.orgUsed(ask.Org)+more) > b.orgFactor()*float64(b.p.Capacity-b.used-more) {
		return ReasonOrg
	}
	return ""
}

// orgUsed returns what an organisation holds, without a body that is held beside Capacity.
func (b *Budget) orgUsed(org request.OrgID) int64 {
	if org == b.oversizeOrg {
		return b.orgs[org] - b.oversize
	}
	return b.orgs[org]
}

// orgFactor returns the multiple of the free bytes that an organisation may hold. An organisation that holds s
// of a capacity of 1 alone leaves 1-s free.
func (b *Budget) orgFactor() float64 { return b.p.OrgShare / (1 - b.p.OrgShare) }

// mayEverFit reports whether a request would fit into an empty budget. total is its body and its buffers.
func (b *Budget) mayEverFit(ask Ask, body, total int64) bool {
	alone := min(b.limit(ask, body), int64(b.p.OrgShare*float64(b.p.Capacity)))
	return b.unlimited() || total <= alone
}

// growOversize adds bytes to a request that is or becomes larger than its part of Capacity.
func (b *Budget) growOversize(h *Hold, body, stream int64) *Refusal {
	used := b.used
	if !h.oversize {
		used -= h.total()
	}
	room := b.p.Ceiling - max(0, b.p.Capacity, used) - h.total()
	if !h.oversize && b.oversize > 0 || body+stream > room {
		return b.refuseSize(body)
	}
	if !h.oversize {
		b.used = used
		b.oversize, b.oversizeOrg = h.total(), h.ask.Org
		h.oversize = true
	}
	b.add(h, body, stream)
	return nil
}

func (b *Budget) add(h *Hold, more, stream int64) {
	if more+stream == 0 {
		return
	}
	h.bytes += more
	h.stream += stream
	b.held[h.kind] += more
	b.held[Stream] += stream
	b.orgs[h.ask.Org] += more + stream
	if h.oversize {
		b.oversize = h.total()
		return
	}
	b.used += more + stream
}

func (b *Budget) total() int64 { return b.used + b.oversize }

func (b *Budget) refuseSize(bytes int64) *Refusal {
	return &Refusal{Reason: ReasonSize, Bytes: bytes, Held: b.total(), RetryAfter: maxRetryAfter}
}

// refuse returns the refusal of a request whose body would have a size. Its RetryAfter is the time in which the missing
// bytes become free at the current rate.
func (b *Budget) refuse(now time.Time, reason Reason, ask Ask, size, more int64) *Refusal {
	missing := float64(b.used + more - b.limit(ask, size))
	if reason == ReasonOrg {
		missing = float64(b.orgUsed(ask.Org)+more) - b.orgFactor()*float64(b.p.Capacity-b.used-more)
	}
	return &Refusal{Reason: reason, Bytes: more, Held: b.total(), RetryAfter: b.retryAfter(now, missing)}
}

// retryAfter returns the time in which missing bytes become free at the current rate.
func (b *Budget) retryAfter(now time.Time, missing float64) time.Duration {
	wait := maxRetryAfter
	if rate := b.freedRecently(now) / rateWindow.Seconds(); rate > 0 {
		wait = time.Duration(min(missing/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	return max(minRetryAfter, wait)
}

// freedRecently returns the bytes given back in about the last rateWindow.
func (b *Budget) freedRecently(now time.Time) float64 {
	age := max(0, now.Sub(b.freedAt))
	return b.freed * math.Exp(-age.Seconds()/rateWindow.Seconds())
}
