package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// PathStats is the HTTP path of Stats.
const PathStats = "/debug/stats"

// Handler returns the HTTP handler that serves engineapi.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathCompletions, e.serveCompletion)
	mux.HandleFunc("GET "+engineapi.PathStreams+"{id}", e.serveResume)
	mux.HandleFunc("DELETE "+engineapi.PathStreams+"{id}", e.serveCancel)
	mux.HandleFunc("GET "+engineapi.PathLoad, e.serveLoad)
	mux.HandleFunc("GET "+engineapi.PathEvents, e.serveEvents)
	mux.HandleFunc("GET "+engineapi.PathBlocks, e.serveBlocks)
	mux.HandleFunc("POST "+engineapi.PathExport, e.serveExport)
	mux.HandleFunc("POST "+engineapi.PathImport, e.serveImport)
	mux.HandleFunc("POST "+engineapi.PathOrders, e.serveOrder)
	mux.HandleFunc("GET "+engineapi.PathState, e.serveState)
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) })
	return mux
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req engineapi.CompletionRequest
	if !decodeJSON(w, r, &req) {
		return
	}
	if req.RequestID == "" || req.MaxTokens <= 0 {
		writeError(w, newError(engineapi.CodeBadRequest, "request_id and max_tokens are needed"))
		return
	}
	e.mu.Lock()
	s, refused := e.acceptLocked(req)
	e.mu.Unlock()
	if refused != nil {
		writeError(w, refused)
		return
	}
	e.notifyWork()
	e.serveFrames(w, r, s, 0)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		writeError(w, newError(engineapi.CodeBadRequest, "from must be a sequence"))
		return
	}
	s := e.findStream(r)
	if s == nil {
		writeError(w, newError(engineapi.CodeUnknownStream, "no such stream"))
		return
	}
	e.serveFrames(w, r, s, from)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	s := e.findStream(r)
	if s == nil {
		writeError(w, newError(engineapi.CodeUnknownStream, "no such stream"))
		return
	}
	e.mu.Lock()
	e.cancelLocked(s)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) findStream(r *http.Request) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[request.ID(r.PathValue("id"))]
}

// serveFrames sends a stream's frames as server-sent events, starting at sequence number
// from. It sends heartbeat comments while there are no frames. The request continues if
// the reader disconnects.
func (e *Engine) serveFrames(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	heartbeat := time.NewTicker(e.opts.Heartbeat)
	defer heartbeat.Stop()
	for {
		frames, changed, done := e.framesFrom(s, from)
		for _, f := range frames {
			if err := writeEvent(w, f); err != nil {
				return
			}
		}
		from += len(frames)
		flush(w)
		if done {
			return
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			w.Write([]byte(": waiting\n\n"))
		case <-r.Context().Done():
			return
		case <-e.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) framesFrom(s *stream, from int) (frames []engineapi.Frame, changed <-chan struct{}, done bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := from; i < len(s.frames); i++ {
		frames = append(frames, e.swapFrameLocked(s, s.frames[i]))
	}
	return frames, s.changed, s.done
}

func writeEvent(w http.ResponseWriter, f engineapi.Frame) error {
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	_, err = w.Write(append(append([]byte("data: "), data...), "\n\n"...))
	return err
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := e.load
	load.AgeMillis = time.Since(e.loadAt).Milliseconds()
	e.mu.Unlock()
	writeJSON(w, load)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, newError(engineapi.CodeBadRequest, "after must be a sequence"))
		return
	}
	e.mu.Lock()
	events, next := e.events.pageAfter(time.Now(), after)
	e.mu.Unlock()
	writeJSON(w, engineapi.EventPage{Incarnation: e.opts.Incarnation, Events: events, Next: next})
}

func (e *Engine) serveBlocks(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	snapshot := engineapi.Snapshot{Incarnation: e.opts.Incarnation, Seq: e.events.seq, Blocks: e.cache.hashes()}
	e.mu.Unlock()
	writeJSON(w, snapshot)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var req engineapi.ExportRequest
	if decodeJSON(w, r, &req) {
		writeJSON(w, e.export(r.Context(), req))
	}
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var req engineapi.ImportRequest
	if !decodeJSON(w, r, &req) {
		return
	}
	out, refused := e.importBlocks(r.Context(), req)
	if refused != nil {
		writeError(w, refused)
		return
	}
	writeJSON(w, out)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engineapi.Order
	if !decodeJSON(w, r, &o) {
		return
	}
	if refused := e.applyOrder(o); refused != nil {
		writeError(w, refused)
		return
	}
	writeJSON(w, engineapi.OrderResponse{Accepted: true})
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := e.state
	e.mu.Unlock()
	writeJSON(w, state)
}

func decodeJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		writeError(w, newError(engineapi.CodeBadRequest, err.Error()))
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// writeError sends an engineapi.Error as the response.
func writeError(w http.ResponseWriter, e *engineapi.Error) {
	status := http.StatusServiceUnavailable
	switch e.Code {
	case engineapi.CodeBadRequest:
		status = http.StatusBadRequest
	case engineapi.CodeUnknownStream:
		status = http.StatusNotFound
	case engineapi.CodeStaleEpoch:
		status = http.StatusConflict
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(e)
}
