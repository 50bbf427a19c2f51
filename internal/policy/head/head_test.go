package head

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const requestLine = "POST /x HTTP/1.1\r\n"

func measured(s string) *Meter {
	m := &Meter{}
	m.Read([]byte(s))
	return m
}

// TestBytesAfterTheHeadDoNotCount guards against bodies that are measured as header lines.
func TestBytesAfterTheHeadDoNotCount(t *testing.T) {
	for _, head := range []string{requestLine + "a: b\r\n\r\n", "POST / HTTP/1.1\na: b\n\n", "\r\n\r\n" + requestLine + "a: b\r\n\r\n"} {
		alone, with := measured(head), measured(head+"1,2\n3\n\n4\n")
		if *alone != *with {
			t.Errorf("%q: %+v, with a body %+v", head, alone, with)
		}
	}
}

// TestLimitIsOnBytesAsReceived guards against requests inside the limit that are refused, and against those above it that are not.
func TestLimitIsOnBytesAsReceived(t *testing.T) {
	const limit = 1000
	line := strings.Repeat("a", limit-len(": \r\n")) + ": \r\n"
	for name, c := range map[string]struct {
		head string
		want bool
	}{
		"at the limit":             {requestLine + line + "\r\n", false},
		"above it":                 {requestLine + "b" + line + "\r\n", true},
		"without end":              {requestLine + line + "a:\r\n", true},
		"short lines":              {requestLine + strings.Repeat("a:\n", limit/3) + "\n", false},
		"request line without end": {strings.Repeat("a", limit+1), true},
		"empty lines without end":  {strings.Repeat("\r\n", limit), true},
		"long body":                {requestLine + "a: b\r\n\r\n" + line + line, false},
	} {
		if got := measured(c.head).Exceeds(limit); got != c.want {
			t.Errorf("%s: got %t", name, got)
		}
	}
}

// TestMeterDoesNotDependOnPieces guards against heads that cost less in many pieces.
func TestMeterDoesNotDependOnPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOf(rapid.SampledFrom([]rune{'a', ':', ',', '\r', '\n', ' '})).Draw(t, "text")
		pieces := &Meter{}
		for rest := []byte(text); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			pieces.Read(rest[:n])
			rest = rest[n:]
		}
		if *pieces != *measured(text) {
			t.Fatalf("%+v in pieces, %+v at once", pieces, measured(text))
		}
	})
}

// TestCostCoversWhatIsHeld guards against heads whose parsed form and copy take more memory than was taken from the budget.
func TestCostCoversWhatIsHeld(t *testing.T) {
	const size = 15 << 10
	for name, line := range map[string]func(n int) string{
		"short names": func(n int) string { return fmt.Sprintf("%c%c%c:\n", 'a'+n/676%26, 'a'+n/26%26, 'a'+n%26) },
		"one name":    func(int) string { return "a:\n" },
		"ordinary":    func(n int) string { return fmt.Sprintf("Header-%d: some value of a header\r\n", n) },
		"long lines":  func(n int) string { return fmt.Sprintf("H%d: %s\r\n", n, strings.Repeat("v", 1000)) },
	} {
		t.Run(name, func(t *testing.T) {
			var text strings.Builder
			text.WriteString(requestLine + "Host: h\r\n")
			for n := 0; text.Len() < size; n++ {
				text.WriteString(line(n))
			}
			text.WriteString("\r\n")
			if held, cost := heldForHead(t, text.String()), measured(text.String()).Cost(); held > cost {
				t.Errorf("%d bytes are held, the cost is %d", held, cost)
			}
		})
	}
}

// heldForHead returns the bytes of the heap that one parsed head and a copy of its map take.
func heldForHead(t *testing.T, text string) int64 {
	t.Helper()
	const copies = 40
	kept := make([]any, 0, 2*copies)
	before := heap()
	for range copies {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader([]byte(text))))
		if err != nil {
			t.Fatal(err)
		}
		sent := make(http.Header, len(r.Header))
		for name, values := range r.Header {
			sent[name] = values
		}
		r.Body = http.NoBody
		kept = append(kept, r.Header, sent, r.URL)
	}
	held := (heap() - before) / copies
	runtime.KeepAlive(kept)
	return held
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkMeter measures an ordinary head of 700 bytes.
func BenchmarkMeter(b *testing.B) {
	head := []byte(requestLine + strings.Repeat("Header-Name: some value here\r\n", 22) + "\r\n")
	b.ReportAllocs()
	for b.Loop() {
		m := Meter{}
		m.Read(head)
	}
}
