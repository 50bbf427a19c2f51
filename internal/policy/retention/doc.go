// Package retention decides which blocks of a context stay stored, in which tier, and
// which transfers may use a store VM's link. It covers export after an answer, demotion
// to disk, promotion and prefetch before an expected return, deletion, and a link budget
// by class.
//
// The package is pure: time is an argument, and functions return their decisions.
package retention
