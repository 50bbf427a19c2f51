package bounds

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestValuesThatCannotBeAreRefused guards against a value that another writer made up and that daemons use.
func TestValuesThatCannotBeAreRefused(t *testing.T) {
	for _, c := range []struct {
		what  string
		check func(string) error
		good  []string
		bad   []string
	}{
		{"id", CheckID, []string{"i-1", "vm_0.a:b", strings.Repeat("i", MaxKeyBytes)}, []string{"", "a/b", "a b", "a\r\nHost: x", "é", "\xff", strings.Repeat("i", MaxKeyBytes+1)}},
		{"name", CheckName, []string{"llm", "zone a", "Dúlra/x", strings.Repeat("n", MaxKeyBytes)}, []string{"", "a\nb", "\x00", "\xff", strings.Repeat("n", MaxKeyBytes+1)}},
		{"address", CheckAddress,
			[]string{"10.0.0.1:1", "127.0.0.1:65535", "[::1]:80", "[2001:db8::1]:80", "[::ffff:10.0.0.1]:80", "169.254.1.1:80"},
			[]string{"", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:10000000000000000000", "host:80", "0.0.0.0:80", "[::]:80", "[::ffff:0.0.0.0]:80",
				"[fe80::1%eth0]:80", "[fe80::1]:80", "[2001:db8::1%x]:80", "224.0.0.1:80", "[ff02::1]:80", "255.255.255.255:80"}},
	} {
		for _, v := range c.good {
			if err := c.check(v); err != nil {
				t.Errorf("%s %q: %v", c.what, v, err)
			}
		}
		for _, v := range c.bad {
			if c.check(v) == nil {
				t.Errorf("%s %q is accepted", c.what, v)
			}
		}
	}
	if CheckNumber(MaxNumber) != nil || CheckNumber(MaxNumber+1) == nil {
		t.Error("the bound of numbers is not in force")
	}
	if CheckUnixMilli(1) != nil || CheckUnixMilli(MaxUnixMilli) != nil || CheckUnixMilli(0) == nil || CheckUnixMilli(MaxUnixMilli+1) == nil {
		t.Error("the bounds of times are not in force")
	}
}

// TestErrorsAreBrief guards against log lines as long as a value of another writer.
func TestErrorsAreBrief(t *testing.T) {
	if short := errors.New("short"); Brief(short) != short || Brief(nil) != nil {
		t.Error("a short error is changed")
	}
	if text := Brief(errors.New(strings.Repeat("x", 1<<20))).Error(); len(text) > maxErrorBytes+3 {
		t.Errorf("the error has %d bytes", len(text))
	}
}

// TestErrorOfDecodingNamesField guards against an error that quotes a long number and not the field.
func TestErrorOfDecodingNamesField(t *testing.T) {
	var out struct {
		Count int `json:"count"`
	}
	err := Decode([]byte(`{"count":`+strings.Repeat("9", 1<<20)+`}`), &out)
	if err == nil || !strings.HasPrefix(err.Error(), "count: ") || len(err.Error()) > 100 {
		t.Errorf("got %.200v", err)
	}
	if err := Decode([]byte(`{"count":7,"other":[]}`), &out); err != nil || out.Count != 7 {
		t.Errorf("got %d, %v", out.Count, err)
	}
}
