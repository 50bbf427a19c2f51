package contextstore

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/policy/storeroom"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// Event is a change of a store's content.
type Event struct {
	Stored bool // or removed
	Key    storeroom.Key
	Tokens int
}

// Content is what a store tells of itself.
type Content struct {
	Epoch   uint64 // changes at each start
	Next    uint64
	Lost    bool // events are missing
	ClockMs int64
	Events  []Event
	Whole   []storeroom.Ask // of a list
	Partial []storeroom.Ask
}

// Calls carries out calls to stores.
type Calls interface {
	// Events waits for changes after a number. It gives up a store that does not answer soon after
	// the wait, but takes an answer that comes, however long that lasts.
	Events(ctx context.Context, address string, after uint64, wait time.Duration) (Content, error)
	// List reads all that a store holds; it gives up like Events.
	List(ctx context.Context, address string) (Content, error)
	// Free frees parts, unless the store has restarted or its clock is past a time.
	Free(ctx context.Context, address string, keys []storeroom.Key, epoch uint64, until int64) error
}

// kept is a store that this daemon keeps.
type kept struct {
	id      routing.ServiceID
	address string
	tokens  int // room
	calls   Calls
	log     hclog.Logger
	metrics tally.Scope
	records records
	// readFrom is when leave may be given first. A daemon that starts again keeps its stores
	// at once, without a lease running out before: what its earlier process asked to be freed
	// just before it ended may be carried out until then.
	readFrom time.Time

	mu       sync.Mutex
	lease    *lease.Lease
	heldAt   time.Time // when the lease was known to be held
	retired  bool      // given back, or another daemon keeps the store
	room     *storeroom.Room
	epoch    uint64
	next     uint64
	listed   bool
	listedAt time.Time
	heardAt  time.Time
	// inherited is set once what the keepers before wrote down of the store is known, and
	// what this one knows is written down.
	inherited bool
	// inheritAt is when that is tried again at the soonest.
	inheritAt time.Time
	// clockMs is the replicas' clock at clockAt, a little less than the truth, so that leave
	// ends too early rather than too late. It is carried on by the steady clock: were it kept
	// as the difference to the time of day, leave given after that was set ahead by 2 s would
	// last 2 s longer than the room knows, and its parts be freed under their readers.
	clockMs int64
	clockAt time.Time
	// reasons count the answers since the last line of the log.
	reasons map[storeroom.Reason]int
}

// weightsOf returns the version that a salt stands for; zero if it is not one of ours.
func weightsOf(salt string) uint64 {
	digits, _, _ := strings.Cut(strings.TrimPrefix(salt, "w"), ".")
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (k *kept) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go k.tend(ctx)
	for ctx.Err() == nil && k.serves(time.Now()) {
		if err := k.follow(ctx); err != nil && ctx.Err() == nil {
			k.log.Info("A store does not answer", "store", k.id, "error", err)
			_ = sleep.For(ctx, failPause) // the loop asks the context itself
			continue
		}
		k.learn(ctx)
		_ = sleep.For(ctx, followPause) // the loop asks the context itself
	}
	k.log.Info("A store is no longer kept here", "store", k.id)
}

// follow reads the store's changes, or all of it where changes are missing.
func (k *kept) follow(ctx context.Context) error {
	k.mu.Lock()
	must := !k.listed || k.room.Overdue(time.Now()) && time.Since(k.listedAt) > listAtMost
	k.mu.Unlock()
	if !must {
		return k.read(ctx, followWait)
	}
	if err := k.list(ctx); err != nil {
		return err
	}
	return k.read(ctx, 0) // a list does not tell the clock
}

// learn takes over from the keepers before, as soon as the store has told its clock.
func (k *kept) learn(ctx context.Context) {
	k.mu.Lock()
	now := time.Now()
	due := k.listed && !k.inherited && !k.clockAt.IsZero() && !now.Before(k.inheritAt)
	if due {
		k.inheritAt = now.Add(inheritEvery)
	}
	k.mu.Unlock()
	if !due {
		return
	}
	if err := k.inherit(ctx); err != nil {
		k.log.Info("What is known of a store could not be taken over", "store", k.id, "error", err)
	}
}

// read takes the store's changes after the last one known, and its clock. It waits for some
// changes.
func (k *kept) read(ctx context.Context, wait time.Duration) error {
	k.mu.Lock()
	after := k.next
	k.mu.Unlock()
	c, err := k.calls.Events(ctx, k.address, after, wait)
	if err != nil {
		return err
	}
	k.take(c)
	return nil
}

func (k *kept) list(ctx context.Context) error {
	c, err := k.calls.List(ctx, k.address)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.heard(now, c)
	k.listed, k.listedAt, k.next = true, now, c.Next
	k.room.OnList(now, withWeights(c.Whole), withWeights(c.Partial))
	return nil
}

// withWeights adds the versions that made the parts of a list; their salts tell. Without them
// all that a store held when it was listed counted as made by older weights: a new keeper
// freed it first.
func withWeights(parts []storeroom.Ask) []storeroom.Ask {
	out := slices.Clone(parts)
	for i := range out {
		out[i].Weights = weightsOf(out[i].Salt)
	}
	return out
}

func (k *kept) take(c Content) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.heard(now, c)
	k.next = c.Next
	if c.Lost {
		k.listed = false
	}
	for _, e := range c.Events {
		if e.Stored {
			k.room.OnStored(now, e.Key, e.Tokens, weightsOf(e.Key.Salt))
		} else {
			k.room.OnRemoved(e.Key)
		}
	}
}

