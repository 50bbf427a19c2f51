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

// Paths of a daemon's peer address.
const (
	membersPath = "/debug/members"
	drainPath   = "/debug/drain"
)

// maxBody bounds an answer of a daemon, in bytes.
const maxBody = 256 << 20

// ErrDaemon reports that a daemon could not be asked.
var ErrDaemon = errors.New("daemon not asked")

// debugCommand prints what a daemon's endpoint returns.
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
			value, err := t.ask(c, http.MethodGet, address, path)
			if err != nil {
				return err
			}
			return t.print(c, value, gridOf(value))
		},
	}
}

func (t *tool) drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "stop a daemon as planned: it finishes what is in flight", ArgsUsage: "ADDR",
		Description: "ADDR is the daemon's peer address.\n\nExample:\n  bluebellctl drain 10.0.0.11:9001",
		Flags:       []cli.Flag{outputFlag(), timeoutFlag()},
		Action: func(c *cli.Context) error {
			address, err := oneArg(c, "ADDR")
			if err != nil {
				return err
			}
			value, err := t.ask(c, http.MethodPost, address, drainPath)
			if err != nil {
				return err
			}
			return t.print(c, value, gridOf(value))
		},
	}
}

// ask calls a daemon's endpoint within the command's timeout and returns its JSON.
func (t *tool) ask(c *cli.Context, method, address, path string) (json.RawMessage, error) {
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
		return nil, usagef("address %q; allowed: host:port", address)
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
	return errors.Mark(errors.Wrapf(err, "ask %s for %s", address, path), ErrDaemon)
}

// liveAddresses returns the peer addresses of the daemons that any of the given ones
// counts as live.
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
