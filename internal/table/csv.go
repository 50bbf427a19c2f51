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

// File is a CSV file of one sheet; its base name determines the sheet.
type File struct {
	Name string
	Data []byte
}

// Row is one row of any sheet, with its cells in canonical form and in column order.
type Row struct {
	Sheet Sheet    `json:"sheet"`
	ID    string   `json:"id"`
	Cells []string `json:"cells"`
	File  string   `json:"-"` // source file, for problems
	Line  int      `json:"-"`
}

// Cell returns the text of a column, or "" if the row has none.
func (r Row) Cell(column string) string {
	i := slices.Index(Columns(r.Sheet), column)
	if i < 0 || i >= len(r.Cells) {
		return ""
	}
	return r.Cells[i]
}

// byteOrderMark is the UTF-8 mark that some spreadsheet programs put at the start of a file.
var byteOrderMark = []byte("\xef\xbb\xbf")

// ParseFile reads one sheet. If any row is invalid, it returns a *CheckError with all
// problems and no rows.
func ParseFile(f File) (Sheet, []Row, error) {
	sheet, err := ParseSheet(filepath.Base(f.Name))
	if err != nil {
		return "", nil, problemsToError([]Problem{{File: f.Name, Reason: err.Error()}})
	}
	p := &fileParser{file: f.Name, sheet: sheet, firstLines: make(map[string]int)}
	p.parse(f.Data)
	if err := problemsToError(p.problems); err != nil {
		return sheet, nil, err
	}
	return sheet, p.rows, nil
}

// fileParser collects the rows and problems of one file.
type fileParser struct {
	file       string
	sheet      Sheet
	positions  []int          // position in the file of each schema column
	firstLines map[string]int // line of the first row with an id
	rows       []Row
	problems   []Problem
}

func (p *fileParser) addProblem(line int, problem Problem) {
	problem.File = p.file
	problem.Line = line
	problem.Sheet = p.sheet
	p.problems = append(p.problems, problem)
}

func (p *fileParser) parse(data []byte) {
	reader := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, byteOrderMark)))
	reader.FieldsPerRecord = -1 // parseRow checks the number, so that all wrong rows are reported
	header, err := reader.Read()
	if errors.Is(err, io.EOF) {
		p.addProblem(1, Problem{Reason: "no header line", Allowed: strings.Join(Columns(p.sheet), ",")})
		return
	}
	if err != nil {
		p.addReadError(err)
		return
	}
	if !p.parseHeader(header) {
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
		p.parseRow(line, record, len(header))
	}
}

func (p *fileParser) addReadError(err error) {
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		p.addProblem(parse.Line, Problem{Reason: parse.Err.Error(), Allowed: "CSV as specified in RFC 4180"})
		return
	}
	p.addProblem(0, Problem{Reason: err.Error()})
}

// absentColumn is the position of a column that the file does not have.
const absentColumn = -1

// parseHeader finds each column's position and reports unknown, missing and duplicate columns.
func (p *fileParser) parseHeader(names []string) bool {
	columns := Columns(p.sheet)
	allowed := strings.Join(columns, ",")
	fileColumns := make(map[string]int, len(names))
	for i, name := range names {
		name = strings.TrimSpace(name)
		if !slices.Contains(columns, name) {
			p.addProblem(1, Problem{Reason: "unknown column " + name, Allowed: allowed})
			continue
		}
		if _, duplicate := fileColumns[name]; duplicate {
			p.addProblem(1, Problem{Reason: "column " + name + " occurs more than once", Allowed: allowed})
		}
		fileColumns[name] = i
	}
	p.positions = make([]int, len(columns))
	for i, name := range columns {
		position, ok := fileColumns[name]
		if !ok && isOptionalColumn(name) {
			position = absentColumn
		} else if !ok {
			p.addProblem(1, Problem{Reason: "column " + name + " is missing", Allowed: allowed})
		}
		p.positions[i] = position
	}
	return len(p.problems) == 0
}

func (p *fileParser) parseRow(line int, record []string, wantCells int) {
	if len(record) != wantCells {
		p.addProblem(line, Problem{Row: record[0], Reason: "wrong number of cells", Allowed: "as many as in the header"})
		return
	}
	cells := make([]string, len(p.positions))
	for i, position := range p.positions {
		if position != absentColumn {
			cells[i] = strings.TrimSpace(record[position])
		}
	}
	id := cells[0]
	canonical, cellErrors := schemaOf(p.sheet).canonical(cells)
	for _, w := range cellErrors {
		p.addProblem(line, Problem{Row: id, Column: w.column, Value: w.value, Reason: w.reason, Allowed: w.allowed})
	}
	if first, duplicate := p.firstLines[id]; duplicate {
		p.addProblem(line, Problem{Row: id, Column: idColumn, Value: id, Reason: "duplicate id, first on line " + strconv.Itoa(first)})
		return
	}
	p.firstLines[id] = line
	if len(cellErrors) > 0 {
		return
	}
	p.rows = append(p.rows, Row{Sheet: p.sheet, ID: id, Cells: canonical, File: p.file, Line: line})
}

// FormatFile formats rows of one sheet as a CSV file, ordered by id.
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
