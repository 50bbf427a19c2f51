// Package loglines extracts the daemons' JSON lines from collected logs, and defines the messages
// by which tools recognize them.
package loglines

import (
	"bufio"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxLine bounds a log line in bytes. Daemons write no longer lines.
const maxLine = 1 << 20

// ForEach calls handle with the JSON object of each line that contains one. It skips the prefix
// that a collector adds, such as a time or a host name.
func ForEach(log io.Reader, handle func(object []byte)) error {
	s := bufio.NewScanner(log)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		text := s.Text()
		if begin := strings.IndexByte(text, '{'); begin >= 0 {
			handle([]byte(text[begin:]))
		}
	}
	return errors.Wrap(s.Err(), "loglines: read")
}
