package config_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/bluebellscale/bluebellscale/internal/config"
)

func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		c, err := config.Parse([]byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("%+v\n", *c)
	})
}

func FuzzParse(f *testing.F) {
	f.Add("[daemon]\nid = a\n")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := config.Parse([]byte(text))
		if (c == nil) == (err == nil) {
			t.Fatalf("want either settings or an error, got %v, %v", c, err)
		}
	})
}
