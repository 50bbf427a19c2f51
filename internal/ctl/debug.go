package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v2"

	"github.com/bluebellscale/bluebellscale/internal/membership"
)

// Paths of endpoints at a daemon's peer address.
const (
	membersPath = "/debug/members"
	drainPath   = "/debug/drain"
)

// maxBody bounds the size of a daemon's response, in bytes.
const maxBody = 256 << 20

// ErrDaemon reports a failed request to a daemon.
var ErrDaemon = errors.New("request to daemon failed")

// debugCommand returns a command that prints the response of a daemon's debug endpoint.
func (t *tool) debugCommand(name, path, usage string) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "ADDR",
		Description: fmt.Sprintf("ADDR is the daemon's peer address.\n\nExample:\n  bluebellctl %s -o json 10.0.0.11:9001", name),
		Flags:       []cli.Flag{outputFlag(), timeoutFlag()},
		Action: func(c *cli.Context) error {
			address, err := oneArg(c, "ADDR")
			if err != nil {
				return err
			}
			value, err := t.callJSON(c, http.MethodGet, address, path)
			if err != nil {
				return err
			}
			return t.print(c, value, gridOf(value))
		},
	}
}

func (t *tool) drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "start a planned stop of a daemon, which lets requests in flight finish", ArgsUsage: "ADDR",
		Description: "ADDR is the daemon's peer address.\n\nExample:\n  bluebellctl drain 10.0.0.11:9001",
		Flags:       []cli.Flag{outputFlag(), timeoutFlag()},
		Action: func(c *cli.Context) error {
			address, err := oneArg(c, "ADDR")
			if err != nil {
				return err
			}
			value, err := t.callJSON(c, http.MethodPost, address, drainPath)
			if err != nil {
				return err
			}
			return t.print(c, value, gridOf(value))
		},
	}
}

// callJSON calls a daemon's endpoint within the command's timeout and returns the JSON of
// the response.
func (t *tool) callJSON(c *cli.Context, method, address, path string) (json.RawMessage, error) {
	ctx, cancel := withTimeout(c)
	defer cancel()
	body, err := t.call(ctx, method, address, path)
	if err != nil {
		return nil, err
	}
	if len(bytes.TrimSpace(body)) == 0 {
		return json.RawMessage(`{"status":"accepted"}`), nil
	}
	if err := checkJSON(body); err != nil {
		return nil, daemonError(err, address, path)
	}
	return body, nil
}

func (t *tool) call(ctx context.Context, method, address, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, usagef("invalid address %q; want host:port", address)
	}
	response, err := t.deps.Client.Do(request)
	if err != nil {
		return nil, daemonError(err, address, path)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return nil, daemonError(err, address, path)
	}
	if response.StatusCode/100 != 2 {
		err := errors.Newf("status %d: %s", response.StatusCode, strings.TrimSpace(string(body)))
		return nil, daemonError(err, address, path)
	}
	return body, nil
}

func daemonError(err error, address, path string) error {
	return errors.Mark(errors.Wrapf(err, "daemon %s: request %s", address, path), ErrDaemon)
}

// liveAddresses returns the peer addresses of the daemons that at least one of the given
// daemons regards as live.
func (t *tool) liveAddresses(ctx context.Context, addresses []string) ([]string, error) {
	var live []string
	var failure error
	seen := make(map[string]bool)
	for _, address := range addresses {
		body, err := t.call(ctx, http.MethodGet, address, membersPath)
		if err != nil {
			failure = err
			continue
		}
		var members []membership.MemberInfo
		if err := json.Unmarshal(body, &members); err != nil {
			failure = daemonError(err, address, membersPath)
			continue
		}
		for _, m := range members {
			if m.IsLive() && !seen[m.PeerAddress] {
				seen[m.PeerAddress] = true
				live = append(live, m.PeerAddress)
			}
		}
	}
	if len(live) == 0 {
		return nil, failure
	}
	return live, nil
}
