package platform

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/kvapi"
)

// maxChains bounds the remembered chains; a forgotten one costs a read.
const maxChains = 4096

// chain is the last known write of a key with those before it.
type chain struct {
	revision Revision
	history  []written // of the write that follows revision
}

type chainCache struct {
	mu     sync.Mutex
	chains map[string]chain
}

func newChainCache() *chainCache { return &chainCache{chains: map[string]chain{}} }

func (c *chainCache) put(key string, revision Revision, e envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.chains[key].revision > revision {
		return
	}
	if len(c.chains) >= maxChains {
		clear(c.chains)
	}
	c.chains[key] = chain{revision: revision, history: e.successorHistory(revision)}
}

func (c *chainCache) at(key string, revision Revision) ([]written, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.chains[key]
	return known.history, known.revision == revision
}

// CompareAndSwap implements KV.
//
// An answer that is lost is settled by sending the same write again: it carries its
// identity, and it can take effect once only, since its expected revision is gone
// afterwards. The conflict that the second one meets shows the current value, whose
// history tells whether the first one took effect (see settle), also when another
// writer went over it meanwhile; then the revision that the lost write got is
// returned, as if its answer had come late. What the history can't tell (the key was
// deleted in between, or written over more than historyLength times) is ErrUncertain.
// A lost creation is read back but not sent again, because the key may have been
// created and deleted meanwhile, and would come back to life.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte, lease LeaseID) (Revision, error) {
	if len(value) > kvapi.MaxValue-EnvelopeOverhead {
		return 0, ErrTooLarge
	}
	history, err := c.historyAt(ctx, key, expect)
	if err != nil {
		return 0, err
	}
	env := envelope{id: newWriteID(), history: history, payload: value}
	w := &write{client: c, expect: expect, id: env.id, body: kvapi.CASRequest{
		Key: key, Expect: uint64(expect), Value: env.encode(), LeaseID: string(lease),
	}}
	revision, err := w.run(ctx)
	if err == nil {
		c.chains.put(key, revision, env)
	}
	return revision, err
}

// Delete implements KV. A lost answer is settled like that of CompareAndSwap; a key
// found absent afterwards counts as deleted, whoever did it.
func (c *Client) Delete(ctx context.Context, key string, expect Revision) error {
	w := &write{client: c, expect: expect, id: newWriteID(), body: kvapi.CASRequest{
		Key: key, Expect: uint64(expect), Delete: true,
	}}
	_, err := w.run(ctx)
	return err
}

func newWriteID() writeID {
	var id writeID
	_, _ = rand.Read(id[:]) // never fails (crypto/rand)
	return id
}

// historyAt returns the history for a write over revision expect.
func (c *Client) historyAt(ctx context.Context, key string, expect Revision) ([]written, error) {
	if expect == 0 {
		return nil, nil
	}
	if history, ok := c.chains.at(key, expect); ok {
		return history, nil
	}
	e, err := c.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return nil, &ConflictError{Current: Entry{Key: key, Deleted: true}}
	}
	if err != nil {
		return nil, err
	}
	if e.Revision != expect {
		return nil, &ConflictError{Current: e}
	}
	history, _ := c.chains.at(key, expect)
	return history, nil
}

// write is one write until its outcome is known.
type write struct {
	client    *Client
	expect    Revision
	id        writeID
	body      kvapi.CASRequest
	ambiguous bool // an attempt may have taken effect unseen
}

// run sends the write until it is settled. While no attempt left this process it
// gives up after a few tries; afterwards it goes on until ctx ends.
func (w *write) run(ctx context.Context) (Revision, error) {
	tries := 0
	op := func() (Revision, error) {
		tries++
		revision, err := w.attempt(ctx)
		switch {
		case err == nil:
			return revision, nil
		case !errors.Is(err, ErrUnavailable):
			return 0, backoff.Permanent(err)
		case !w.ambiguous && tries >= readTries:
			return 0, backoff.Permanent(err)
		}
		return 0, err
	}
	revision, err := backoff.Retry(ctx, op, backoff.WithBackOff(newBackOff()), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return revision, nil
	}
	return 0, w.final(err)
}

// final turns the last error into the one that the caller is to see.
func (w *write) final(err error) error {
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		err = permanent.Unwrap()
	}
	if errors.Is(err, ErrConflict) || errors.Is(err, ErrUncertain) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrNotFound) {
		return err
	}
	if w.ambiguous {
		w.client.metrics.Counter("uncertain").Inc(1)
		w.client.logger.Warn("Write outcome unknown", "key", w.body.Key, "error", err)
		return errors.Mark(err, ErrUncertain)
	}
	if errors.Is(err, ErrBudget) {
		return err
	}
	return errors.Mark(err, ErrUnavailable)
}

func (w *write) attempt(ctx context.Context) (Revision, error) {
	c := w.client
	if w.ambiguous && w.expect == 0 {
		return w.readBack(ctx)
	}
	if err := c.spend(ctx, c.writes); err != nil {
		return 0, err
	}
	c.metrics.Counter("writes").Inc(1)
	a, err := c.transport.attempt(ctx, request{method: http.MethodPost, path: kvapi.PathCAS, body: w.body})
	if err != nil {
		w.ambiguous = w.ambiguous || !errors.Is(err, errNotSent)
		return 0, err
	}
	return w.judge(a)
}

// readBack settles a creation whose answer was lost.
func (w *write) readBack(ctx context.Context) (Revision, error) {
	r := request{method: http.MethodGet, path: kvapi.PathGet, query: map[string][]string{"key": {w.body.Key}}}
	a, err := w.client.transport.attempt(ctx, r)
	if err != nil {
		return 0, err
	}
	if a.status == http.StatusNotFound {
		return 0, ErrUncertain
	}
	var e kvapi.Entry
	if err := a.decode(&e); err != nil {
		return 0, err
	}
	return w.judgeCurrent(e)
}

func (w *write) judge(a answer) (Revision, error) {
	switch a.status {
	case http.StatusOK, http.StatusConflict:
	case http.StatusRequestEntityTooLarge:
		return 0, ErrTooLarge
	case http.StatusNotFound: // the lease lapsed; with it went the key, if it was ever written
		if w.ambiguous {
			return 0, ErrUncertain
		}
		return 0, ErrNotFound
	default:
		return 0, errors.Newf("platform: unexpected status %d", a.status)
	}
	var out kvapi.CASResponse
	if err := a.decode(&out); err != nil {
		w.ambiguous = true
		return 0, errors.Mark(err, ErrUnavailable)
	}
	if a.status == http.StatusOK {
		return Revision(out.Revision), nil
	}
	if out.Current == nil {
		out.Current = &kvapi.Entry{Key: w.body.Key, Deleted: true}
	}
	return w.judgeCurrent(*out.Current)
}

// judgeCurrent decides on a write from the entry that stands in its place.
func (w *write) judgeCurrent(current kvapi.Entry) (Revision, error) {
	if w.body.Delete && w.ambiguous && current.Deleted {
		return Revision(current.Revision), nil
	}
	env := decodeEnvelope(current.Value)
	v, revision := settle(w.id, w.expect, env, Revision(current.Revision))
	if v == verdictApplied {
		return revision, nil
	}
	if v == verdictUnknown && w.ambiguous {
		return 0, ErrUncertain
	}
	return 0, &ConflictError{Current: w.client.open(current)}
}
