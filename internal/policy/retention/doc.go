// Package retention decides what is kept of a context, where, and who may use a store
// VM's link: export after an answer, demotion to disk, promotion and prefetch before
// an expected return, freeing, and a link budget by class.
//
// It also names exported blocks and manifests. A name holds the cache salt, the daemon
// that chose it, that daemon's incarnation and a counter, so it is never used twice. A
// manifest is written after its blocks and deleted before them.
//
// The package is pure: time is an argument and decisions are returned.
package retention
