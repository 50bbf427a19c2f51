// Package table holds the operators' table: rows, pages, edits and distribution.
package table