// heard notes that the store lives, and whether it has restarted.
func (k *kept) heard(now time.Time, c Content) {
	k.heardAt = now
	if c.ClockMs > 0 {
		k.clockMs, k.clockAt = c.ClockMs, now
	}
	if k.epoch != 0 && k.epoch != c.Epoch {
		k.log.Warn("A store has restarted", "store", k.id)
		k.room.Reset(now)
		k.listed, k.inherited = false, false
	}
	k.epoch = c.Epoch
}

// tend frees what the room needs.
func (k *kept) tend(ctx context.Context) {
	told := time.Now()
	for ctx.Err() == nil {
		_ = sleep.For(ctx, keepEvery) // the loop asks the context itself
		k.free(ctx)
		if time.Since(told) >= tellEvery {
			told = time.Now()
			k.tell()
		}
	}
}

// tell logs what was answered lately.
func (k *kept) tell() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.reasons) == 0 {
		return
	}
	args := []any{
		"store", k.id, "parts", k.room.Parts(), "tokens", k.room.Taken(), "room", k.tokens,
		"queue_ms", k.room.Queue(time.Now()).Milliseconds(), "slowness", k.room.Slowness(),
	}
	for _, reason := range slices.Sorted(maps.Keys(k.reasons)) {
		args = append(args, string(reason), k.reasons[reason])
	}
	k.log.Info("A store's keeper answered", args...)
	clear(k.reasons)
}

func (k *kept) free(ctx context.Context) {
	k.mu.Lock()
	if !k.ready(time.Now()) || !k.inherited || !k.lease.MayAct(freeTimeout) {
		k.mu.Unlock()
		return
	}
	keys := k.room.Free(time.Now())
	epoch := k.epoch
	until := k.replicaClock(time.Now().Add(freeTimeout))
	k.mu.Unlock()
	for len(keys) > 0 {
		n := min(len(keys), maxFree)
		k.freeSome(ctx, keys[:n], epoch, until)
		keys = keys[n:]
	}
}

func (k *kept) freeSome(ctx context.Context, keys []storeroom.Key, epoch uint64, until int64) {
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	err := k.calls.Free(ctx, k.address, keys, epoch, until)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.log.Info("Parts could not be freed", "store", k.id, "parts", len(keys), "error", err)
		k.room.OnKept(time.Now(), keys)
		return
	}
	for _, key := range keys {
		k.room.OnRemoved(key)
	}
}

// ready reports whether the store's content and clock are known and the store lives.
func (k *kept) ready(now time.Time) bool {
	return k.listed && !k.clockAt.IsZero() && !now.Before(k.readFrom) && now.Sub(k.heardAt) < deafAfter && k.servesLocked(now)
}

// serves reports whether leave may be given here: while the lease is held, and for some time
// after it ran out.
func (k *kept) serves(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.servesLocked(now)
}

func (k *kept) servesLocked(now time.Time) bool {
	if k.retired {
		return false
	}
	if k.lease.Valid() {
		k.heldAt = now
		return true
	}
	// The clock that timers use stands still while a VM is suspended, the time of day does
	// not: both must agree.
	return now.Sub(k.heldAt) < storeroom.ReadOnFor && now.Round(0).Sub(k.heldAt.Round(0)) < storeroom.ReadOnFor
}

// holds reports whether the store's lease is held.
func (k *kept) holds() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.retired && k.lease.Valid()
}

func (k *kept) epochOfLease() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Epoch()
}

// retire ends the keeping of the store here, and returns the lease.
func (k *kept) retire() *lease.Lease {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retired = true
	return k.lease
}

// resume goes on under a new lease if nobody else can have kept the store in between: each
// holder has the next epoch.
func (k *kept) resume(l *lease.Lease) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.retired || l.Epoch() != k.lease.Epoch()+1 {
		return false
	}
	k.lease = l
	return true
}

// mayRelease reports whether the next keeper can know all that this one knew of others that
// may give leave.
func (k *kept) mayRelease() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.inherited || !time.Now().Before(k.room.Readers())
}

func (k *kept) replicaClock(t time.Time) int64 {
	return k.clockMs + t.Sub(k.clockAt).Milliseconds()
}

// claim decides on parts. The second result is false if the store can't be used now.
func (k *kept) claim(salt string, weights uint64, asks []*PartAsk) ([]*PartAnswer, int64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if !k.ready(now) {
		return nil, 0, false
	}
	lapsed := !k.lease.Valid()
	answers := make([]*PartAnswer, len(asks))
	for i, a := range asks {
		answer := k.room.Ask(now, storeroom.Ask{
			Key: storeroom.Key{Salt: salt, ID: a.Id}, Tokens: int(a.Tokens), Weights: weights, Resident: a.Resident, Last: a.Last, ReadOnly: lapsed,
		})
		k.reasons[answer.Reason]++
		k.metrics.Tagged(map[string]string{"reason": string(answer.Reason)}).Counter("store_asks").Inc(1)
		answers[i] = &PartAnswer{
			Fetch: answer.Fetch, Save: answer.Save, Full: answer.Full, TakesUs: int32(answer.Takes.Microseconds()),
			NotKept: lapsed, Claim: answer.Claim, QueueUs: int32(answer.Queue.Microseconds()),
		}
	}
	return answers, k.replicaClock(now.Add(storeroom.LeaveFor)), true
}

// release takes back what claim allowed for a part.
func (k *kept) release(key storeroom.Key, claim int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.room.Release(time.Now(), key, claim)
}

// fetched notes how a fetch went.
func (k *kept) fetched(f storeroom.Fetched) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.room.OnFetched(time.Now(), f)
}
