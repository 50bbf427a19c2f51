package controlbench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

const (
	applyTimeout = 60 * time.Second
	// editorRate is the call budget of the editor. A daemon's default budget would slow
	// the editor down.
	editorRate = 2000
	benchKey   = "bench-key"
	benchModel = "verdict"
	benchOrg   = "atlas"
	// benchService is the plain service that callers call.
	benchService = "cards"
)

// sheets holds the rows of a cluster's table without the header lines.
type sheets struct {
	organisations, targets string
}

// files returns the sheets in the editor's input format.
func (s sheets) files() []table.File {
	sheet := func(name, header, rows string) table.File {
		return table.File{Name: name + ".csv", Data: []byte(header + "\n" + rows)}
	}
	return []table.File{
		sheet("organisations", "id,key_sha256,weight,requests_per_second,burst,concurrency,tokens_per_second,models,services", s.organisations),
		sheet("models", "id,default_version,bytes_per_token,load_cap", benchModel+",v1,1024,3\n"),
		sheet("targets", "id,kind,address,failure_domain,model,version,service,checks_fencing,repeatable,capacity", s.targets),
	}
}

// organisationRow returns the row of an organisation that may use the model and, unless
// service is empty, that plain service.
func organisationRow(id, key, service string) string {
	digest := sha256.Sum256([]byte(key))
	return fmt.Sprintf("%s,%s,10,5000,5000,2000,100000000,%s,%s\n", id, hex.EncodeToString(digest[:]), benchModel, service)
}

func engineRow(id, address string, capacity int) string {
	return fmt.Sprintf("%s,engine,%s,conche,%s,,,true,false,%d\n", id, address, benchModel, capacity)
}

func serviceRow(id, address string) string {
	return fmt.Sprintf("%s,service,%s,temper,,,%s,false,false,64\n", id, address, benchService)
}

// cluster runs stand-ins of the platform and daemons with their default settings.
type cluster struct {
	runner
	kv      *process
	vmList  *process
	daemons []*process
	// services are the plain service stand-ins.
	services []*process
	editor   *table.Editor
	client   *http.Client
}

func newCluster(ctx context.Context, binDir string) (*cluster, error) {
	workDir, err := os.MkdirTemp("", "benchcontrol")
	if err != nil {
		return nil, errors.Wrap(err, "working directory")
	}
	c := &cluster{runner: runner{binDir: binDir, workDir: workDir}, client: &http.Client{Timeout: 10 * time.Second}}
	if err := c.startPlatform(ctx); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) startPlatform(ctx context.Context) error {
	var err error
	if c.kv, err = c.start(ctx, "kv", "standin", "kv"); err != nil {
		return err
	}
	if c.vmList, err = c.start(ctx, "vmlist", "standin", "vmlist"); err != nil {
		return err
	}
	c.editor = table.NewEditor(table.EditorOptions{Operator: "bench", KV: platform.NewClient(platform.Options{
		Addresses:       c.kv.addresses[:1],
		ClientID:        "bench",
		Timeout:         10 * time.Second,
		ReadsPerSecond:  editorRate,
		WritesPerSecond: editorRate,
	})})
	return nil
}

func (c *cluster) close() {
	c.stopAll()
	_ = os.RemoveAll(c.workDir)
}

// apply replaces the complete table.
func (c *cluster) apply(ctx context.Context, s sheets) error {
	plan, err := c.editor.Plan(ctx, s.files())
	if err != nil {
		return errors.Wrap(err, "plan")
	}
	_, err = c.editor.Apply(ctx, plan)
	return errors.Wrap(err, "apply")
}

// startDaemons starts n daemons and waits until each has applied the table and sees all
// n members as live.
func (c *cluster) startDaemons(ctx context.Context, n int) error {
	for i := range n {
		if err := c.startDaemon(ctx, i); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	if _, err := c.editor.WaitUntilApplied(ctx, c.peerAddresses(), c.client); err != nil {
		return errors.Wrap(err, "table")
	}
	return waitFor(ctx, applyTimeout, func() bool {
		for _, d := range c.daemons {
			if live, err := c.metric(ctx, d, "members_live"); err != nil || int(live) != n {
				return false
			}
		}
		return true
	})
}

func (c *cluster) startDaemon(ctx context.Context, i int) error {
	name := fmt.Sprintf("d%02d", i+1)
	seeds := ""
	if i > 0 {
		seeds = c.daemons[0].addresses[1]
	}
	settings := fmt.Sprintf(`[daemon]
id = %s
region = fes
failure_domain = %s
listen = 127.0.0.1:0
peer = 127.0.0.1:0
[platform]
kv = %s
vm_list = %s
[membership]
seeds = %s
[log]
level = warn
`, name, []string{"conche", "temper", "pack"}[i%3], c.kv.addresses[0], c.vmList.addresses[0], seeds)
	path := filepath.Join(c.workDir, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	d, err := c.start(ctx, name, "bluebellscaled", "--config", path)
	if err != nil {
		return err
	}
	c.daemons = append(c.daemons, d)
	return nil
}

func (c *cluster) peerAddresses() []string {
	out := make([]string, 0, len(c.daemons))
	for _, d := range c.daemons {
		out = append(out, d.addresses[1])
	}
	return out
}

// startTargets starts engine and service stand-ins and returns their rows of the targets
// sheet.
func (c *cluster) startTargets(ctx context.Context, engines, services int) (string, error) {
	var rows strings.Builder
	for i := range engines {
		name := fmt.Sprint("engine-", i+1)
		p, err := c.start(ctx, name, "standin", "engine", "--listen", fmt.Sprintf("127.0.0.%d:0", i+1),
			"--model", benchModel, "--version", "v1", "--time-scale", "0.1", "--blocks", "4000", "--checks-epoch")
		if err != nil {
			return "", err
		}
		rows.WriteString(engineRow(name, p.addresses[0], 64))
	}
	for i := range services {
		name := fmt.Sprint("service-", i+1)
		p, err := c.start(ctx, name, "standin", "service")
		if err != nil {
			return "", err
		}
		c.services = append(c.services, p)
		rows.WriteString(serviceRow(name, p.addresses[0]))
	}
	return rows.String(), nil
}
