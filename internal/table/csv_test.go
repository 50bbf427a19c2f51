package table

import (
	"fmt"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

// TestParse runs the cases of testdata/parse: "sheet NAME" parses a file and prints its rows in
// canonical form or its problems; "check" checks the constraints between the rows of all
// sheets parsed so far. KEYa and KEYb stand for digests.
func TestParse(t *testing.T) {
	rows := make(map[Sheet][]Row)
	digests := strings.NewReplacer("KEYa", digestOf('a'), "KEYb", digestOf('B'))
	short := strings.NewReplacer(digestOf('a'), "KEYa", digestOf('b'), "KEYb")
	datadriven.RunTest(t, filepath.Join("testdata", "parse"), func(t *testing.T, d *datadriven.TestData) string {
		var err error
		var out strings.Builder
		switch d.Cmd {
		case "sheet":
			var sheet Sheet
			var parsed []Row
			sheet, parsed, err = ParseFile(File{Name: d.CmdArgs[0].Key + ".csv", Data: []byte(digests.Replace(d.Input))})
			rows[sheet] = parsed
			for _, row := range parsed {
				fmt.Fprintln(&out, short.Replace(strings.Join(row.Cells, ",")))
			}
		case "check":
			var all []Row
			for _, sheet := range Sheets() {
				all = append(all, rows[sheet]...)
			}
			err = Check(all)
		}
		var check *CheckError
		if errors.As(err, &check) {
			for _, p := range check.Problems {
				fmt.Fprintln(&out, short.Replace(p.String()))
			}
		} else if err != nil {
			t.Fatal(err)
		}
		return out.String()
	})
}

// FuzzParseFile checks that no file makes the parser panic, is rejected without a reason, or
// changes when it is formatted and parsed again.
func FuzzParseFile(f *testing.F) {
	for i, file := range sampleFiles() {
		f.Add(i, file.Data)
		f.Add(i, []byte(strings.ReplaceAll(string(file.Data), ",", ";")))
		f.Add(i, append([]byte("\xef\xbb\xbf"), file.Data[:len(file.Data)/2]...))
	}
	f.Fuzz(func(t *testing.T, which int, data []byte) {
		sheets := Sheets()
		sheet := sheets[uint(which)%uint(len(sheets))]
		_, rows, err := ParseFile(File{Name: sheet.FileName(), Data: data})
		if err != nil {
			checkProblems(t, rows, err)
			return
		}
		written, err := FormatFile(sheet, rows)
		if err != nil {
			t.Fatal(err)
		}
		_, again, err := ParseFile(written)
		if err != nil {
			t.Fatalf("formatted file is rejected: %v", err)
		}
		if got, want := cellsByID(again), cellsByID(rows); !reflect.DeepEqual(got, want) {
			t.Fatalf("rows %v changed to %v", want, got)
		}
	})
}

func checkProblems(t *testing.T, rows []Row, err error) {
	t.Helper()
	var check *CheckError
	if !errors.As(err, &check) || len(check.Problems) == 0 || len(rows) != 0 {
		t.Fatalf("rejected with %v and %d rows", err, len(rows))
	}
	for _, p := range check.Problems {
		if p.Reason == "" || p.File == "" || p.Line == 0 {
			t.Fatalf("problem without file, line or reason: %+v", p)
		}
	}
}

func cellsByID(rows []Row) map[string][]string {
	cells := make(map[string][]string)
	for _, row := range rows {
		cells[row.ID] = row.Cells
	}
	return cells
}
