// Package ctl is the logic of the command-line tool bluebellctl: operators edit the
// table with it and look into daemons.
//
// Exit codes: 0 done, 1 failure, 2 wrong use, 3 conflict with another operator.
package ctl
