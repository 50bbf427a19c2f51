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
	"github.com/bluebellscale/bluebellscale/internal/policy/storecache"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// claimTimeout is how long a request waits for an owner. A call between failure domains
	// takes 4 ms, and computing a prompt 100 to 200 ms.
	claimTimeout = 60 * time.Millisecond
	// notifyTimeout bounds calls to an owner that no request waits for. An owner that misses the
	// release of an unused save treats the save as interrupted some seconds later.
	notifyTimeout = 500 * time.Millisecond
	// unreachableBackoff is how long an owner that did not respond is not called.
	unreachableBackoff = 700 * time.Millisecond
	// disownedTTL is how long a store counts as unowned after its owner disowned it.
	disownedTTL = time.Second
	// fullTTL is how long a store counts as full after its owner reported so.
	fullTTL = 3 * time.Second
	// smallPartShare is the share of a store's capacity up to which a part is small. The store
	// of a small part is chosen by speed, that of a larger one by capacity.
	smallPartShare = 0.01
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Follower *mirror.Follower // of the key-value service; the caller runs it
	Self     request.DaemonID
	Local    *Owner // called directly
	Stores   func() []*routing.Service
	Client   *http.Client
	Logger   hclog.Logger
}

// Client finds the owner of each part's store and calls it. It implements placer.Stores.
type Client struct {
	opts   ClientOptions
	mirror *mirror.Mirror

	holders          atomic.Pointer[map[string]lease.Holder]
	mu               sync.Mutex
	owners           map[string]Keeper // by address
	unreachableUntil map[string]time.Time
	fullReportedAt   map[string]time.Time // by store
	disownedAt       map[string]time.Time // by store: when its owner reported that it does not own it
}

// NewClient returns a Client that knows no owner yet.
func NewClient(o ClientOptions) *Client {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Logger = o.Logger.Named("contextstore")
	c := &Client{opts: o, owners: map[string]Keeper{}, unreachableUntil: map[string]time.Time{}, fullReportedAt: map[string]time.Time{}, disownedAt: map[string]time.Time{}}
	c.holders.Store(&map[string]lease.Holder{})
	c.mirror = o.Follower.AddMirror(lease.RecordPrefix+LeasePrefix, c.apply)
	return c
}

// Mirror returns the mirror of the store leases, which peers may copy.
func (c *Client) Mirror() *mirror.Mirror { return c.mirror }

func (c *Client) apply(u mirror.Update) {
	next := map[string]lease.Holder{}
	if !u.Full {
		for store, h := range *c.holders.Load() {
			next[store] = h
		}
	}
	for _, e := range u.Entries {
		store := strings.TrimPrefix(e.Key, lease.RecordPrefix+LeasePrefix)
		h, err := lease.HolderIn(e)
		if err != nil {
			c.opts.Logger.Error("Failed to decode a store lease", "key", e.Key, "error", err)
			continue
		}
		next[store] = h
	}
	c.holders.Store(&next)
}

// ownerClaim is a claim request to one owner.
type ownerClaim struct {
	holder    lease.Holder
	request   *ClaimRequest
	positions []int // index in the prompt of each part of the request
	stores    []*routing.Service
}

// Claim implements placer.Stores.
func (c *Client) Claim(ctx context.Context, salt string, parts []relay.Part, resident []bool) ([]placer.PartOffer, int64) {
	out := make([]placer.PartOffer, len(parts))
	claims := c.claimsByOwner(salt, parts, resident)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	answers := make([]*ClaimResponse, len(claims))
	var wg sync.WaitGroup
	for i, q := range claims {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = c.claim(ctx, q)
		}()
	}
	wg.Wait()
	until := int64(0)
	unused := make([]placer.PartOffer, len(parts))
	for i, q := range claims {
		if answers[i] == nil || len(answers[i].Parts) != len(q.positions) {
			continue
		}
		if permitUntil := answers[i].LeaveUntilMs; permitUntil > 0 && (until == 0 || permitUntil < until) {
			until = permitUntil
		}
		c.merge(out, unused, q, answers[i])
	}
	c.Release(salt, parts, unused)
	return out, until
}

