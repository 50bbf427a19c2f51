package table

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Sheet names one of the table's sheets.
type Sheet string

// The sheets, each kept in the file that FileName returns.
const (
	SheetOrganisations Sheet = "organisations"
	SheetModels        Sheet = "models"
	SheetTargets       Sheet = "targets"
	SheetStores        Sheet = "stores"
)

// KeyPrefix is where pages lie in the key-value service.
const KeyPrefix = "table/"

// MaxPageBytes bounds an encoded page; it leaves room below the service's value cap of 1 MiB.
const MaxPageBytes = 960 << 10

// Numbers of pages. They can't change once rows are written, since a row's page
// follows from its id. 35,000 organisations make about 270 rows a page.
const (
	organisationPages = 128
	targetPages       = 8
	modelPages        = 2
	storePages        = 2
)

// FileName returns the sheet's file name.
func (s Sheet) FileName() string { return string(s) + ".csv" }

// Sheets returns all sheets in the order in which rows are added, so that a row is
// written after the rows it names.
func Sheets() []Sheet {
	return []Sheet{SheetModels, SheetStores, SheetTargets, SheetOrganisations}
}

// ParseSheet returns the sheet of a name or a file name.
func ParseSheet(name string) (Sheet, error) {
	base := strings.TrimSuffix(name, ".csv")
	for _, s := range Sheets() {
		if string(s) == base {
			return s, nil
		}
	}
	return "", fmt.Errorf("no sheet %q; allowed: organisations, models, targets, stores", name)
}

func (s Sheet) pages() uint64 {
	switch s {
	case SheetOrganisations:
		return organisationPages
	case SheetTargets:
		return targetPages
	case SheetModels:
		return modelPages
	default:
		return storePages
	}
}

// PageName returns the name of the page that holds a row.
func PageName(s Sheet, id string) string {
	return pageName(s, xxhash.Sum64String(id)%s.pages())
}

func pageName(s Sheet, n uint64) string {
	return string(s) + "/" + fmt.Sprintf("%03d", n)
}

// partPrefixes returns prefixes of the service's keys that together cover all pages, each
// only a few of them.
func partPrefixes() []string {
	seen := make(map[string]bool)
	var prefixes []string
	for _, sheet := range Sheets() {
		for n := range sheet.pages() {
			name := KeyPrefix + pageName(sheet, n)
			prefix := name[:len(name)-1] // ten pages have one
			if !seen[prefix] {
				seen[prefix] = true
				prefixes = append(prefixes, prefix)
			}
		}
	}
	return prefixes
}

// sheetOfPage returns the sheet of a page name, and false if there is no such page.
func sheetOfPage(name string) (Sheet, bool) {
	base, number, ok := strings.Cut(name, "/")
	if !ok {
		return "", false
	}
	sheet, err := ParseSheet(base)
	if err != nil {
		return "", false
	}
	n, err := strconv.ParseUint(number, 10, 16)
	if err != nil || n >= sheet.pages() || pageName(sheet, n) != name {
		return "", false
	}
	return sheet, true
}
