package engine

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
)

const (
	// maxConcurrentTransfers is the maximum number of blocks that one export or import
	// transfers concurrently.
	maxConcurrentTransfers = 8
	storeDialTimeout       = 2 * time.Second
	// maxPayload is the maximum size of a block's content in bytes.
	maxPayload = 1 << 20
	// payloadCopies is the number of copies of its hash that make up a block's content.
	// The content must be long enough to be torn.
	payloadCopies = 8
)

var (
	errTorn = errors.New("engine: block content is truncated or corrupt")
	errMiss = errors.New("engine: block cannot be read or cached")
)

func newStoreClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: storeDialTimeout}).DialContext,
		MaxIdleConnsPerHost: 2 * maxConcurrentTransfers,
	}}
}

// blockPayload returns the content that represents a block's KV cache.
func blockPayload(h block.Hash) []byte {
	return bytes.Repeat([]byte(h.String()), payloadCopies)
}

func objectURL(address, name string) string {
	return "http://" + address + storeapi.PathObjects + url.PathEscape(name)
}

// runOrdered calls f for 0..n-1, several concurrently. It returns the number of leading
// calls that succeeded and the error of the first call that failed. After an error it
// starts no further calls. It returns when all started calls have ended.
func runOrdered(ctx context.Context, n int, f func(context.Context, int) error) (int, error) {
	errs := make([]error, n)
	var next atomic.Int64
	var failed atomic.Bool
	var workers sync.WaitGroup
	for range min(n, maxConcurrentTransfers) {
		workers.Go(func() {
			for ctx.Err() == nil && !failed.Load() {
				i := int(next.Add(1)) - 1
				if i >= n {
					return
				}
				if errs[i] = f(ctx, i); errs[i] != nil {
					failed.Store(true)
				}
			}
		})
	}
	workers.Wait()
	started := min(n, int(next.Load()))
	for i, err := range errs[:started] {
		if err != nil {
			return i, err
		}
	}
	return started, ctx.Err()
}

// export writes blocks to a store VM, up to the first block that is not cached or cannot
// be written. Later blocks whose transfer had started are freed again, since the response
// does not list them. Blocks are held, and therefore not evicted, until they are written.
func (e *Engine) export(ctx context.Context, req engineapi.ExportRequest) engineapi.ExportResponse {
	held := e.acquireLeading(req.Blocks)
	defer e.releaseBlocks(held)
	written := make([]engineapi.ExportedBlock, len(held))
	n, _ := runOrdered(ctx, len(held), func(ctx context.Context, i int) error {
		var err error
		written[i], err = e.exportBlock(ctx, req, held[i])
		return err
	})
	for _, attempted := range written[n:] {
		if attempted.Length > 0 {
			e.freeExported(req, attempted.Hash)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.ExportedBlocks += int64(n)
	e.stats.ExportedBytes += int64(n) * e.blockBytes()
	return engineapi.ExportResponse{Written: written[:n]}
}

func (e *Engine) acquireLeading(hashes []block.Hash) []block.Hash {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, h := range hashes {
		if !e.cache.acquire(h) {
			return hashes[:i]
		}
	}
	return hashes
}

func (e *Engine) releaseBlocks(hashes []block.Hash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.release(hashes)
}

func (e *Engine) exportBlock(ctx context.Context, req engineapi.ExportRequest, h block.Hash) (engineapi.ExportedBlock, error) {
	content := blockPayload(h)
	out := engineapi.ExportedBlock{Hash: h, Length: e.blockBytes(), Digest: digestOf(content)}
	url := objectURL(req.StoreAddress, req.Prefix+h.String())
	put, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(content))
	if err != nil {
		return out, err
	}
	put.Header.Set(storeapi.HeaderDigest, out.Digest)
	put.Header.Set(storeapi.HeaderLength, strconv.FormatInt(out.Length, 10))
	resp, err := e.client.Do(put)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	if resp.StatusCode/100 != 2 {
		return out, errors.Newf("engine: store responded with status %s", resp.Status)
	}
	return out, nil
}

func (e *Engine) freeExported(req engineapi.ExportRequest, h block.Hash) {
	url := objectURL(req.StoreAddress, req.Prefix+h.String())
	del, err := http.NewRequestWithContext(e.ctx, http.MethodDelete, url, nil)
	if err != nil {
		return
	}
	if resp, err := e.client.Do(del); err == nil {
		resp.Body.Close()
	}
}

// importBlocks reads blocks from a store VM. It caches a block only if the length and the
// digest match, so that a running request never uses a torn block.
func (e *Engine) importBlocks(ctx context.Context, req engineapi.ImportRequest) (engineapi.ImportResponse, *engineapi.Error) {
	if refused := e.checkVersion(req); refused != nil {
		return engineapi.ImportResponse{}, refused
	}
	n, err := runOrdered(ctx, len(req.Blocks), func(ctx context.Context, i int) error {
		return e.importBlock(ctx, req, req.Blocks[i])
	})
	out := engineapi.ImportResponse{Imported: n}
	for _, b := range req.Blocks[:n] {
		out.Bytes += b.Length
	}
	if errors.Is(err, errTorn) {
		out.Corrupt = 1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.ImportedBlocks += int64(n)
	e.stats.ImportedBytes += out.Bytes
	return out, nil
}

func (e *Engine) checkVersion(req engineapi.ImportRequest) *engineapi.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.Version != e.state.Version {
		return newError(engineapi.CodeWrongVersion, "loaded is "+string(e.state.Version))
	}
	return nil
}

func (e *Engine) importBlock(ctx context.Context, req engineapi.ImportRequest, want engineapi.ExportedBlock) error {
	if e.hasBlock(want.Hash) {
		return nil
	}
	if err := e.readBlock(ctx, req, want); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.Version != e.state.Version {
		return errMiss
	}
	if len(e.insertLocked([]block.Hash{want.Hash})) == 0 {
		return errMiss
	}
	return nil
}

func (e *Engine) hasBlock(h block.Hash) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.has(h)
}

func (e *Engine) readBlock(ctx context.Context, req engineapi.ImportRequest, want engineapi.ExportedBlock) error {
	url := objectURL(req.StoreAddress, req.Prefix+want.Hash.String())
	get, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := e.client.Do(get)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, resp.Body)
		return errMiss
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxPayload))
	if err != nil {
		return errTorn
	}
	length := resp.Header.Get(storeapi.HeaderLength)
	if length != strconv.FormatInt(want.Length, 10) || digestOf(content) != want.Digest {
		return errTorn
	}
	return nil
}

func digestOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
