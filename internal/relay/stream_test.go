package relay

import (
	"strings"
	"testing"
)

// TestLineThatFillsBufferEndsNoEvent guards against an event that is split, and resumed after, where a line ends exactly at the end of a buffer.
func TestLineThatFillsBufferEndsNoEvent(t *testing.T) {
	for _, end := range []string{"\n", "\r\n"} {
		line := "data: " + strings.Repeat("x", eventBufferBytes-len("data: ")) + end
		event := line + "id: 1" + end + end
		got, err := newEventReader(strings.NewReader(event)).next()
		if err != nil || string(got) != event {
			t.Errorf("an event of %d bytes is read as one of %d, %v", len(event), len(got), err)
		}
	}
}
