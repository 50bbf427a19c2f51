package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v2"
)

// requestTimeout bounds one request, including the response body.
const requestTimeout = 30 * time.Second

// askCommand sends one HTTP request on behalf of a script: to the fault switches or the
// counts of a stand-in, or to a daemon as a caller.
func askCommand() *cli.Command {
	return &cli.Command{
		Name:      "ask",
		Usage:     "send one HTTP request and print the response body",
		ArgsUsage: "IP:PORT/PATH [BODY]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bearer", Usage: "key of the calling organisation"},
		},
		Action: ask,
	}
}

// ask sends a POST request if a body is given, and a GET request otherwise. It also prints
// the body of a response with an error status.
func ask(c *cli.Context) error {
	method, body := http.MethodGet, c.Args().Get(1)
	if body != "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(c.Context, method, "http://"+c.Args().First(), strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if key := c.String("bearer"); key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	client := &http.Client{Timeout: requestTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	defer resp.Body.Close()
	_, err = io.Copy(c.App.Writer, resp.Body)
	fmt.Fprintln(c.App.Writer)
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	if resp.StatusCode/100 != 2 {
		return errors.Newf("ask: response status %d", resp.StatusCode)
	}
	return nil
}
