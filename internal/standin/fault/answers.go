package fault

import (
	"bytes"
	"mime"
	"net"
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Framing is what tells the end of an answer.
type Framing string

// Framings of answers.
const (
	FramingDefault Framing = "" // as net/http chooses
	FramingLength  Framing = "length"
	FramingChunks  Framing = "chunks"
	FramingNone    Framing = "none" // the end of the connection
)

// End is how a broken answer ends. A stream breaks at its second event, another answer in the middle of its first write.
type End string

// Ends of broken answers.
const (
	EndCut       End = "cut"        // the connection is closed in order; of a stream between two events
	EndCutInside End = "cut_inside" // the same inside an event
	EndReset     End = "reset"
	EndSilent    End = "silent" // nothing more comes until the caller leaves
	EndKilled    End = "killed" // the stand-in dies
)

const eventEnd = "\n\n"

// check returns an error for a value that no switch has.
func (c Command) check() error {
	framings := []Framing{FramingDefault, FramingLength, FramingChunks, FramingNone}
	if c.Framing != nil && !slices.Contains(framings, *c.Framing) {
		return errors.Newf("framing: want one of %q, got %q", framings, *c.Framing)
	}
	ends := []End{EndCut, EndCutInside, EndReset, EndSilent, EndKilled}
	if c.BreakEnd != nil && !slices.Contains(ends, *c.BreakEnd) {
		return errors.Newf("break_end: want one of %q, got %q", ends, *c.BreakEnd)
	}
	return nil
}

// answerWriter writes one answer with the framing and the end that the switches ask for. Its handler must return from ServeHTTP
// before finish is called.
type answerWriter struct {
	http.ResponseWriter
	request  *http.Request
	switches *Switches
	framing  Framing
	status   int    // 0: not set by the handler
	begun    bool   // the header is written
	decided  bool   // end is chosen
	end      End    // empty: whole
	events   int    // written to a stream
	body     []byte // collected for FramingLength
}

func newAnswerWriter(w http.ResponseWriter, r *http.Request, s *Switches) *answerWriter {
	return &answerWriter{ResponseWriter: w, request: r, switches: s, framing: s.Status().Framing}
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter. It does not return if the answer breaks here.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.decide()
	if w.framing == FramingLength {
		w.body = append(w.body, p...)
		return len(p), nil
	}
	w.begin()
	if part, ok := w.breakPoint(p); ok {
		w.breakOff(part)
	}
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *answerWriter) Flush() {
	if w.framing != FramingLength {
		w.begin()
		w.flush()
	}
}

func (w *answerWriter) flush() {
	_ = http.NewResponseController(w.ResponseWriter).Flush() // fails only if the caller has left
}

// decide chooses at the first byte of the body whether the answer breaks.
func (w *answerWriter) decide() {
	if w.decided {
		return
	}
	w.decided = true
	if !w.isProbe() {
		w.end = w.switches.takeBrokenAnswer()
	}
}

// isProbe reports whether this is the answer to a daemon's probe or poll, which would use up the switch: a read in JSON, or of a path
// that the stand-in does not serve.
func (w *answerWriter) isProbe() bool {
	refused := w.status != 0 && w.status != http.StatusOK
	return w.request.Method == http.MethodGet && (refused || w.mediaType() == "application/json")
}

func (w *answerWriter) mediaType() string {
	mediaType, _, err := mime.ParseMediaType(w.Header().Get("Content-Type"))
	if err != nil {
		return ""
	}
	return mediaType
}

func (w *answerWriter) isStream() bool { return w.mediaType() == "text/event-stream" }

// begin writes the header.
func (w *answerWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	if w.framing == FramingNone {
		w.Header().Set("Transfer-Encoding", "identity") // net/http then writes neither a length nor chunks
	}
	if w.status != 0 {
		w.ResponseWriter.WriteHeader(w.status)
	}
	if w.framing == FramingChunks {
		w.flush() // net/http no longer knows the length
	}
}

// breakPoint returns which part of a write is sent before the answer breaks, and whether it does.
func (w *answerWriter) breakPoint(p []byte) ([]byte, bool) {
	if w.end == "" {
		return nil, false
	}
	if !w.isStream() {
		return p[:len(p)/2], true
	}
	if !bytes.Contains(p, []byte("data:")) {
		return nil, false
	}
	w.events++
	switch {
	case w.events == 1:
		return nil, false
	case w.end == EndCutInside:
		return p[:len(p)/2], true
	}
	return nil, true
}

// brokenBody returns which part of a whole body is sent before the answer breaks.
func (w *answerWriter) brokenBody() []byte {
	if !w.isStream() {
		return w.body[:len(w.body)/2]
	}
	first := bytes.Index(w.body, []byte("data:"))
	if first < 0 {
		return nil
	}
	next := first + bytes.Index(w.body[first:], []byte(eventEnd)) + len(eventEnd)
	if w.end == EndCutInside {
		next += (len(w.body) - next) / 2
	}
	return w.body[:next]
}

// breakOff sends a last part and ends the answer. It does not return.
func (w *answerWriter) breakOff(part []byte) {
	_, _ = w.ResponseWriter.Write(part) // fails only if the caller has left
	w.flush()
	switch w.end {
	case EndReset:
		resetOnClose(w.request)
	case EndSilent:
		<-w.request.Context().Done()
	case EndKilled:
		w.switches.kill()
	}
	panic(http.ErrAbortHandler)
}

// resetOnClose makes the close of a request's connection a reset.
func resetOnClose(r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		return
	}
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
}

// finish ends an answer that its handler has written.
func (w *answerWriter) finish() {
	if w.framing != FramingLength {
		w.begin()
		return
	}
	if len(w.body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(w.body)))
	}
	w.begin()
	if w.end != "" {
		w.breakOff(w.brokenBody())
	}
	_, _ = w.ResponseWriter.Write(w.body) // fails only if the caller has left
}
