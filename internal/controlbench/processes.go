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
	pollStep     = 20 * time.Millisecond
)

// process is one process that was started here.
type process struct {
	name      string
	command   *exec.Cmd
	addresses []string // as written to its address file
}

func (p *process) pid() int { return p.command.Process.Pid }

// stop ends the process at once and waits for it.
func (p *process) stop() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// runner starts processes and stops those that it started.
type runner struct {
	bin  string // directory of the programs
	work string // directory of settings, address files and logs
	all  []*process
}

// start runs a program that writes its addresses to a file, and waits for that.
func (r *runner) start(ctx context.Context, name, program string, args ...string) (*process, error) {
	file := filepath.Join(r.work, name+".addr")
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

// launch runs a program.
func (r *runner) launch(name, program string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(r.work, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "log file")
	}
	defer log.Close()
	command := exec.Command(filepath.Join(r.bin, program), args...)
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &process{name: name, command: command}
	r.all = append(r.all, p)
	return p, nil
}

func (r *runner) stopAll() {
	for _, p := range r.all {
		p.stop()
	}
	r.all = nil
}

// waitFor asks again and again until the condition holds.
func waitFor(ctx context.Context, limit time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !condition() {
		if err := sleep.For(ctx, pollStep); err != nil {
			return errors.Wrap(err, "waited in vain")
		}
	}
	return nil
}
