package contextstore

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/placer"
	"github.com/bluebellscale/bluebellscale/internal/policy/storeroom"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// askTimeout is the longest that a request waits for a keeper. A question takes 4 ms
	// between failure domains; a prompt is computed in 100 to 200.
	askTimeout = 60 * time.Millisecond
	// tellTimeout bounds telling a keeper what no request waits for. One that does not hear of
	// a save that is not made takes it for broken off some seconds later.
	tellTimeout = 500 * time.Millisecond
	// deafFor is how long a keeper that did not answer is not asked.
	deafFor = 700 * time.Millisecond
	// lostFor is how long a store counts as kept by nobody after its keeper said so.
	lostFor = time.Second
	// fullFor is how long a store counts as full after its keeper said so.
	fullFor = 3 * time.Second
	// smallShare is the part of a store's room that one part of a prompt may take for
	// the store to be chosen by its speed. Larger ones go where the room is.
	smallShare = 0.01
)

// AskerOptions are the options of NewAsker.
type AskerOptions struct {
	Follower *mirror.Follower // of the key-value service; its owner runs it
	Self     request.DaemonID
	Own      *StoreKeeper // asked without a call
	Stores   func() []*routing.Service
	Client   *http.Client
	Logger   hclog.Logger
}

// Asker finds the keeper of each part's store and asks it. It implements placer.Stores.
type Asker struct {
	o      AskerOptions
	mirror *mirror.Mirror

	holders atomic.Pointer[map[string]lease.Holder]
	mu      sync.Mutex
	keepers map[string]Keeper // by address
	deaf    map[string]time.Time
	full    map[string]time.Time // by store
	lost    map[string]time.Time // by store: when its keeper said that it does not keep it
}

// NewAsker returns an asker that knows no keeper yet.
func NewAsker(o AskerOptions) *Asker {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Logger = o.Logger.Named("contextstore")
	a := &Asker{o: o, keepers: map[string]Keeper{}, deaf: map[string]time.Time{}, full: map[string]time.Time{}, lost: map[string]time.Time{}}
	a.holders.Store(&map[string]lease.Holder{})
	a.mirror = o.Follower.Mirror(lease.RecordPrefix+LeasePrefix, a.apply)
	return a
}

// Mirror returns the mirror of the entries, whose copies peers may ask for.
func (a *Asker) Mirror() *mirror.Mirror { return a.mirror }

func (a *Asker) apply(u mirror.Update) {
	next := map[string]lease.Holder{}
	if !u.Full {
		for store, h := range *a.holders.Load() {
			next[store] = h
		}
	}
	for _, e := range u.Entries {
		store := strings.TrimPrefix(e.Key, lease.RecordPrefix+LeasePrefix)
		h, err := lease.HolderIn(e)
		if err != nil {
			a.o.Logger.Error("A lease can not be read", "key", e.Key, "error", err)
			continue
		}
		next[store] = h
	}
	a.holders.Store(&next)
}

// question is what one keeper is asked.
type question struct {
	holder  lease.Holder
	request *ClaimRequest
	at      []int // part of the prompt for each part of the request
	stores  []*routing.Service
}

// Claim implements placer.Stores.
func (a *Asker) Claim(ctx context.Context, salt string, parts []relay.Part, resident []bool) ([]placer.StoredPart, int64) {
	out := make([]placer.StoredPart, len(parts))
	questions := a.questions(salt, parts, resident)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make([]*ClaimResponse, len(questions))
	var wg sync.WaitGroup
	for i, q := range questions {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = a.put(ctx, q)
		}()
	}
	wg.Wait()
	until := int64(0)
	unused := make([]placer.StoredPart, len(parts))
	for i, q := range questions {
		if answers[i] == nil || len(answers[i].Parts) != len(q.at) {
			continue
		}
		if leave := answers[i].LeaveUntilMs; leave > 0 && (until == 0 || leave < until) {
			until = leave
		}
		a.merge(out, unused, q, answers[i])
	}
	a.Release(salt, parts, unused)
	return out, until
}

