package loglines

import (
	"slices"
	"strings"
	"testing"
)

// A collector adds the time and the VM at the start of each line, and other programs write to the
// same file.
func TestCollectorPrefixesAreSkipped(t *testing.T) {
	var got []string
	err := ForEach(strings.NewReader("12.1 vm-1 {\"a\":1}\nno line of ours\n{\"b\":2}\n"), func(o []byte) { got = append(got, string(o)) })
	if err != nil || !slices.Equal(got, []string{`{"a":1}`, `{"b":2}`}) {
		t.Errorf("got %q, %v", got, err)
	}
}

func TestOverlongLineIsAnError(t *testing.T) {
	if err := ForEach(strings.NewReader("{"+strings.Repeat("x", 2*maxLine)), func([]byte) {}); err == nil {
		t.Error("a line of 2 MB was accepted")
	}
}
