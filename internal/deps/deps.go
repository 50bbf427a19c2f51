// Package deps keeps the module's chosen libraries in go.mod until each has its user.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/asynkron/protoactor-go/actor"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/hashicorp/go-hclog"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/urfave/cli/v2"
	_ "go.uber.org/goleak"
	_ "golang.org/x/time/rate"
	_ "gopkg.in/ini.v1"
	_ "pgregory.net/rapid"
)
