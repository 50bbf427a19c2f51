package store

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/storeapi"
)

// maxBody is the maximum size of an object's body in bytes.
const maxBody = 16 << 20

// Handler returns the HTTP handler that serves storeapi.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+storeapi.PathObjects, s.servePut)
	mux.HandleFunc("GET "+storeapi.PathObjects, s.serveGet)
	mux.HandleFunc("DELETE "+storeapi.PathObjects, s.serveDelete)
	mux.HandleFunc("POST "+storeapi.PathTier, s.serveTier)
	mux.HandleFunc("POST "+storeapi.PathPin, s.servePin)
	mux.HandleFunc("GET "+storeapi.PathStatus, s.serveStatus)
	mux.HandleFunc("GET "+storeapi.PathList, s.serveList)
	return mux
}

// objectName returns the object name from the request's path. Names may contain escaped
// slashes.
func objectName(r *http.Request) (string, error) {
	raw := strings.TrimPrefix(r.URL.EscapedPath(), storeapi.PathObjects)
	return url.PathUnescape(raw)
}

// servePut stores an object only after its complete body has arrived and its digest
// matches, so that a truncated write is never visible.
func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	name, err := objectName(r)
	if err != nil || name == "" {
		http.Error(w, "bad object name", http.StatusBadRequest)
		return
	}
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	digest := digestOf(content)
	if want := r.Header.Get(storeapi.HeaderDigest); want != "" && want != digest {
		http.Error(w, "content does not match its digest", http.StatusBadRequest)
		return
	}
	length, err := chargedLength(r.Header, len(content))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.link.transfer(r.Context(), length, s.switches.Status().Slow); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := s.put(name, content, digest, length); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func chargedLength(h http.Header, actual int) (int64, error) {
	text := h.Get(storeapi.HeaderLength)
	if text == "" {
		return int64(actual), nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, errors.Newf("bad %s: %q", storeapi.HeaderLength, text)
	}
	return n, nil
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	name, err := objectName(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o, err := s.get(name, r.URL.Query().Get("peek") != "")
	if err != nil {
		writeError(w, err)
		return
	}
	slow := s.switches.Status().Slow
	if o.tier == storeapi.TierDisk {
		if err := s.disk.transfer(r.Context(), o.length, slow); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if err := s.link.transfer(r.Context(), o.length, slow); err != nil {
		panic(http.ErrAbortHandler)
	}
	content := o.content
	if s.switches.TakeTornRead() {
		content = content[:len(content)/2]
	}
	w.Header().Set(storeapi.HeaderDigest, o.digest)
	w.Header().Set(storeapi.HeaderLength, strconv.FormatInt(o.length, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(content)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	name, err := objectName(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.free(name); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveTier moves objects in order and stops at the first object that cannot be moved.
func (s *Store) serveTier(w http.ResponseWriter, r *http.Request) {
	var req storeapi.TierRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if req.Tier != storeapi.TierMemory && req.Tier != storeapi.TierDisk {
		http.Error(w, "unknown tier", http.StatusBadRequest)
		return
	}
	for _, name := range req.Names {
		moved, err := s.move(name, req.Tier)
		if err != nil {
			writeError(w, err)
			return
		}
		if err := s.disk.transfer(r.Context(), moved, s.switches.Status().Slow); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// servePin pins objects in order and stops at the first object that does not exist.
func (s *Store) servePin(w http.ResponseWriter, r *http.Request) {
	var req storeapi.PinRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	until := time.Now().Add(time.Duration(req.TTLMillis) * time.Millisecond)
	for _, name := range req.Names {
		if err := s.pin(name, until); err != nil {
			writeError(w, err)
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s.Status())
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 {
		http.Error(w, "bad limit", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(storeapi.ListResponse{Objects: s.list(q.Get("prefix"), q.Get("contains"), limit)})
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, errAbsent):
		status = http.StatusNotFound
	case errors.Is(err, errFreed):
		status = http.StatusGone
	case errors.Is(err, errContentMismatch), errors.Is(err, errPinned):
		status = http.StatusConflict
	case errors.Is(err, errFull):
		status = http.StatusInsufficientStorage
	}
	http.Error(w, err.Error(), status)
}

func digestOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
