package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// maxLine is the maximum length of a line of a stream in bytes.
const maxLine = 1 << 20

var dataPrefix = []byte("data:")

// Stream is an open completion. It must be used by one goroutine only, except for Close.
type Stream struct {
	client *Client
	op     string
	id     request.ID
	ctx    context.Context
	cancel context.CancelCauseFunc
	resp   *http.Response
	lines  *bufio.Reader
	done   bool
}

func (c *Client) openStream(ctx context.Context, op string, id request.ID, method, path string, in any) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	req, err := c.newRequest(ctx, method, path, in)
	if err != nil {
		cancel(err)
		return nil, c.fail(op, ErrBadResponse, true, err)
	}
	headerTimer := time.AfterFunc(c.o.DialTimeout+c.o.HeaderTimeout, func() { cancel(ErrTimeout) })
	resp, err := c.send(op, c.connections.pooled(), req)
	if err != nil {
		headerTimer.Stop()
		cancel(err)
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		err := c.responseError(op, resp)
		headerTimer.Stop()
		resp.Body.Close()
		cancel(err)
		return nil, err
	}
	headerTimer.Stop()
	return &Stream{
		client: c,
		op:     op,
		id:     id,
		ctx:    ctx,
		cancel: cancel,
		resp:   resp,
		lines:  bufio.NewReader(resp.Body),
	}, nil
}

// ID returns the request that the stream was opened for.
func (s *Stream) ID() request.ID { return s.id }

// Next returns the next frame as received; the caller checks its identity, sequence number
// and version. It returns io.EOF after the frame with Done set. It fails with
// ErrConnectionLost if the connection ends before that frame, with ErrTimeout if no data
// arrives for Options.StreamIdleTimeout (an engine sends comments while a request waits),
// and with ErrCanceled when ctx ends. The stream must not be used after an error.
func (s *Stream) Next(ctx context.Context) (engineapi.Frame, error) {
	if s.done {
		return engineapi.Frame{}, io.EOF
	}
	stop := context.AfterFunc(ctx, func() { s.cancel(ctx.Err()) })
	defer stop()
	data, err := s.readEvent()
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return engineapi.Frame{}, s.client.connectionError(s.op, s.ctx, err)
	}
	var f engineapi.Frame
	if err := json.Unmarshal(data, &f); err != nil {
		return f, s.client.fail(s.op, ErrBadResponse, false, err)
	}
	s.done = f.Done
	return f, nil
}

// readEvent returns the data of the next event. Each line, including a comment, shows that
// the connection works and restarts the idle timeout.
func (s *Stream) readEvent() ([]byte, error) {
	timeout := s.client.o.StreamIdleTimeout
	idleTimer := time.AfterFunc(timeout, func() { s.cancel(ErrTimeout) })
	defer idleTimer.Stop()
	for {
		line, err := s.readLine()
		if err != nil {
			return nil, err
		}
		if data, ok := bytes.CutPrefix(line, dataPrefix); ok {
			return bytes.TrimSpace(data), nil
		}
		idleTimer.Reset(timeout)
	}
}

func (s *Stream) readLine() ([]byte, error) {
	var line []byte
	for {
		part, more := s.lines.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxLine {
			return nil, errors.Newf("line exceeds %d bytes", maxLine)
		}
		if !errors.Is(more, bufio.ErrBufferFull) {
			return line, more
		}
	}
}

// Close stops reading. The engine continues with the request; Client.Cancel stops it.
func (s *Stream) Close() {
	s.cancel(context.Canceled)
	s.resp.Body.Close()
}
