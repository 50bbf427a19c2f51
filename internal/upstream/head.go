package upstream

import (
	"bufio"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/transfer"
)

// errHeadTooLong means that the status line and headers of a response exceed transfer.MaxHeadBytes.
var errHeadTooLong = errors.New("upstream: the head of the response exceeds the size limit")

// boundedReader reads from a connection, and fails while a head is read that exceeds transfer.MaxHeadBytes.
type boundedReader struct {
	r      io.Reader
	bounds bool // a head is being read
	left   int  // bytes that the head may still have
}

// Read implements io.Reader.
func (b *boundedReader) Read(to []byte) (int, error) {
	if !b.bounds {
		return b.r.Read(to)
	}
	if b.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := b.r.Read(to[:min(len(to), b.left)])
	b.left -= n
	return n, err
}

// readHead reads the status line and headers of a response.
func (c *conn) readHead(q *http.Request) (*http.Response, error) {
	c.source.bounds, c.source.left = true, transfer.MaxHeadBytes
	defer func() { c.source.bounds = false }()
	return http.ReadResponse(c.br, q)
}

// newConnReader returns the buffered reader of a connection, and what it reads from.
func newConnReader(r io.Reader) (*bufio.Reader, *boundedReader) {
	source := &boundedReader{r: r}
	return bufio.NewReaderSize(source, readBufferBytes), source
}
