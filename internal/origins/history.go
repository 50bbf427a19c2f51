package origins

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/bounds"
	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/origin"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// HistoryPrefix precedes the keys in the key-value service that list the versions of each service at which streams that may
// go on can have begun. They last when all daemons are killed together, and are written when a version comes or goes.
const HistoryPrefix = "software/"

const (
	// historyInterval is how often the entries are compared with what this daemon knows.
	historyInterval = time.Second
	// writeDelay, multiplied by a daemon's rank, is how long it leaves a write to the daemons before it.
	writeDelay   = 500 * time.Millisecond
	writeTimeout = time.Second
	// writeSpacing is the average time between the writes of one entry that all daemons together try, while none succeeds.
	writeSpacing = 50 * time.Millisecond
	// minWriteRetry is the average time between two tries of a daemon that has few others. Streams wait for longer.
	minWriteRetry = 200 * time.Millisecond
	// maxVersions bounds the versions in one entry. Of a service with more it lists some: what counts is that there are several.
	maxVersions = 64
	// maxVersionBytes is the longest version that daemons tell each other. They replace a longer one by its hash.
	maxVersionBytes = 64
)

// historyEntry is the value of a key below HistoryPrefix.
type historyEntry struct {
	Versions []string `json:"versions"`
}

// history is what the key-value service lists of a service.
type history struct {
	versions []string
	revision platform.Revision
	differs  time.Time // since when this daemon has known other versions; zero: it does not
	// renew holds versions for which the entry must be written anew, whatever it lists: they had no replicas for a while, and a daemon that
	// knows none of those that have joined since may be about to remove them. Its write then conflicts.
	renew map[string]bool
}

// mustRenew records that a version has replicas again; nil: there is no entry.
func (h *history) mustRenew(software string) {
	if h == nil {
		return
	}
	if h.renew == nil {
		h.renew = map[string]bool{}
	}
	h.renew[software] = true
}

// applyHistory applies changes of the entries.
func (e *Exchange) applyHistory(u mirror.Update) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.announceList()
	before := e.histories
	if u.Full {
		e.histories = map[routing.ServiceID]*history{}
	}
	for _, entry := range u.Entries {
		service := routing.ServiceID(strings.TrimPrefix(entry.Key, HistoryPrefix))
		known := before[service]
		if known != nil && known.revision > entry.Revision {
			e.histories[service] = known // this daemon has written it since
			e.remember(now, u, service, known.versions)
			continue
		}
		if entry.Deleted {
			delete(e.histories, service)
			continue
		}
		versions, err := decodeHistory(entry.Value)
		if err != nil {
			e.o.Metrics.Counter("invalid_version_lists").Inc(1)
			e.o.Logger.Warn("Ignoring an invalid list of versions", "key", bounds.BriefKey(entry.Key), "error", err)
			versions = nil // the next write replaces it
		}
		h := &history{versions: versions, revision: entry.Revision}
		if known != nil && known.revision == entry.Revision {
			h.renew = known.renew
		}
		e.histories[service] = h
		delete(e.missing, service)
		if known == nil || known.revision != entry.Revision {
			delete(e.retryAt, service)
		}
		e.remember(now, u, service, versions)
		if !e.versionsOf(service).AllPresent(h.lists) {
			e.wakeHistory() // another daemon wrote it without knowing of the version's replicas
		}
	}
}

// remember records that streams may have begun at the listed versions of a service, as of an update. The mutex must be held.
func (e *Exchange) remember(now time.Time, u mirror.Update, service routing.ServiceID, versions []string) {
	v := e.versionsOf(service)
	remember := v.Remember
	if u.Full && u.AfterOutage {
		remember = v.RememberAnew // replicas may have come and left unseen
	}
	for _, software := range versions {
		remember(now, software)
	}
}

// rememberAnew records that streams may have begun until now at the versions of an entry that another daemon has written, and of which this one
// had not heard: it may lack the news of their replicas too.
func (e *Exchange) rememberAnew(service routing.ServiceID) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.histories[service]
	if h == nil {
		return // removed since
	}
	for _, software := range h.versions {
		e.versionsOf(service).RememberAnew(now, software)
	}
}

// outdate makes the entry that a write conflicted with yield to any other one, also to one of a lower revision: the key-value service may have been restored
// from a backup without a sign.
func (e *Exchange) outdate(w dueWrite) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if h := e.histories[w.service]; h != nil && h.revision == w.revision {
		h.revision = 0
	}
}

