package table

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// File is a CSV file of one sheet; the base name tells which.
type File struct {
	Name string
	Data []byte
}

// Row is one row of any sheet with its cells in canonical form and column order.
type Row struct {
	Sheet Sheet    `json:"sheet"`
	ID    string   `json:"id"`
	Cells []string `json:"cells"`
	File  string   `json:"-"` // where it was read, for problems
	Line  int      `json:"-"`
}

// Cell returns the text in a column, or "" if there is none.
func (r Row) Cell(column string) string {
	i := slices.Index(Columns(r.Sheet), column)
	if i < 0 || i >= len(r.Cells) {
		return ""
	}
	return r.Cells[i]
}

// byteOrderMark is what some spreadsheet programs write at the start of a CSV file.
var byteOrderMark = []byte("\xef\xbb\xbf")

// ParseFile reads one sheet. It reports every wrong row in a *CheckError and then
// returns no row at all.
func ParseFile(f File) (Sheet, []Row, error) {
	sheet, err := ParseSheet(filepath.Base(f.Name))
	if err != nil {
		return "", nil, checkError([]Problem{{File: f.Name, Reason: err.Error()}})
	}
	p := &fileParser{file: f.Name, sheet: sheet, seen: make(map[string]int)}
	p.parse(f.Data)
	if err := checkError(p.problems); err != nil {
		return sheet, nil, err
	}
	return sheet, p.rows, nil
}

// fileParser collects the rows and problems of one file.
type fileParser struct {
	file     string
	sheet    Sheet
	order    []int // for each column of the schema, its place in the file
	seen     map[string]int
	rows     []Row
	problems []Problem
}

func (p *fileParser) add(line int, problem Problem) {
	problem.File = p.file
	problem.Line = line
	problem.Sheet = p.sheet
	p.problems = append(p.problems, problem)
}

func (p *fileParser) parse(data []byte) {
	reader := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, byteOrderMark)))
	reader.FieldsPerRecord = -1 // counted in row, so that all wrong rows are reported
	header, err := reader.Read()
	if errors.Is(err, io.EOF) {
		p.add(1, Problem{Reason: "no header line", Allowed: strings.Join(Columns(p.sheet), ",")})
		return
	}
	if err != nil {
		p.addReadError(err)
		return
	}
	if !p.header(header) {
		return
	}
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			p.addReadError(err)
			return
		}
		line, _ := reader.FieldPos(0)
		p.row(line, record, len(header))
	}
}

func (p *fileParser) addReadError(err error) {
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		p.add(parse.Line, Problem{Reason: parse.Err.Error(), Allowed: "CSV as in RFC 4180"})
		return
	}
	p.add(0, Problem{Reason: err.Error()})
}

// leftOut is the place of a column that the file does not have.
const leftOut = -1

// header finds each column's place and reports columns that are unknown, missing or twice.
func (p *fileParser) header(names []string) bool {
	columns := Columns(p.sheet)
	allowed := strings.Join(columns, ",")
	places := make(map[string]int, len(names))
	for i, name := range names {
		name = strings.TrimSpace(name)
		if !slices.Contains(columns, name) {
			p.add(1, Problem{Reason: "unknown column " + name, Allowed: allowed})
			continue
		}
		if _, twice := places[name]; twice {
			p.add(1, Problem{Reason: "column " + name + " stands twice", Allowed: allowed})
		}
		places[name] = i
	}
	p.order = make([]int, len(columns))
	for i, name := range columns {
		place, ok := places[name]
		if !ok && mayBeLeftOut(name) {
			place = leftOut
		} else if !ok {
			p.add(1, Problem{Reason: "column " + name + " is missing", Allowed: allowed})
		}
		p.order[i] = place
	}
	return len(p.problems) == 0
}

func (p *fileParser) row(line int, record []string, want int) {
	if len(record) != want {
		p.add(line, Problem{Row: record[0], Reason: "wrong number of cells", Allowed: "as many as the header"})
		return
	}
	cells := make([]string, len(p.order))
	for i, place := range p.order {
		if place != leftOut {
			cells[i] = strings.TrimSpace(record[place])
		}
	}
	id := cells[0]
	canonical, wrong := schemaOf(p.sheet).canonical(cells)
	for _, w := range wrong {
		p.add(line, Problem{Row: id, Column: w.column, Value: w.value, Reason: w.reason, Allowed: w.allowed})
	}
	if first, twice := p.seen[id]; twice {
		p.add(line, Problem{Row: id, Column: idColumn, Value: id, Reason: "stands twice, first in line " + strconv.Itoa(first)})
		return
	}
	p.seen[id] = line
	if len(wrong) > 0 {
		return
	}
	p.rows = append(p.rows, Row{Sheet: p.sheet, ID: id, Cells: canonical, File: p.file, Line: line})
}

// FormatFile writes rows of one sheet as a CSV file, ordered by id.
func FormatFile(sheet Sheet, rows []Row) (File, error) {
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b Row) int { return strings.Compare(a.ID, b.ID) })
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	if err := w.Write(Columns(sheet)); err != nil {
		return File{}, err
	}
	for _, row := range sorted {
		if err := w.Write(row.Cells); err != nil {
			return File{}, err
		}
	}
	w.Flush()
	return File{Name: sheet.FileName(), Data: b.Bytes()}, w.Error()
}