// merge collects an owner's offers per part in out, and those that are not used in unused. A part may
// be requested from two stores; a fetch takes precedence over a save.
func (c *Client) merge(out, unused []placer.PartOffer, q *ownerClaim, r *ClaimResponse) {
	for i, answer := range r.Parts {
		store := q.stores[i]
		c.recordStatus(string(store.ID), answer)
		if !answer.Fetch && !answer.Save {
			continue
		}
		position := q.positions[i]
		got := placer.PartOffer{
			Store: store.ID, Address: store.Store.Address, FailureDomain: store.Store.FailureDomain,
			Fetch: answer.Fetch, Save: answer.Save && !answer.Fetch,
			FetchTime: time.Duration(answer.TakesUs) * time.Microsecond,
			QueueTime: time.Duration(answer.QueueUs) * time.Microsecond, Claim: answer.Claim,
		}
		if out[position].Fetch || out[position].Save && !got.Fetch {
			unused[position] = got
			continue
		}
		if out[position].Save {
			unused[position] = out[position]
		}
		out[position] = got
	}
}

// recordStatus records what an answer reports about the store itself.
func (c *Client) recordStatus(store string, answer *PartAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer.Full {
		c.fullReportedAt[store] = time.Now()
	}
	if answer.NotKept {
		c.disownedAt[store] = time.Now()
	}
}

// claimsByOwner groups the parts by the owners of their stores.
func (c *Client) claimsByOwner(salt string, parts []relay.Part, resident []bool) []*ownerClaim {
	byOwner := map[string]*ownerClaim{}
	var order []*ownerClaim
	stores := c.opts.Stores()
	for i, p := range parts {
		for _, store := range c.storesFor(stores, p) {
			h, reachable := c.holder(store.ID)
			if !reachable {
				continue
			}
			q := byOwner[h.Address]
			if q == nil {
				q = &ownerClaim{holder: h, request: &ClaimRequest{From: string(c.opts.Self), Salt: salt, Weights: weightsOf(salt)}}
				byOwner[h.Address] = q
				order = append(order, q)
			}
			q.positions = append(q.positions, i)
			q.stores = append(q.stores, store)
			q.request.Parts = append(q.request.Parts, &PartAsk{
				Store: string(store.ID), Id: p.ID, Tokens: int32(p.Tokens), Resident: resident[i], Last: i == len(parts)-1, Address: store.Store.Address,
			})
		}
	}
	return order
}

// storesFor returns the store of a part, and a second one while the first is full.
func (c *Client) storesFor(stores []*routing.Service, part relay.Part) []*routing.Service {
	first := chooseStore(stores, part, nil)
	if first == nil {
		return nil
	}
	c.mu.Lock()
	full := time.Since(c.fullReportedAt[string(first.ID)]) < fullTTL
	c.mu.Unlock()
	if !full {
		return []*routing.Service{first}
	}
	if second := chooseStore(stores, part, first); second != nil {
		return []*routing.Service{first, second}
	}
	return []*routing.Service{first}
}

// chooseStore returns the store of a part by rendezvous hashing. The candidates are the fastest
// stores for whose capacity the part is small, or else the largest. Stores of the same class as
// exclude are left out.
func chooseStore(stores []*routing.Service, part relay.Part, exclude *routing.Service) *routing.Service {
	var best *routing.Service
	var bestWeight uint64
	for _, s := range stores {
		if !s.Store.Managed || exclude != nil && sameClass(s, exclude) {
			continue
		}
		weight := xxhash.Sum64String(string(s.ID) + "/" + part.ID)
		if best == nil || preferred(s, best, part) || sameClass(s, best) && weight > bestWeight {
			best, bestWeight = s, weight
		}
	}
	return best
}

// sameClass reports whether two stores have the same speed and capacity.
func sameClass(a, b *routing.Service) bool {
	return a.Store.LinkMbps == b.Store.LinkMbps && a.Store.CapacityTokens == b.Store.CapacityTokens
}

