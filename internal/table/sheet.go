package table

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Sheet names one of the table's sheets.
type Sheet string

// The sheets; FileName returns the file name of each.
const (
	SheetOrganisations Sheet = "organisations"
	SheetModels        Sheet = "models"
	SheetTargets       Sheet = "targets"
	SheetStores        Sheet = "stores"
)

// KeyPrefix is the key prefix of pages in the key-value service.
const KeyPrefix = "table/"

// MaxPageBytes bounds an encoded page. It is below the key-value service's value limit of 1 MiB.
const MaxPageBytes = 960 << 10

// Numbers of pages of each sheet. They must not change once rows are written, since a row's
// id determines its page. With 35,000 organisations a page has about 270 rows.
const (
	organisationPages = 128
	targetPages       = 8
	modelPages        = 2
	storePages        = 2
)

// FileName returns the sheet's file name.
func (s Sheet) FileName() string { return string(s) + ".csv" }

// Sheets returns all sheets in the order in which rows are added, so that a row is written
// after the rows that it refers to.
func Sheets() []Sheet {
	return []Sheet{SheetModels, SheetStores, SheetTargets, SheetOrganisations}
}

// ParseSheet returns the sheet with the given name or file name.
func ParseSheet(name string) (Sheet, error) {
	base := strings.TrimSuffix(name, ".csv")
	for _, s := range Sheets() {
		if string(s) == base {
			return s, nil
		}
	}
	return "", fmt.Errorf("unknown sheet %q; allowed: organisations, models, targets, stores", name)
}

func (s Sheet) pageCount() uint64 {
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
	return pageName(s, xxhash.Sum64String(id)%s.pageCount())
}

func pageName(s Sheet, n uint64) string {
	return string(s) + "/" + fmt.Sprintf("%03d", n)
}

// listPrefixes returns key prefixes that together cover all pages, with at most ten pages
// per prefix.
func listPrefixes() []string {
	seen := make(map[string]bool)
	var prefixes []string
	for _, sheet := range Sheets() {
		for n := range sheet.pageCount() {
			name := KeyPrefix + pageName(sheet, n)
			prefix := name[:len(name)-1] // ten pages share a prefix
			if !seen[prefix] {
				seen[prefix] = true
				prefixes = append(prefixes, prefix)
			}
		}
	}
	return prefixes
}

// sheetOfPage returns the sheet of a page, and false if no such page exists.
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
	if err != nil || n >= sheet.pageCount() || pageName(sheet, n) != name {
		return "", false
	}
	return sheet, true
}
