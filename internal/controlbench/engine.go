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

// tokenInterval is the time between two tokens of a stream. It equals the callers'
// latency budget for a token.
const tokenInterval = 44 * time.Millisecond

// engines serves many simulated model engines, each at its own address. The text of each
// streamed token is its send time, from which a reader in the same process computes the
// delay.
type engines struct {
	addresses []string
	server    *http.Server
	loading   bool
	requests  atomic.Int64 // received, except for streams and their cancellation
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
	mux.HandleFunc("GET "+engineapi.PathLoad, e.jsonHandler(engineapi.Load{Incarnation: 1, Model: benchModel, Version: "v1", TotalBlocks: 1000}))
	mux.HandleFunc("GET "+engineapi.PathEvents, e.jsonHandler(engineapi.EventPage{Incarnation: 1, Next: 1}))
	mux.HandleFunc("GET "+engineapi.PathBlocks, e.jsonHandler(engineapi.Snapshot{Incarnation: 1, Seq: 1}))
	mux.HandleFunc("GET "+engineapi.PathState, e.jsonHandler(e.state()))
	mux.HandleFunc("POST "+engineapi.PathOrders, e.jsonHandler(engineapi.OrderResponse{Accepted: true}))
	mux.HandleFunc("POST "+engineapi.PathCompletions, e.serveStream)
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

func (e *engines) jsonHandler(v any) http.HandlerFunc {
	data, err := json.Marshal(v)
	return func(w http.ResponseWriter, _ *http.Request) {
		e.requests.Add(1)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	}
}

// serveStream sends a token at each interval until all are sent or the client disconnects.
func (e *engines) serveStream(w http.ResponseWriter, r *http.Request) {
	var request engineapi.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	tick := time.NewTicker(tokenInterval)
	defer tick.Stop()
	for seq := range request.MaxTokens {
		frame := engineapi.Frame{RequestID: request.RequestID, Seq: seq, Version: request.Version}
		frame.Text = strconv.FormatInt(time.Now().UnixNano(), 10) + " "
		if err := writeFrame(w, controller, frame); err != nil {
			return
		}
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
	}
	usage := &engineapi.Usage{PromptTokens: 1, OutputTokens: request.MaxTokens}
	_ = writeFrame(w, controller, engineapi.Frame{
		RequestID: request.RequestID, Seq: request.MaxTokens, Version: request.Version, Done: true, Usage: usage,
	})
}

func writeFrame(w http.ResponseWriter, controller *http.ResponseController, f engineapi.Frame) error {
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	return controller.Flush()
}
