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

// errDiverged reports that a repeated try yields another text than the caller has
// already got. The answer can then not be completed.
var errDiverged = errors.New("gateway: repeated try yields another text")

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

// sink writes an answer to the caller: as events, as one body, or, for a peer, as
// the target's own frames.
type sink struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	j       *Job
	started bool            // the head of the answer is written
	have    strings.Builder // the answer as far as the caller has it
	skip    int             // bytes of the answer that the caller already has and that are compared
	seq     int             // frames written to a peer
	firstAt time.Time
	timeout time.Duration // of one write

	mu sync.Mutex // orders writes of answers and of keep-alives
}

// keepAlivesPerSilence is how many keep-alives a peer sends in the time after which
// its silence counts as failure.
const keepAlivesPerSilence = 4

// keepAliveEvent is a comment that readers of events skip.
const keepAliveEvent = ": keep-alive\n\n"

func newSink(w http.ResponseWriter, j *Job, timeout time.Duration) *sink {
	return &sink{w: w, flush: http.NewResponseController(w), j: j, timeout: timeout}
}

// keepAlive opens a forwarded stream at once and writes comments to it until the
// returned function is called. A forwarding daemon can so tell a home that waits for
// a target from one that is frozen or cut off: the latter shows as silence.
func (s *sink) keepAlive(interval time.Duration) (stop func()) {
	if !s.j.hopped || s.j.kind != kindCompletion {
		return func() {}
	}
	s.head("text/event-stream")
	s.raw(keepAliveEvent)
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
				s.raw(keepAliveEvent)
			}
		}
	}()
	return func() {
		close(quit)
		<-stopped
	}
}

func (s *sink) streamed() bool { return s.j.completion.Stream || s.j.hopped }

// restart prepares for another try: what was written is compared, not written again.
func (s *sink) restart() { s.skip = 0 }

// text takes the next piece of the answer.
func (s *sink) text(text string, version request.Version) error {
	if s.firstAt.IsZero() {
		s.firstAt = time.Now()
	}
	fresh, err := s.fresh(text)
	if err != nil || fresh == "" {
		return err
	}
	s.have.WriteString(fresh)
	if !s.streamed() {
		return nil
	}
	if s.j.hopped {
		return s.event(engineapi.Frame{RequestID: s.j.id, Seq: s.nextSeq(), Text: fresh, Version: version})
	}
	return s.event(s.chunk(fresh))
}

// fresh returns the part of text that the caller does not have yet. After a restart
// the head of the new answer must equal what the caller already has.
func (s *sink) fresh(text string) (string, error) {
	have := s.have.String()[s.skip:]
	n := min(len(have), len(text))
	if have[:n] != text[:n] {
		return "", errDiverged
	}
	s.skip += len(text)
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

// done ends the answer.
func (s *sink) done(u engineapi.Usage) {
	switch {
	case s.j.hopped:
		_ = s.event(engineapi.Frame{RequestID: s.j.id, Seq: s.nextSeq(), Version: s.j.context.Scope.Version, Done: true, Usage: &u})
	case s.streamed():
		_ = s.event(s.last("", u))
		s.raw("data: [DONE]\n\n")
	default:
		s.head("application/json")
		s.whole(s.last(s.have.String(), u))
	}
}

func (s *sink) whole(answer completionChunk) {
	body, err := json.Marshal(answer)
	if err != nil {
		return // can not be: the types are plain
	}
	writeBounded(s.w, append(body, '\n'), s.timeout)
}

func (s *sink) last(text string, u engineapi.Usage) completionChunk {
	c := s.chunk(text)
	c.Choices[0].FinishReason = "length"
	c.Usage = &completionUsage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.OutputTokens,
		CachedTokens:     u.CachedTokens,
	}
	return c
}

// fail ends an answer that has begun and can not be completed.
func (s *sink) fail(e *request.Error) {
	if s.j.hopped {
		_ = s.event(hopFailure{Error: detailOf(e), Status: e.Status})
		return
	}
	_ = s.event(errorBody{Error: detailOf(e)})
}

func (s *sink) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "gateway: encode event")
	}
	s.head("text/event-stream")
	if !s.raw("data: " + string(data) + "\n\n") {
		return errors.New("gateway: caller left")
	}
	return nil
}

func (s *sink) head(contentType string) {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", contentType)
	s.w.Header().Set(HeaderRequestID, string(s.j.id))
	s.w.WriteHeader(http.StatusOK)
}

// raw writes at once. A caller that stops reading without closing its connection
// would hold a credit and a target's stream for ever; the write deadline ends it.
func (s *sink) raw(text string) (read bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.flush.SetWriteDeadline(time.Now().Add(s.timeout))
	if _, err := s.w.Write([]byte(text)); err != nil {
		return false
	}
	return s.flush.Flush() == nil
}
