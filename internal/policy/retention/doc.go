// Package retention decides what is kept of a context, where, and who may use a store
// VM's link: export after an answer, demotion to disk, promotion and prefetch before
// an expected return, freeing, and a link budget by class.
//
// The package is pure: time is an argument and decisions are returned.
package retention