// lists reports whether the entry contains a version, or has no room for it, and need not be written anew.
func (h *history) lists(software string) bool {
	return !h.renew[software] && (len(h.versions) == maxVersions || slices.Contains(h.versions, software))
}

// announceList wakes those that wait for a change of an entry. The mutex must be held.
func (e *Exchange) announceList() {
	e.publishPreferences()
	close(e.listChanged)
	e.listChanged = make(chan struct{})
}

// decodeHistory decodes and validates an entry. Its error names the field.
func decodeHistory(value []byte) ([]string, error) {
	var entry historyEntry
	if err := bounds.Decode(value, &entry); err != nil {
		return nil, errors.Wrap(err, "origins: history")
	}
	if n := len(entry.Versions); n == 0 || n > maxVersions {
		return nil, errors.Newf("origins: history: versions: %d entries, want 1 to %d", n, maxVersions)
	}
	for _, v := range entry.Versions {
		if len(v) > maxVersionBytes {
			return nil, errors.Newf("origins: history: versions: has one of %d bytes, want at most %d", len(v), maxVersionBytes)
		}
	}
	return entry.Versions, nil
}

// dueWrite is an entry that this daemon is to write.
type dueWrite struct {
	service  routing.ServiceID
	versions []string
	revision platform.Revision
	since    time.Time // since when the entry has differed
	urgent   bool      // a stream waits for it
}

// dueWrites returns the entries that differ from what this daemon knows and that no daemon before it has written, or that a stream waits
// for. A daemon whose list of replicas may be old adds versions to an entry, but neither creates it nor knows what it may remove.
func (e *Exchange) dueWrites(now time.Time, keep time.Duration, rank func(key string) int) (due []dueWrite) {
	asked := e.takeAsked()
	for _, w := range e.differing(now, keep) {
		w.urgent = asked.urgent[w.service]
		if e.holdBack(now, w) {
			continue
		}
		if w.urgent || now.Sub(w.since) >= e.delayOf(w, rank, asked.passedOver[w.service]) {
			due = append(due, w)
		}
	}
	return due
}

// delayOf returns how long this daemon leaves a write to those before it: not for long if streams pass replicas over until it is made. A daemon that
// doesn't know its rank comes last.
func (e *Exchange) delayOf(w dueWrite, rank func(key string) int, passedOver bool) time.Duration {
	r := rank(HistoryPrefix + string(w.service))
	delay := time.Duration(r) * writeDelay
	if !passedOver {
		return delay
	}
	return min(delay, listDelay+time.Duration(min(r, len(e.others())))*writeSpacing)
}

// askedWrites are the services whose entries are to be written soon.
type askedWrites struct {
	urgent     map[routing.ServiceID]bool // streams wait for the entry
	passedOver map[routing.ServiceID]bool // streams begin at other replicas until then
}

func newAskedWrites() askedWrites {
	return askedWrites{urgent: map[routing.ServiceID]bool{}, passedOver: map[routing.ServiceID]bool{}}
}

// takeAsked returns the services whose entries are to be written soon, and forgets them.
func (e *Exchange) takeAsked() askedWrites {
	e.mu.Lock()
	defer e.mu.Unlock()
	asked := e.asked
	e.asked = newAskedWrites()
	return asked
}

// holdBack reports whether a write must wait because one of this daemon runs, or has failed a moment ago. It stays urgent.
func (e *Exchange) holdBack(now time.Time, w dueWrite) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := e.writing[w.service]
	if running == nil && !now.Before(e.retryAt[w.service]) {
		return false
	}
	if w.urgent {
		e.asked.urgent[w.service] = true
	}
	if running != nil && (w.urgent || !w.repeats(running.dueWrite)) {
		running.followed = true
	}
	return true
}

// repeats reports whether a write does what another one does.
func (w dueWrite) repeats(other dueWrite) bool {
	return w.revision == other.revision && slices.Equal(w.versions, other.versions)
}

// runningWrite is a write that has not ended.
type runningWrite struct {
	dueWrite
	followed bool // another write is due after it
}

// startWrite writes an entry while others are written. Of each service one write runs at a time.
func (e *Exchange) startWrite(ctx context.Context, w dueWrite, writes *sync.WaitGroup) {
	running := &runningWrite{dueWrite: w}
	e.mu.Lock()
	e.writing[w.service] = running
	e.mu.Unlock()
	writes.Go(func() {
		e.write(ctx, w)
		e.endWrite(running)
	})
}

