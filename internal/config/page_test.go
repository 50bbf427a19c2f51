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

// required stands in the page's default column for a setting without a default.
const required = "required"

// pageRow matches a row of the page's tables of settings: section, key, default, allowed
// values.
var pageRow = regexp.MustCompile("^\\| `\\[([a-z]+)\\] ([a-z_]+)` \\| ([^|]*?) \\| ([^|]*?) \\|")

// TestOperationsPageMatchesSettings checks that the operators' page lists exactly the
// settings that config reads, each with its default and with the allowed values that the
// error for an invalid value states.
func TestOperationsPageMatchesSettings(t *testing.T) {
	documented := pageSettings(t)
	r := newReader(ini.Empty())
	defaults := readAll(r)
	for section, keys := range r.known {
		for key := range keys {
			setting := fmt.Sprintf("[%s] %s", section, key)
			row, ok := documented[setting]
			if !ok {
				t.Errorf("%s is missing on the page", setting)
				continue
			}
			delete(documented, setting)
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
	for setting := range documented {
		t.Errorf("%s is on the page but is not a setting", setting)
	}
}

// pageSetting is the page's entry of one setting.
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

// allowedFor returns the allowed values that the error for an invalid value states.
func allowedFor(t *testing.T, section, key string) string {
	file, err := ini.Load([]byte(fmt.Sprintf("[%s]\n%s = ?\n", section, key)))
	if err != nil {
		t.Fatal(err)
	}
	_, err = parse(file)
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("[%s] %s accepts an invalid value", section, key)
	}
	for _, p := range invalid.Problems {
		if p.Section == section && p.Key == key {
			return p.Allowed
		}
	}
	t.Fatalf("[%s] %s accepts an invalid value", section, key)
	return ""
}
