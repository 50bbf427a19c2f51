package controlbench

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/sleep"
	"github.com/cockroachdb/errors"
)

const (
	startTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// process is a child process.
type process struct {
	name      string
	cmd       *exec.Cmd
	addresses []string // from the address file that the process writes
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// stop kills the process and waits for its exit.
func (p *process) stop() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// runner starts child processes and stops them.
type runner struct {
	binDir    string // directory of the executables
	workDir   string // directory of settings, address files and log files
	processes []*process
}

// start launches a program that writes its addresses to a file and waits for that file.
func (r *runner) start(ctx context.Context, name, program string, args ...string) (*process, error) {
	file := filepath.Join(r.workDir, name+".addr")
	p, err := r.launch(name, program, append(args, "--addr-file", file)...)
	if err != nil {
		return nil, err
	}
	err = waitFor(ctx, startTimeout, func() bool {
		text, err := os.ReadFile(file)
		p.addresses = strings.Fields(string(text))
		return err == nil && strings.HasSuffix(string(text), "\n")
	})
	return p, errors.Wrapf(err, "start %s", name)
}

// launch starts a program without waiting for it. Its output goes to a log file.
func (r *runner) launch(name, program string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(r.workDir, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "log file")
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(r.binDir, program), args...)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &process{name: name, cmd: cmd}
	r.processes = append(r.processes, p)
	return p, nil
}

func (r *runner) stopAll() {
	for _, p := range r.processes {
		p.stop()
	}
	r.processes = nil
}

// waitFor polls the condition until it holds. It fails once limit has passed.
func waitFor(ctx context.Context, limit time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !condition() {
		if err := sleep.For(ctx, pollInterval); err != nil {
			return errors.Wrap(err, "condition not met")
		}
	}
	return nil
}