// merge notes what a keeper answered, part by part, and what is not used of it. A part may be
// asked for at two stores; what can be fetched goes before what can be saved.
func (a *Asker) merge(out, unused []placer.StoredPart, q *question, r *ClaimResponse) {
	for i, answer := range r.Parts {
		store := q.stores[i]
		a.note(string(store.ID), answer)
		if !answer.Fetch && !answer.Save {
			continue
		}
		at := q.at[i]
		got := placer.StoredPart{
			Store: store.ID, Address: store.Store.Address, FailureDomain: store.Store.FailureDomain,
			Fetch: answer.Fetch, Save: answer.Save && !answer.Fetch,
			FetchTime: time.Duration(answer.TakesUs) * time.Microsecond,
			Queue:     time.Duration(answer.QueueUs) * time.Microsecond, Claim: answer.Claim,
		}
		if out[at].Fetch || out[at].Save && !got.Fetch {
			unused[at] = got
			continue
		}
		if out[at].Save {
			unused[at] = out[at]
		}
		out[at] = got
	}
}

// note remembers what an answer says of the store itself.
func (a *Asker) note(store string, answer *PartAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answer.Full {
		a.full[store] = time.Now()
	}
	if answer.NotKept {
		a.lost[store] = time.Now()
	}
}

// questions sorts the parts by the keepers of their stores.
func (a *Asker) questions(salt string, parts []relay.Part, resident []bool) []*question {
	byKeeper := map[string]*question{}
	var order []*question
	stores := a.o.Stores()
	for i, p := range parts {
		for _, store := range a.storesFor(stores, p) {
			h, listens := a.holder(store.ID)
			if !listens {
				continue
			}
			q := byKeeper[h.Address]
			if q == nil {
				q = &question{holder: h, request: &ClaimRequest{From: string(a.o.Self), Salt: salt, Weights: weightsOf(salt)}}
				byKeeper[h.Address] = q
				order = append(order, q)
			}
			q.at = append(q.at, i)
			q.stores = append(q.stores, store)
			q.request.Parts = append(q.request.Parts, &PartAsk{
				Store: string(store.ID), Id: p.ID, Tokens: int32(p.Tokens), Resident: resident[i], Last: i == len(parts)-1,
			})
		}
	}
	return order
}

// storesFor returns the store of a part, and a second one while the first is full.
func (a *Asker) storesFor(stores []*routing.Service, p relay.Part) []*routing.Service {
	first := choose(stores, p, nil)
	if first == nil {
		return nil
	}
	a.mu.Lock()
	full := time.Since(a.full[string(first.ID)]) < fullFor
	a.mu.Unlock()
	if !full {
		return []*routing.Service{first}
	}
	if second := choose(stores, p, first); second != nil {
		return []*routing.Service{first, second}
	}
	return []*routing.Service{first}
}

// choose returns the store of a part by rendezvous hashing among the fastest stores in
// whose room it is small, or else the roomiest. Stores like the one given are left out.
func choose(stores []*routing.Service, p relay.Part, but *routing.Service) *routing.Service {
	var best *routing.Service
	var bestWeight uint64
	for _, s := range stores {
		if !s.Store.Managed || but != nil && alike(s, but) {
			continue
		}
		weight := xxhash.Sum64String(string(s.ID) + "/" + p.ID)
		if best == nil || better(s, best, p) || alike(s, best) && weight > bestWeight {
			best, bestWeight = s, weight
		}
	}
	return best
}

// alike reports whether two stores have the same speed and room.
func alike(a, b *routing.Service) bool {
	return a.Store.LinkMbps == b.Store.LinkMbps && a.Store.CapacityTokens == b.Store.CapacityTokens
}

func better(a, b *routing.Service, p relay.Part) bool {
	smallA := float64(p.Tokens) <= smallShare*float64(a.Store.CapacityTokens)
	smallB := float64(p.Tokens) <= smallShare*float64(b.Store.CapacityTokens)
	if smallA != smallB {
		return smallA
	}
	if smallA && a.Store.LinkMbps != b.Store.LinkMbps {
		return a.Store.LinkMbps > b.Store.LinkMbps
	}
	return a.Store.CapacityTokens > b.Store.CapacityTokens
}

