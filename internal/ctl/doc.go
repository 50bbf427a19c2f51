// Package ctl implements the command-line tool bluebellctl, with which operators edit the
// table and inspect daemons.
//
// Exit codes: 0 success, 1 failure, 2 usage error, 3 conflict with another operator.
package ctl
