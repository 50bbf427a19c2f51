// Package proofs checks docs/PROOFS.md against the source tree: the page may name only tests
// and cases that exist, and must say "not proved" in rows that name none.
package proofs

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	root       = "../.."
	guarantees = 9 // number of guarantees under "What must always hold"
)

var (
	// goTest matches a Go test, named by package directory and function.
	goTest = regexp.MustCompile("`((?:internal|cmd)/[a-z0-9/]+|platform)\\.((?:Test|Fuzz|Benchmark)[A-Za-z0-9]+)`")
	// faultCase matches a case of make faults.
	faultCase = regexp.MustCompile("`faults/([a-z_]+)`")
	// makeTarget matches a target of the Makefile.
	makeTarget = regexp.MustCompile("`make ([a-z-]+)`")
	// trialCitation matches the letters of the trials that a row cites. trialHeading matches the
	// letter in the row of a trial.
	trialCitation = regexp.MustCompile(`trial ([A-Z](?:, [A-Z])*)`)
	trialHeading  = regexp.MustCompile(`(?m)^\| ([A-Z]) \|`)
)

// TestNamedTestsExist guards against a test that is renamed or removed while the page still
// cites it as the proof of a guarantee.
func TestNamedTestsExist(t *testing.T) {
	page := readFile(t, "docs/PROOFS.md")
	for _, m := range goTest.FindAllStringSubmatch(page, -1) {
		if !hasFunc(t, m[1], m[2]) {
			t.Errorf("%s has no %s", m[1], m[2])
		}
	}
	cases := definedCases(t)
	for _, m := range faultCase.FindAllStringSubmatch(page, -1) {
		if !slices.Contains(cases, m[1]) {
			t.Errorf("scripts/cases has no case %s", m[1])
		}
	}
	makefile := readFile(t, "Makefile")
	for _, m := range makeTarget.FindAllStringSubmatch(page, -1) {
		if !strings.Contains(makefile, "\n"+m[1]+":") {
			t.Errorf("Makefile has no target %s", m[1])
		}
	}
	for _, m := range trialCitation.FindAllStringSubmatch(page, -1) {
		for _, letter := range strings.Split(m[1], ", ") {
			if !strings.Contains(page, "\n| "+letter+" |") {
				t.Errorf("trial %s has no row that describes it", letter)
			}
		}
	}
}

// TestPageIsComplete guards against a guarantee without a row, a row that names no test and
// does not say "not proved", and a case that is missing from the page or from
// scripts/faults.sh.
func TestPageIsComplete(t *testing.T) {
	page := readFile(t, "docs/PROOFS.md")
	seen := map[string]bool{}
	for _, cells := range tableRows(page) {
		seen[cells[0]] = true
		row := strings.Join(cells, " ")
		named := goTest.MatchString(row) || faultCase.MatchString(row) || makeTarget.MatchString(row)
		if !named && !strings.Contains(row, "not proved") && !trialHeading.MatchString("| "+cells[0]+" |") {
			t.Errorf("row names no test and does not say \"not proved\": %s", row)
		}
	}
	for i := range guarantees {
		if n := string(rune('1' + i)); !seen[n] {
			t.Errorf("guarantee %s has no row", n)
		}
	}
	run := readFile(t, "scripts/faults.sh")
	for _, name := range definedCases(t) {
		if !strings.Contains(page, "`faults/"+name+"`") {
			t.Errorf("case %s is not on the page", name)
		}
		if !regexp.MustCompile(`\b` + name + `\b`).MatchString(run) {
			t.Errorf("case %s is not run by scripts/faults.sh", name)
		}
	}
}

// tableRows returns the cells of the page's table rows, without the header rows.
func tableRows(page string) [][]string {
	var out [][]string
	lines := strings.Split(page, "\n")
	for i, line := range lines {
		isHead := i+1 < len(lines) && strings.HasPrefix(lines[i+1], "| ---")
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| ---") || isHead {
			continue
		}
		cells := strings.Split(strings.Trim(line, "| "), " | ")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		out = append(out, cells)
	}
	return out
}

func hasFunc(t *testing.T, dir, name string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, dir, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	return slices.ContainsFunc(files, func(file string) bool {
		data, err := os.ReadFile(file)
		return err == nil && strings.Contains(string(data), "\nfunc "+name+"(")
	})
}

var caseFunc = regexp.MustCompile(`(?m)^case_([a-z_]+)\(\)`)

func definedCases(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, "scripts/cases/*.sh"))
	if err != nil || len(files) == 0 {
		t.Fatalf("scripts/cases has no cases: %v", err)
	}
	var out []string
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range caseFunc.FindAllStringSubmatch(string(data), -1) {
			out = append(out, m[1])
		}
	}
	return out
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(root, path))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