// ReportFetch implements placer.Stores. The keeper hears of it at once: told with the next question,
// it heard of a slow link two seconds late.
func (a *Asker) ReportFetch(store routing.ServiceID, f storeroom.Fetched) {
	h, listens := a.holder(store)
	if !listens {
		return
	}
	r := &FetchedRequest{Store: string(store), Claim: f.Claim, TookUs: f.Took.Microseconds(), Overdue: f.Overdue, Busy: f.Busy}
	go a.tell(h, func(ctx context.Context, k Keeper) error {
		_, err := k.Fetched(ctx, r)
		return err
	})
}

// Kept reports whether some daemon keeps a store, as far as is known: it holds the lease
// and has not been silent, or said that it does not keep the store, a moment ago.
func (a *Asker) Kept(store routing.ServiceID) bool {
	h := (*a.holders.Load())[string(store)]
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	return h.Address != "" && now.After(a.deaf[h.Address]) && now.Sub(a.lost[string(store)]) > lostFor
}

// Last returns the daemon that kept a store last, as far as is known.
func (a *Asker) Last(store routing.ServiceID) request.DaemonID {
	return (*a.holders.Load())[string(store)].ID
}

// Epoch returns the epoch under which a store is kept, as far as is known; zero if nobody
// ever kept it.
func (a *Asker) Epoch(store routing.ServiceID) uint64 {
	return (*a.holders.Load())[string(store)].Epoch
}

// holder returns the keeper of a store, and whether it can be asked now.
func (a *Asker) holder(store routing.ServiceID) (h lease.Holder, listens bool) {
	h = (*a.holders.Load())[string(store)]
	return h, h.Address != "" && !a.isDeaf(h.Address)
}

func (a *Asker) isDeaf(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.deaf[address])
}

// Release implements placer.Stores. Nothing waits for the keepers to hear of it.
func (a *Asker) Release(salt string, parts []relay.Part, unused []placer.StoredPart) {
	requests := map[lease.Holder]*ReleaseRequest{}
	for i, u := range unused {
		if u.Claim == 0 {
			continue
		}
		h, listens := a.holder(u.Store)
		if !listens {
			continue
		}
		if requests[h] == nil {
			requests[h] = &ReleaseRequest{Salt: salt}
		}
		requests[h].Parts = append(requests[h].Parts, &ReleasedPart{Store: string(u.Store), Id: parts[i].ID, Claim: u.Claim})
	}
	for h, r := range requests {
		go a.tell(h, func(ctx context.Context, k Keeper) error {
			_, err := k.Release(ctx, r)
			return err
		})
	}
}

// tell tells a keeper something that no request waits for.
func (a *Asker) tell(h lease.Holder, call func(context.Context, Keeper) error) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	if err := call(ctx, a.keeper(h)); err != nil {
		a.o.Logger.Info("A store's keeper can not be told", "keeper", h.ID, "error", err)
	}
}

// put asks one keeper; nil if it does not answer in time.
func (a *Asker) put(ctx context.Context, q *question) *ClaimResponse {
	answer, err := a.keeper(q.holder).Claim(ctx, q.request)
	if err == nil {
		return answer
	}
	a.mu.Lock()
	a.deaf[q.holder.Address] = time.Now().Add(deafFor)
	a.mu.Unlock()
	a.o.Logger.Info("A store's keeper does not answer", "keeper", q.holder.ID, "error", err)
	return nil
}

func (a *Asker) keeper(h lease.Holder) Keeper {
	if h.ID == a.o.Self {
		return a.o.Own
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	k, ok := a.keepers[h.Address]
	if !ok {
		k = NewKeeperProtobufClient("http://"+h.Address, a.o.Client)
		a.keepers[h.Address] = k
	}
	return k
}
