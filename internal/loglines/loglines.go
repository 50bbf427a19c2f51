// Package loglines reads the JSON lines of daemons' logs from what collectors made of them, and
// names the messages by which daemons' lines are known again.
package loglines

import (
	"bufio"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxLine bounds a log line, in bytes. Longer ones are none of ours.
const maxLine = 1 << 20

// ForEach calls take with the JSON of each line that has some. Collectors put a time or a name
// before it.
func ForEach(log io.Reader, take func(object []byte)) error {
	s := bufio.NewScanner(log)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		text := s.Text()
		if begin := strings.IndexByte(text, '{'); begin >= 0 {
			take([]byte(text[begin:]))
		}
	}
	return errors.Wrap(s.Err(), "loglines: read")
}