// endWrite wakes the writer only if another write is due: one that conflicts with a removed entry would be repeated without end.
func (e *Exchange) endWrite(w *runningWrite) {
	e.mu.Lock()
	followed := w.followed
	delete(e.writing, w.service)
	e.mu.Unlock()
	if followed {
		e.wakeHistory()
	}
}

// retryLater holds writes of an entry back after one has failed: all daemons together try one each writeSpacing, however many they are.
func (e *Exchange) retryLater(service routing.ServiceID) {
	interval := max(minWriteRetry, time.Duration(len(e.others())+1)*writeSpacing)
	delay := interval/2 + rand.N(interval) // daemons that failed together don't try again together
	e.mu.Lock()
	e.retryAt[service] = time.Now().Add(delay)
	e.mu.Unlock()
	time.AfterFunc(delay, e.wakeHistory)
}

// differing returns the entries that differ from what this daemon knows.
func (e *Exchange) differing(now time.Time, keep time.Duration) (out []dueWrite) {
	current := e.o.Current()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listedAt.IsZero() {
		return nil
	}
	for service, v := range e.versions {
		if !e.o.Resumable(service) {
			continue
		}
		names := v.Names(now, keep)
		h := e.histories[service]
		if !current && h != nil {
			names = append(names, h.versions...)
		}
		slices.Sort(names)
		names = slices.Compact(names)
		if h == nil && !current || len(names) == 0 {
			continue
		}
		if h == nil {
			// Streams may have begun at versions that were listed nowhere, of which this daemon may not know all.
			names = append([]string{origin.UnknownSoftware}, names...)
			h = &history{}
			e.missing[service] = earliest(e.missing[service], now)
			h.differs = e.missing[service]
		}
		names = names[:min(len(names), maxVersions)]
		if slices.Equal(h.versions, names) && len(h.renew) == 0 {
			h.differs = time.Time{}
			continue
		}
		h.differs = earliest(h.differs, now)
		out = append(out, dueWrite{service: service, versions: names, revision: h.revision, since: h.differs})
	}
	return out
}

func earliest(t, now time.Time) time.Time {
	if t.IsZero() {
		return now
	}
	return t
}

// write writes an entry. A conflict is no error: the entry that another daemon wrote is compared again.
func (e *Exchange) write(ctx context.Context, w dueWrite) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := json.Marshal(historyEntry{Versions: w.versions})
	if err != nil {
		e.o.Logger.Error("Failed to encode a list of versions", "service", w.service, "error", err)
		return
	}
	key := HistoryPrefix + string(w.service)
	revision, err := e.o.KV.CompareAndSwap(ctx, key, w.revision, value, "")
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		e.applyHistory(mirror.Update{Entries: []platform.Entry{{Key: key, Value: value, Revision: revision}}})
		e.o.Logger.Info("Wrote the versions of a service's software", "service", w.service, "versions", w.versions)
	case errors.As(err, &conflict) && conflict.Current.Revision != 0:
		e.outdate(w)
		e.applyHistory(mirror.Update{Entries: []platform.Entry{conflict.Current}})
		e.rememberAnew(w.service)
		if w.urgent {
			e.listNow(w.service)
			return
		}
		e.wakeHistory()
	case !errors.Is(err, platform.ErrConflict):
		e.o.Logger.Debug("Failed to write the versions of a service's software", "service", w.service, "error", err)
		e.retryLater(w.service)
	}
}

// RunHistory writes the entries that this daemon is to write until ctx is cancelled. A write that hangs holds up no other service.
func (e *Exchange) RunHistory(ctx context.Context) error {
	t := time.NewTicker(historyInterval)
	defer t.Stop()
	var writes sync.WaitGroup
	defer writes.Wait()
	for {
		select {
		case <-t.C:
		case <-e.historyWake:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !e.o.Reachable() {
			continue
		}
		for _, w := range e.dueWrites(time.Now(), e.o.Keep(), e.o.Rank) {
			e.startWrite(ctx, w, &writes)
		}
	}
}

// versionsOf returns the versions of a service. The mutex must be held.
func (e *Exchange) versionsOf(service routing.ServiceID) *origin.Versions {
	v := e.versions[service]
	if v == nil {
		v = &origin.Versions{}
		e.versions[service] = v
	}
	return v
}
