// Command bluebellctl edits the operators' table and inspects daemons.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"os/user"
	"syscall"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/config"
	"github.com/bluebellscale/bluebellscale/internal/ctl"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/transfer"
	"github.com/bluebellscale/bluebellscale/internal/version"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args, ctl.Deps{
		NewKV:       newKV,
		CheckConfig: checkConfig,
		Client:      newHTTPClient(),
		Operator:    operator(),
		Version:     version.String(),
		Stdin:       os.Stdin,
		Stdout:      os.Stdout,
		Stderr:      os.Stderr,
	})
	stop()
	os.Exit(code)
}

func newHTTPClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = transfer.MaxHeadBytes
	return &http.Client{Transport: t}
}

// callTimeout is long enough to list the complete table, which has some megabytes.
const callTimeout = 10 * time.Second

func newKV(addresses []string) platform.KV {
	return platform.NewClient(platform.Options{Addresses: addresses, ClientID: "bluebellctl-" + operator(), Timeout: callTimeout})
}

func checkConfig(path string) error {
	_, err := config.Load(path)
	return err
}

// operator returns the name of the system user, which the histories of rows record.
func operator() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}
