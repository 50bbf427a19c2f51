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

// maxChains bounds the cached chains; a cache miss costs one read.
const maxChains = 4096

// chain is the last known write of a key and the writes before it.
type chain struct {
	revision         Revision
	successorHistory []historyEntry // history of the write that replaces revision
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
	c.chains[key] = chain{revision: revision, successorHistory: e.successorHistory(revision)}
}

func (c *chainCache) lookup(key string, revision Revision) ([]historyEntry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.chains[key]
	return known.successorHistory, known.revision == revision
}

// CompareAndSwap implements KV.
//
// If the response is lost, the client sends the same write again. The write carries its identity
// and can take effect only once, since its expected revision is no longer current afterwards. If
// the second attempt meets a conflict, the history in the current value shows whether the first
// attempt took effect (see resolveOutcome), even if another writer has replaced the value in the
// meantime; the client then returns the revision of the first attempt, as if its response had
// been late. If the history does not show it, because the key was deleted in between or replaced
// more than historyLength times, the result is ErrUncertain.
// A creation whose response was lost is read back but not sent again: the key may have been
// created and deleted in the meantime, and a second attempt would create it again.
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

// Delete implements KV. It handles a lost response like CompareAndSwap; a key that is absent
// afterwards counts as deleted, no matter which writer deleted it.
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

// historyAt returns the history for a write that replaces revision expect.
func (c *Client) historyAt(ctx context.Context, key string, expect Revision) ([]historyEntry, error) {
	if expect == 0 {
		return nil, nil
	}
	if history, ok := c.chains.lookup(key, expect); ok {
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
	history, _ := c.chains.lookup(key, expect)
	return history, nil
}

// write is a write whose outcome is not known yet.
type write struct {
	client    *Client
	expect    Revision
	id        writeID
	body      kvapi.CASRequest
	ambiguous bool // an attempt without a response may have taken effect
}

// run sends the write until its outcome is known. It fails after maxReadAttempts attempts if none of
// them left this process; otherwise it retries until ctx ends.
func (w *write) run(ctx context.Context) (Revision, error) {
	attempts := 0
	op := func() (Revision, error) {
		attempts++
		revision, err := w.attempt(ctx)
		switch {
		case err == nil:
			return revision, nil
		case !errors.Is(err, ErrUnavailable):
			return 0, backoff.Permanent(err)
		case !w.ambiguous && attempts >= maxReadAttempts:
			return 0, backoff.Permanent(err)
		}
		return 0, err
	}
	revision, err := backoff.Retry(ctx, op, backoff.WithBackOff(newBackOff()), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return revision, nil
	}
	return 0, w.finalError(err)
}

// finalError converts the error of the last attempt into the error that the caller receives.
func (w *write) finalError(err error) error {
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		err = permanent.Unwrap()
	}
	if errors.Is(err, ErrConflict) || errors.Is(err, ErrUncertain) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrNotFound) {
		return err
	}
	if w.ambiguous {
		w.client.metrics.Counter("uncertain").Inc(1)
		w.client.logger.Warn("Outcome of a write to the key-value service is unknown", "key", w.body.Key, "error", err)
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
	if err := c.waitBudget(ctx, c.writes); err != nil {
		return 0, err
	}
	c.metrics.Counter("writes").Inc(1)
	resp, err := c.transport.attempt(ctx, request{method: http.MethodPost, path: kvapi.PathCAS, body: w.body})
	if err != nil {
		w.ambiguous = w.ambiguous || !errors.Is(err, errNotSent)
		return 0, err
	}
	return w.handleResponse(resp)
}

// readBack determines the outcome of a creation whose response was lost.
func (w *write) readBack(ctx context.Context) (Revision, error) {
	r := request{method: http.MethodGet, path: kvapi.PathGet, query: map[string][]string{"key": {w.body.Key}}}
	resp, err := w.client.transport.attempt(ctx, r)
	if err != nil {
		return 0, err
	}
	if resp.status == http.StatusNotFound {
		return 0, ErrUncertain
	}
	var e kvapi.Entry
	if err := resp.decode(&e); err != nil {
		return 0, err
	}
	return w.resolveAgainst(e)
}

func (w *write) handleResponse(resp response) (Revision, error) {
	switch resp.status {
	case http.StatusOK, http.StatusConflict:
	case http.StatusRequestEntityTooLarge:
		return 0, ErrTooLarge
	case http.StatusNotFound: // the lease expired, which also deleted the key if it was written
		if w.ambiguous {
			return 0, ErrUncertain
		}
		return 0, ErrNotFound
	default:
		return 0, errors.Newf("platform: unexpected status %d", resp.status)
	}
	var out kvapi.CASResponse
	if err := resp.decode(&out); err != nil {
		w.ambiguous = true
		return 0, errors.Mark(err, ErrUnavailable)
	}
	if resp.status == http.StatusOK {
		return Revision(out.Revision), nil
	}
	if out.Current == nil {
		out.Current = &kvapi.Entry{Key: w.body.Key, Deleted: true}
	}
	return w.resolveAgainst(*out.Current)
}

// resolveAgainst determines the outcome of the write from the current entry of its key.
func (w *write) resolveAgainst(current kvapi.Entry) (Revision, error) {
	if w.body.Delete && w.ambiguous && current.Deleted {
		return Revision(current.Revision), nil
	}
	env := decodeEnvelope(current.Value)
	outcome, revision := resolveOutcome(w.id, w.expect, env, Revision(current.Revision))
	if outcome == outcomeApplied {
		return revision, nil
	}
	if outcome == outcomeUnknown && w.ambiguous {
		return 0, ErrUncertain
	}
	return 0, &ConflictError{Current: w.client.unwrap(current)}
}
