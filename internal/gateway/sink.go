package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// errDiverged reports that a retry produced a text that differs from the text the caller
// has already received. The answer can then not be completed.
var errDiverged = errors.New("gateway: retry produced a different text")

// completionChunk is one event of a streamed completion.
type completionChunk struct {
	ID      request.ID         `json:"id"`
	Object  string             `json:"object"`
	Model   request.Model      `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

const objectCompletion = "text_completion"

// sink writes an answer to the caller. It writes events, a single body, or, for a peer,
// frames in the format of the target.
type sink struct {
	w             http.ResponseWriter
	control       *http.ResponseController
	j             *Job
	headerWritten bool            // the status and headers have been written
	sentText      strings.Builder // answer text so far, sent to the caller or collected for a single body
	attemptBytes  int             // length of the text that the current attempt has produced
	seq           int             // number of frames written to a peer
	firstTextAt   time.Time
	timeout       time.Duration // timeout of one write

	mu sync.Mutex // serializes the writes of answers and keep-alives
}

// keepAlivesPerTimeout is the number of keep-alives that a peer sends within HopIdleTimeout,
// after which a peer without any output is considered failed.
const keepAlivesPerTimeout = 4

// keepAliveEvent is an event-stream comment, which readers of events skip.
const keepAliveEvent = ": keep-alive\n\n"

func newSink(w http.ResponseWriter, j *Job, timeout time.Duration) *sink {
	return &sink{w: w, control: http.NewResponseController(w), j: j, timeout: timeout}
}

// keepAlive starts a forwarded stream immediately and writes comments to it until the
// returned function is called. The comments let the forwarding daemon distinguish a home
// daemon that waits for a target from one that is frozen or partitioned and sends nothing.
func (s *sink) keepAlive(interval time.Duration) (stop func()) {
	if !s.j.fromPeer || s.j.kind != kindCompletion {
		return func() {}
	}
	s.writeHeader("text/event-stream")
	s.write(keepAliveEvent)
	quit := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			select {
			case <-quit:
				return
			case <-tick.C:
				s.write(keepAliveEvent)
			}
		}
	}()
	return func() {
		close(quit)
		<-stopped
	}
}

func (s *sink) streamed() bool { return s.j.completion.Stream || s.j.fromPeer }

// beginRetry prepares the sink for another attempt, whose text is compared with the text
// already sent instead of being written again.
func (s *sink) beginRetry() { s.attemptBytes = 0 }

// writeText writes the next piece of the answer.
func (s *sink) writeText(text string, version request.Version) error {
	if s.firstTextAt.IsZero() {
		s.firstTextAt = time.Now()
	}
	unsent, err := s.unsent(text)
	if err != nil || unsent == "" {
		return err
	}
	s.sentText.WriteString(unsent)
	if !s.streamed() {
		return nil
	}
	if s.j.fromPeer {
		return s.writeEvent(engineapi.Frame{RequestID: s.j.id, Seq: s.nextSeq(), Text: unsent, Version: version})
	}
	return s.writeEvent(s.chunk(unsent))
}

// unsent returns the part of text that has not been sent to the caller. After beginRetry,
// the new answer must begin with the text that was already sent.
func (s *sink) unsent(text string) (string, error) {
	sentText := s.sentText.String()[s.attemptBytes:]
	n := min(len(sentText), len(text))
	if sentText[:n] != text[:n] {
		return "", errDiverged
	}
	s.attemptBytes += len(text)
	return text[n:], nil
}

func (s *sink) nextSeq() int {
	s.seq++
	return s.seq - 1
}

func (s *sink) chunk(text string) completionChunk {
	return completionChunk{
		ID:      s.j.id,
		Object:  objectCompletion,
		Model:   s.j.model,
		Choices: []completionChoice{{Text: text}},
	}
}

// finish completes the answer.
func (s *sink) finish(u engineapi.Usage) {
	switch {
	case s.j.fromPeer:
		_ = s.writeEvent(engineapi.Frame{RequestID: s.j.id, Seq: s.nextSeq(), Version: s.j.context.Scope.Version, Done: true, Usage: &u})
	case s.streamed():
		_ = s.writeEvent(s.lastChunk("", u))
		s.write("data: [DONE]\n\n")
	default:
		s.writeBody(s.lastChunk(s.sentText.String(), u))
	}
}

// writeBody writes an answer in one piece.
func (s *sink) writeBody(answer completionChunk) {
	body, err := json.Marshal(answer)
	if err != nil {
		return // unreachable: these types always encode
	}
	body = append(body, '\n')
	setLength(s.w.Header(), body)
	s.writeHeader("application/json")
	_ = writeWithTimeout(s.w, body, s.timeout) // fails only if the caller has left
}

func (s *sink) lastChunk(text string, u engineapi.Usage) completionChunk {
	c := s.chunk(text)
	c.Choices[0].FinishReason = "length"
	c.Usage = &completionUsage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.OutputTokens,
		CachedTokens:     u.CachedTokens,
	}
	return c
}

// fail ends an answer that has been started and can not be completed.
func (s *sink) fail(e *request.Error) {
	if s.j.fromPeer {
		_ = s.writeEvent(hopFailure{Error: detailOf(e), Status: e.Status})
		return
	}
	_ = s.writeEvent(errorBody{Error: detailOf(e)})
}

func (s *sink) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "gateway: encode event")
	}
	s.writeHeader("text/event-stream")
	if !s.write("data: " + string(data) + "\n\n") {
		return errors.New("gateway: caller closed the connection")
	}
	return nil
}

func (s *sink) writeHeader(contentType string) {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	s.w.Header().Set("Content-Type", contentType)
	s.w.Header().Set(HeaderRequestID, string(s.j.id))
	s.w.WriteHeader(http.StatusOK)
}

// write writes and flushes text under a write deadline. Without the deadline, a caller
// that stops reading but keeps its connection open would hold a credit and a target's
// stream indefinitely.
func (s *sink) write(text string) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.control.SetWriteDeadline(time.Now().Add(s.timeout))
	if _, err := s.w.Write([]byte(text)); err != nil {
		return false
	}
	return s.control.Flush() == nil
}