func preferred(a, b *routing.Service, part relay.Part) bool {
	smallA := float64(part.Tokens) <= smallPartShare*float64(a.Store.CapacityTokens)
	smallB := float64(part.Tokens) <= smallPartShare*float64(b.Store.CapacityTokens)
	if smallA != smallB {
		return smallA
	}
	if smallA && a.Store.LinkMbps != b.Store.LinkMbps {
		return a.Store.LinkMbps > b.Store.LinkMbps
	}
	return a.Store.CapacityTokens > b.Store.CapacityTokens
}

// ReportFetch implements placer.Stores. It notifies the owner at once: sent along with the next
// claim, reports of a slow link reached the owner two seconds late.
func (c *Client) ReportFetch(store routing.ServiceID, f storecache.FetchResult) {
	h, reachable := c.holder(store)
	if !reachable {
		return
	}
	r := &FetchedRequest{Store: string(store), Claim: f.Claim, TookUs: f.Took.Microseconds(), Overdue: f.Overdue, Busy: f.Busy}
	go c.notify(h, func(ctx context.Context, k Keeper) error {
		_, err := k.Fetched(ctx, r)
		return err
	})
}

// HasOwner reports whether a store has a known and responsive owner: the owner holds the lease,
// has answered its last call and has not disowned the store recently.
func (c *Client) HasOwner(store routing.ServiceID) bool {
	h := (*c.holders.Load())[string(store)]
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return h.Address != "" && now.After(c.unreachableUntil[h.Address]) && now.Sub(c.disownedAt[string(store)]) > disownedTTL
}

// LastOwner returns the last known owner of a store.
func (c *Client) LastOwner(store routing.ServiceID) request.DaemonID {
	return (*c.holders.Load())[string(store)].ID
}

// LeaseEpoch returns the last known epoch of a store's lease; zero if it was never owned.
func (c *Client) LeaseEpoch(store routing.ServiceID) uint64 {
	return (*c.holders.Load())[string(store)].Epoch
}

// holder returns the owner of a store, and whether it can be called now.
func (c *Client) holder(store routing.ServiceID) (h lease.Holder, reachable bool) {
	h = (*c.holders.Load())[string(store)]
	return h, h.Address != "" && !c.isUnreachable(h.Address)
}

func (c *Client) isUnreachable(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.unreachableUntil[address])
}

// Release implements placer.Stores. It does not wait for the owners.
func (c *Client) Release(salt string, parts []relay.Part, unused []placer.PartOffer) {
	requests := map[lease.Holder]*ReleaseRequest{}
	for i, u := range unused {
		if u.Claim == 0 {
			continue
		}
		h, reachable := c.holder(u.Store)
		if !reachable {
			continue
		}
		if requests[h] == nil {
			requests[h] = &ReleaseRequest{Salt: salt}
		}
		requests[h].Parts = append(requests[h].Parts, &ReleasedPart{Store: string(u.Store), Id: parts[i].ID, Claim: u.Claim})
	}
	for h, r := range requests {
		go c.notify(h, func(ctx context.Context, k Keeper) error {
			_, err := k.Release(ctx, r)
			return err
		})
	}
}

// notify sends an owner a message that no request waits for.
func (c *Client) notify(h lease.Holder, call func(context.Context, Keeper) error) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if err := call(ctx, c.ownerClient(h)); err != nil {
		c.opts.Logger.Info("Failed to notify a store's owner", "keeper", h.ID, "error", err)
	}
}

// claim sends a claim request to its owner. It returns nil if the owner does not respond in time.
func (c *Client) claim(ctx context.Context, q *ownerClaim) *ClaimResponse {
	answer, err := c.ownerClient(q.holder).Claim(ctx, q.request)
	if err == nil {
		return answer
	}
	c.mu.Lock()
	c.unreachableUntil[q.holder.Address] = time.Now().Add(unreachableBackoff)
	c.mu.Unlock()
	c.opts.Logger.Info("A store's owner did not respond", "keeper", q.holder.ID, "error", err)
	return nil
}

func (c *Client) ownerClient(h lease.Holder) Keeper {
	if h.ID == c.opts.Self {
		return c.opts.Local
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.owners[h.Address]
	if !ok {
		k = NewKeeperProtobufClient("http://"+h.Address, c.opts.Client)
		c.owners[h.Address] = k
	}
	return k
}
