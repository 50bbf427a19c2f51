package loglines

import (
	"slices"
	"strings"
	"testing"
)

// A collector puts the time and the VM before each line, and other programs write into the
// same file.
func TestWhatCollectorsAddIsPassedOver(t *testing.T) {
	var got []string
	err := ForEach(strings.NewReader("12.1 vm-1 {\"a\":1}\nno line of ours\n{\"b\":2}\n"), func(o []byte) { got = append(got, string(o)) })
	if err != nil || !slices.Equal(got, []string{`{"a":1}`, `{"b":2}`}) {
		t.Errorf("got %q, %v", got, err)
	}
}

func TestLineWithoutEndIsAnError(t *testing.T) {
	if err := ForEach(strings.NewReader("{"+strings.Repeat("x", 2*maxLine)), func([]byte) {}); err == nil {
		t.Error("a line of 2 MB is taken")
	}
}
