package main

import (
	"fmt"
	"os"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/loadgen"
)

// endingsFile writes a line for each request that ended. Scripts use it to find out when
// the last request affected by a fault was answered.
type endingsFile struct {
	mu   sync.Mutex
	file *os.File // nil if disabled
}

func newEndingsFile(path string) (*endingsFile, error) {
	if path == "" {
		return &endingsFile{}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "endings file")
	}
	return &endingsFile{file: file}, nil
}

func (e *endingsFile) write(end loadgen.RequestEnd) {
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

func (e *endingsFile) close() {
	if e.file != nil {
		e.file.Close()
	}
}
