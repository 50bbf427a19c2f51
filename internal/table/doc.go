// Package table holds the operators' table: rows, pages, edits and distribution.
//
// Operators keep the sheets as CSV files under version control. ParseFiles reads them and
// rejects a file with any error as a whole. An Editor compares the files with the stored
// rows and writes the difference to the key-value service, which stores rows in pages by
// the hash of their id. Each daemon holds a Replica of all pages and reads Snapshots of it
// without locks.
package table
