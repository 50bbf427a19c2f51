package config

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"testing"

	"gopkg.in/ini.v1"
)

const operationsPage = "../../docs/OPERATIONS.md"

// required is what the page gives as the default of a setting that has none.
const required = "required"

// pageRow matches a row of the page's tables of settings: section, key, default, range.
var pageRow = regexp.MustCompile("^\\| `\\[([a-z]+)\\] ([a-z_]+)` \\| ([^|]*?) \\| ([^|]*?) \\|")

// TestPageOfSettings compares the operators' page with what is read: the same keys, and
// for each the default and the range that a wrong value is answered with.
func TestPageOfSettings(t *testing.T) {
	onPage := pageSettings(t)
	r := newReader(ini.Empty())
	defaults := readAll(r)
	for section, keys := range r.known {
		for key := range keys {
			setting := fmt.Sprintf("[%s] %s", section, key)
			row, ok := onPage[setting]
			if !ok {
				t.Errorf("%s is not on the page", setting)
				continue
			}
			delete(onPage, setting)
			if got := allowedFor(t, section, key); got != row.allowed {
				t.Errorf("%s: the page allows %q, the daemon %q", setting, row.allowed, got)
			}
			if row.def == required || row.def == "" {
				continue
			}
			if got := readAll(readerOf(t, section, key, row.def)); !reflect.DeepEqual(got, defaults) {
				t.Errorf("%s: %q is not the default", setting, row.def)
			}
		}
	}
	for setting := range onPage {
		t.Errorf("%s is on the page and not a setting", setting)
	}
}

// pageSetting is what the page says about one setting.
type pageSetting struct{ def, allowed string }

func pageSettings(t *testing.T) map[string]pageSetting {
	file, err := os.Open(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	settings := map[string]pageSetting{}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if m := pageRow.FindStringSubmatch(lines.Text()); m != nil {
			settings[fmt.Sprintf("[%s] %s", m[1], m[2])] = pageSetting{def: m[3], allowed: m[4]}
		}
	}
	return settings
}

func readerOf(t *testing.T, section, key, value string) *reader {
	file, err := ini.Load([]byte(fmt.Sprintf("[%s]\n%s = %s\n", section, key, value)))
	if err != nil {
		t.Fatal(err)
	}
	return newReader(file)
}

// allowedFor returns what a daemon that is given a wrong value says is allowed.
func allowedFor(t *testing.T, section, key string) string {
	file, err := ini.Load([]byte(fmt.Sprintf("[%s]\n%s = ?\n", section, key)))
	if err != nil {
		t.Fatal(err)
	}
	_, err = parse(file)
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("[%s] %s takes any value", section, key)
	}
	for _, p := range invalid.Problems {
		if p.Section == section && p.Key == key {
			return p.Allowed
		}
	}
	t.Fatalf("[%s] %s takes any value", section, key)
	return ""
}
