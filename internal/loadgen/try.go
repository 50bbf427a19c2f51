package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	pathCompletions = "/v1/completions"
	endOfStream     = "[DONE]"
	maxAnswer       = 8 << 20
)

// errNoAnswer reports a try that ended without an answer: the connection failed, went
// silent, or ended before the answer was whole.
var errNoAnswer = errors.New("loadgen: no answer")

// refusal is an answer that says why there is none.
type refusal struct {
	Code         request.Code       `json:"code"`
	Message      string             `json:"message"`
	Ran          request.RunOutcome `json:"ran"`
	RetryAfterMs int64              `json:"retry_after_ms"`
}

// Error implements the error interface.
func (r *refusal) Error() string { return string(r.Code) + " (" + string(r.Ran) + "): " + r.Message }

func (r *refusal) retryAfter() time.Duration { return time.Duration(r.RetryAfterMs) * time.Millisecond }

type errorBody struct {
	Error *refusal `json:"error"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

type completionBody struct {
	Model     request.Model `json:"model"`
	Prompt    string        `json:"prompt"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// chunk is one event of a streamed completion.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *usage   `json:"usage"`
	Error *refusal `json:"error"`
}

// completion is an answer that ended as a whole one does.
type completion struct {
	text    string
	usage   *usage
	firstAt time.Time
}

// caller sends single tries.
type caller struct {
	client      *http.Client
	silentAfter time.Duration
}

// complete makes one try of a completion. It fails with *refusal or errNoAnswer.
func (c *caller) complete(ctx context.Context, address, key string, body completionBody) (completion, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return completion{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(c.silentAfter, cancel)
	defer silence.Stop()
	resp, err := c.post(ctx, address+pathCompletions, key, "", data)
	if err != nil {
		return completion{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return completion{}, readRefusal(resp)
	}
	return readStream(resp.Body, func() { silence.Reset(c.silentAfter) })
}

func (c *caller) post(ctx context.Context, addressPath, key, idempotencyKey string, data []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addressPath, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, errors.Mark(err, errNoAnswer)
	}
	return resp, nil
}

// readStream reads server-sent events up to the end marker. A stream that ends before
// it has no answer, whatever came.
func readStream(body io.Reader, alive func()) (completion, error) {
	var out completion
	var text strings.Builder
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return out, errors.Mark(errors.Wrap(err, "stream"), errNoAnswer)
		}
		alive()
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == endOfStream {
			out.text = text.String()
			return out, nil
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return out, errors.Mark(errors.Wrap(err, "stream"), errNoAnswer)
		}
		if c.Error != nil {
			return out, c.Error
		}
		out.take(c, &text)
	}
}

func (out *completion) take(c chunk, text *strings.Builder) {
	if c.Usage != nil {
		out.usage = c.Usage
	}
	for _, choice := range c.Choices {
		if choice.Text != "" && out.firstAt.IsZero() {
			out.firstAt = time.Now()
		}
		text.WriteString(choice.Text)
	}
}

// callService makes one try of a service call and returns the body of a good answer.
func (c *caller) callService(ctx context.Context, address, key, path, idempotencyKey string, data []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.silentAfter)
	defer cancel()
	resp, err := c.post(ctx, address+path, key, idempotencyKey, data)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return nil, readRefusal(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, errors.Mark(err, errNoAnswer)
	}
	return body, nil
}

// readRefusal reads an error answer. One that does not follow the interface is no
// answer.
func readRefusal(resp *http.Response) error {
	var body errorBody
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&body); err != nil || body.Error == nil {
		return errors.Mark(errors.Newf("status %d without an error", resp.StatusCode), errNoAnswer)
	}
	seconds, err := strconv.ParseInt(resp.Header.Get("Retry-After"), 10, 64)
	if err == nil && body.Error.RetryAfterMs == 0 {
		body.Error.RetryAfterMs = seconds * time.Second.Milliseconds()
	}
	return body.Error
}
