package controlbench

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
)

// tokenGap is the time between two tokens of a stream: the whole budget of a caller.
const tokenGap = 44 * time.Millisecond

// engines answer for many model engines, each at an address of its own. Their streams
// carry the time at which each token left, so that a reader in the same process sees the
// delay.
type engines struct {
	addresses []string
	server    *http.Server
	loading   bool
	asked     atomic.Int64 // questions for load, events and state
}

func startEngines(n int, loading bool) (*engines, error) {
	e := &engines{loading: loading}
	e.server = &http.Server{Handler: e.handler(), ReadHeaderTimeout: time.Second}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			e.close()
			return nil, errors.Wrap(err, "engine")
		}
		e.addresses = append(e.addresses, l.Addr().String())
		go func() { _ = e.server.Serve(l) }()
	}
	return e, nil
}

func (e *engines) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engineapi.PathLoad, e.answer(engineapi.Load{Incarnation: 1, Model: benchModel, Version: "v1", TotalBlocks: 1000}))
	mux.HandleFunc("GET "+engineapi.PathEvents, e.answer(engineapi.EventPage{Incarnation: 1, Next: 1}))
	mux.HandleFunc("GET "+engineapi.PathBlocks, e.answer(engineapi.Snapshot{Incarnation: 1, Seq: 1}))
	mux.HandleFunc("GET "+engineapi.PathState, e.answer(e.state()))
	mux.HandleFunc("POST "+engineapi.PathOrders, e.answer(engineapi.OrderResponse{Accepted: true}))
	mux.HandleFunc("POST "+engineapi.PathCompletions, e.stream)
	mux.HandleFunc("DELETE "+engineapi.PathStreams, func(http.ResponseWriter, *http.Request) {})
	return mux
}

func (e *engines) close() { _ = e.server.Close() }

func (e *engines) state() engineapi.State {
	s := engineapi.State{Incarnation: 1, Model: benchModel, Version: "v1", ChecksEpoch: true}
	if e.loading {
		s.Loading = "v1"
	}
	return s
}

func (e *engines) answer(v any) http.HandlerFunc {
	data, err := json.Marshal(v)
	return func(w http.ResponseWriter, _ *http.Request) {
		e.asked.Add(1)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	}
}

// stream sends a token at each gap until the reader leaves or has all.
func (e *engines) stream(w http.ResponseWriter, r *http.Request) {
	var request engineapi.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	tick := time.NewTicker(tokenGap)
	defer tick.Stop()
	for seq := range request.MaxTokens {
		frame := engineapi.Frame{RequestID: request.RequestID, Seq: seq, Version: request.Version}
		frame.Text = strconv.FormatInt(time.Now().UnixNano(), 10) + " "
		if err := writeFrame(w, flush, frame); err != nil {
			return
		}
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
	}
	usage := &engineapi.Usage{PromptTokens: 1, OutputTokens: request.MaxTokens}
	_ = writeFrame(w, flush, engineapi.Frame{
		RequestID: request.RequestID, Seq: request.MaxTokens, Version: request.Version, Done: true, Usage: usage,
	})
}

func writeFrame(w http.ResponseWriter, flush *http.ResponseController, f engineapi.Frame) error {
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	return flush.Flush()
}
