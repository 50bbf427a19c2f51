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
	"github.com/bluebellscale/bluebellscale/internal/policy/storecache"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// Event is a change of a store's content.
type Event struct {
	Stored bool // false if the part was removed
	Key    storecache.Key
	Tokens int
}

// Content is what a context store reports about its content.
type Content struct {
	Epoch uint64 // changes at each start of the store
	// Next is the number of the last event that the content includes. Passed to Events, it returns the
	// events that follow.
	Next uint64
	Lost bool // events are missing
	// ClockMs is the time on the replicas' clock, in ms: the clock that context stores and replicas
	// share, and by which permits expire. Daemons know it only from the stores. Zero in a list.
	ClockMs  int64
	Events   []Event
	Complete []storecache.PartRequest // set by a list
	Partial  []storecache.PartRequest
}

// StoreAPI is the interface of the context stores.
type StoreAPI interface {
	// Events waits for changes with a number above next, the Next of the last content. It fails if
	// no response has begun shortly after wait. A response that has begun is read to its end,
	// however long that takes, unless the connection stalls.
	Events(ctx context.Context, address string, next uint64, wait time.Duration) (Content, error)
	// List reads the complete content of a store, with the time limits of Events.
	List(ctx context.Context, address string) (Content, error)
	// Free frees parts, unless the store has restarted since storeEpoch or the replicas' clock is
	// past until.
	Free(ctx context.Context, address string, keys []storecache.Key, storeEpoch uint64, until int64) error
}

// ownedStore is a store that this daemon owns.
type ownedStore struct {
	id             routing.ServiceID
	address        string
	capacityTokens int // size of the store
	api            StoreAPI
	log            hclog.Logger
	metrics        tally.Scope
	records        recordStore
	// permitFrom is when the first permit may be granted. A restarted daemon reacquires its
	// stores at once, before any lease expires. Until permitFrom the store may still carry out
	// a free call that the previous process sent just before it ended.
	permitFrom time.Time

	mu           sync.Mutex
	lease        *lease.Lease
	leaseValidAt time.Time // last time at which the lease was valid
	retired      bool      // released, or owned by another daemon
	cache        *storecache.Cache
	storeEpoch   uint64 // changes at each start of the store; zero: not known yet
	nextEvent    uint64
	listed       bool
	listedAt     time.Time
	lastContact  time.Time
	// recordAdopted is set once the record of the previous owners has been read and this owner's
	// state is recorded.
	recordAdopted bool
	// adoptRecordAt is the earliest time of the next attempt to adopt the record.
	adoptRecordAt time.Time
	// clockMs is the replicas' clock at clockAt; see Content.ClockMs. It errs on the early side, so
	// that permits end too early rather than too late. The monotonic clock advances it. If it were
	// an offset to the wall clock, setting that clock ahead by 2 s would extend later permits by
	// 2 s beyond what the cache assumes, and parts would be freed while replicas read them.
	clockMs int64
	clockAt time.Time
	// reasons counts the decisions since the last log line.
	reasons map[storecache.Reason]int
}

// weightsOf returns the weight version that a salt encodes; zero if no daemon made the salt.
func weightsOf(salt string) uint64 {
	digits, _, _ := strings.Cut(strings.TrimPrefix(salt, "w"), ".")
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (s *ownedStore) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.runMaintenance(ctx)
	for ctx.Err() == nil && s.mayGrant(time.Now()) {
		if err := s.follow(ctx); err != nil && ctx.Err() == nil {
			s.log.Info("A context store did not respond", "store", s.id, "error", err)
			_ = sleep.For(ctx, retryInterval) // the loop checks ctx itself
			continue
		}
		s.adoptRecordIfDue(ctx)
		_ = sleep.For(ctx, followInterval) // the loop checks ctx itself
	}
	s.log.Info("No longer owner of a context store", "store", s.id)
}

// follow reads the store's changes, or its complete content if changes are missing.
func (s *ownedStore) follow(ctx context.Context) error {
	s.mu.Lock()
	needsList := !s.listed || s.cache.NeedsListing(time.Now()) && time.Since(s.listedAt) > minListInterval
	s.mu.Unlock()
	if !needsList {
		return s.readEvents(ctx, followWait)
	}
	if err := s.list(ctx); err != nil {
		return err
	}
	return s.readEvents(ctx, 0) // a list does not include the clock
}

