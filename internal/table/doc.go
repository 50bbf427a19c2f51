// Package table holds the operators' table: rows, pages, edits and distribution.
//
// Operators keep the sheets as CSV files under version control. Parse reads them and
// refuses a wrong file as a whole. An Editor compares them with the rows in force and
// writes the difference to the key-value service, where rows lie in pages by hash of
// their id. Each daemon holds a Replica of all pages and reads a Snapshot of it
// without locks.
package table
