package main

import (
	"fmt"
	"os"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/loadgen"
)

// endings writes a line for each request that ended, so that a script can tell when
// the last request that a fault disturbed was answered.
type endings struct {
	mu   sync.Mutex
	file *os.File // nil: nobody asked for them
}

func newEndings(path string) (*endings, error) {
	if path == "" {
		return &endings{}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "endings file")
	}
	return &endings{file: file}, nil
}

func (e *endings) write(end loadgen.RequestEnd) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.file == nil {
		return
	}
	_, err := fmt.Fprintln(e.file, end.At.UnixMilli(), end.Duration.Milliseconds(), end.Attempts, end.Outcome)
	if err != nil {
		fmt.Fprintln(os.Stderr, "loadgen: endings file:", err)
	}
}

func (e *endings) close() {
	if e.file != nil {
		e.file.Close()
	}
}