// adoptRecordIfDue takes over the record of the previous owners' permits as soon as the content of the
// store and the replicas' clock are known. It retries after adoptRecordInterval.
func (s *ownedStore) adoptRecordIfDue(ctx context.Context) {
	s.mu.Lock()
	now := time.Now()
	due := s.listed && !s.recordAdopted && !s.clockAt.IsZero() && !now.Before(s.adoptRecordAt)
	if due {
		s.adoptRecordAt = now.Add(adoptRecordInterval)
	}
	s.mu.Unlock()
	if !due {
		return
	}
	if err := s.adoptRecord(ctx); err != nil {
		s.log.Info("Failed to take over the record of a context store", "store", s.id, "error", err)
	}
}

// readEvents reads the replicas' clock and the store's changes after the last known one. It waits up
// to wait for changes.
func (s *ownedStore) readEvents(ctx context.Context, wait time.Duration) error {
	s.mu.Lock()
	next := s.nextEvent
	s.mu.Unlock()
	c, err := s.api.Events(ctx, s.address, next, wait)
	if err != nil {
		return err
	}
	s.applyEvents(c)
	return nil
}

func (s *ownedStore) list(ctx context.Context) error {
	c, err := s.api.List(ctx, s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.recordContact(now, c)
	s.listed, s.listedAt, s.nextEvent = true, now, c.Next
	s.cache.OnList(now, withWeights(c.Complete), withWeights(c.Partial))
	return nil
}

// withWeights sets the weight versions of listed parts from their salts. Otherwise all listed parts
// would count as made by older weights, and a new owner would free them first.
func withWeights(parts []storecache.PartRequest) []storecache.PartRequest {
	out := slices.Clone(parts)
	for i := range out {
		out[i].Version = weightsOf(out[i].Salt)
	}
	return out
}

func (s *ownedStore) applyEvents(c Content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.recordContact(now, c)
	s.nextEvent = c.Next
	if c.Lost {
		s.listed = false
	}
	for _, e := range c.Events {
		if e.Stored {
			s.cache.OnStored(now, e.Key, e.Tokens, weightsOf(e.Key.Salt))
		} else {
			s.cache.OnRemoved(e.Key)
		}
	}
}

// recordContact records that the store responds, and detects a restart.
func (s *ownedStore) recordContact(now time.Time, c Content) {
	s.lastContact = now
	if c.ClockMs > 0 {
		s.clockMs, s.clockAt = c.ClockMs, now
	}
	if s.storeEpoch != 0 && s.storeEpoch != c.Epoch {
		s.log.Warn("A context store has restarted", "store", s.id)
		s.cache.Reset(now)
		s.listed, s.recordAdopted = false, false
	}
	s.storeEpoch = c.Epoch
}

// runMaintenance frees parts when space is needed and logs the decisions periodically.
func (s *ownedStore) runMaintenance(ctx context.Context) {
	loggedAt := time.Now()
	for ctx.Err() == nil {
		_ = sleep.For(ctx, maintainInterval) // the loop checks ctx itself
		s.free(ctx)
		if time.Since(loggedAt) >= logInterval {
			loggedAt = time.Now()
			s.logDecisions()
		}
	}
}

// logDecisions logs the decisions since its last call.
func (s *ownedStore) logDecisions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reasons) == 0 {
		return
	}
	args := []any{
		"store", s.id, "parts", s.cache.CompleteParts(), "tokens", s.cache.UsedTokens(), "room", s.capacityTokens,
		"queue_ms", s.cache.QueueTime(time.Now()).Milliseconds(), "slowness", s.cache.Slowness(),
	}
	for _, reason := range slices.Sorted(maps.Keys(s.reasons)) {
		args = append(args, string(reason), s.reasons[reason])
	}
	s.log.Info("Decisions on a context store", args...)
	clear(s.reasons)
}

func (s *ownedStore) free(ctx context.Context) {
	s.mu.Lock()
	if !s.ready(time.Now()) || !s.recordAdopted || !s.lease.MayAct(freeTimeout) {
		s.mu.Unlock()
		return
	}
	keys := s.cache.StartFreeing(time.Now())
	storeEpoch := s.storeEpoch
	until := s.replicaClock(time.Now().Add(freeTimeout))
	s.mu.Unlock()
	for len(keys) > 0 {
		n := min(len(keys), maxFreeBatch)
		s.freeBatch(ctx, keys[:n], storeEpoch, until)
		keys = keys[n:]
	}
}

func (s *ownedStore) freeBatch(ctx context.Context, keys []storecache.Key, storeEpoch uint64, until int64) {
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	err := s.api.Free(ctx, s.address, keys, storeEpoch, until)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.log.Info("Failed to free parts of a context store", "store", s.id, "parts", len(keys), "error", err)
		s.cache.OnFreeFailed(time.Now(), keys)
		return
	}
	for _, key := range keys {
		s.cache.OnRemoved(key)
	}
}

// ready reports whether claims may be decided: the content of the store and the replicas' clock are
// known, permitFrom has passed, the store has responded within silenceTimeout, and permits may be
// granted under the lease or in its grace period.
func (s *ownedStore) ready(now time.Time) bool {
	return s.listed && !s.clockAt.IsZero() && !now.Before(s.permitFrom) && now.Sub(s.lastContact) < silenceTimeout && s.mayGrantLocked(now)
}

// mayGrant reports whether the lease, or its grace period, still allows permits. The grace period lasts
// for ReadOnlyGrace after the lease expired.
func (s *ownedStore) mayGrant(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mayGrantLocked(now)
}

func (s *ownedStore) mayGrantLocked(now time.Time) bool {
	if s.retired {
		return false
	}
	if s.lease.Valid() {
		s.leaseValidAt = now
		return true
	}
	// The monotonic clock stops while a VM is suspended, the wall clock does not. By both the
	// grace period must not have ended.
	return now.Sub(s.leaseValidAt) < storecache.ReadOnlyGrace && now.Round(0).Sub(s.leaseValidAt.Round(0)) < storecache.ReadOnlyGrace
}

// holdsLease reports whether the store's lease is held.
func (s *ownedStore) holdsLease() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.retired && s.lease.Valid()
}

func (s *ownedStore) leaseEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Epoch()
}

// retire marks the store as no longer owned by this daemon and returns its lease.
func (s *ownedStore) retire() *lease.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
	return s.lease
}

// resume continues under a new lease if no other daemon can have owned the store in between.
// Each holder of the lease increments its epoch.
func (s *ownedStore) resume(l *lease.Lease) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired || l.Epoch() != s.lease.Epoch()+1 {
		return false
	}
	s.lease = l
	return true
}

// mayReleaseLease reports whether the next owner can learn about all other owners that may still
// grant permits.
func (s *ownedStore) mayReleaseLease() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recordAdopted || !time.Now().Before(s.cache.OtherOwnerUntil())
}

// replicaClock returns the time t on the replicas' clock, in ms.
func (s *ownedStore) replicaClock(t time.Time) int64 {
	return s.clockMs + t.Sub(s.clockAt).Milliseconds()
}

// claim decides which parts may be fetched or saved. It returns the decisions, until when fetches may
// start, in ms on the replicas' clock, and false if the store can't be used now.
func (s *ownedStore) claim(salt string, weights uint64, asks []*PartAsk) ([]*PartAnswer, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.ready(now) {
		return nil, 0, false
	}
	leaseExpired := !s.lease.Valid()
	answers := make([]*PartAnswer, len(asks))
	for i, a := range asks {
		answer := s.cache.Decide(now, storecache.PartRequest{
			Key: storecache.Key{Salt: salt, ID: a.Id}, Tokens: int(a.Tokens), Version: weights, Resident: a.Resident, Last: a.Last, ReadOnly: leaseExpired,
		})
		s.reasons[answer.Reason]++
		s.metrics.Tagged(map[string]string{"reason": string(answer.Reason)}).Counter("store_asks").Inc(1)
		answers[i] = &PartAnswer{
			Fetch: answer.Fetch, Save: answer.Save, Full: answer.Full, TakesUs: int32(answer.FetchTime.Microseconds()),
			NotKept: leaseExpired, Claim: answer.Claim, QueueUs: int32(answer.QueueTime.Microseconds()),
		}
	}
	return answers, s.replicaClock(now.Add(storecache.ReadPermitTTL)), true
}

// isElsewhere reports whether the asking daemon would use another address of the store. One of an older version doesn't say.
func (s *ownedStore) isElsewhere(a *PartAsk) bool { return a.Address != "" && a.Address != s.address }

// release cancels what claim permitted for a part.
func (s *ownedStore) release(key storecache.Key, claim int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.Release(time.Now(), key, claim)
}

// recordFetch records the outcome of a fetch.
func (s *ownedStore) recordFetch(f storecache.FetchResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.OnFetched(time.Now(), f)
}
