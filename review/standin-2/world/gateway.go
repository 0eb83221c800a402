package world

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Gateway is a process of the project's own program.
type Gateway struct {
	Name, Zone string
	Front      string

	ready, control, metrics string
	binary, directory       string
	peers                   []string
	store                   string
	record                  *Record
	cmd                     *exec.Cmd
	ended                   chan struct{}
}

// NewGateways prepares gateways in the zones given, each with the others as its seeds. binary is the program, and
// directory a temporary folder for settings and logs.
func NewGateways(binary, directory string, store *Store, record *Record, zones ...string) ([]*Gateway, error) {
	var out []*Gateway
	for i, zone := range zones {
		ports, err := freePorts(4)
		if err != nil {
			return nil, err
		}
		out = append(out, &Gateway{
			Name: fmt.Sprintf("edge-%s-%d", zone, i+1), Zone: zone, Front: ports[0], ready: ports[1], control: ports[2], metrics: ports[3],
			binary: binary, directory: directory, store: store.Address, record: record,
		})
	}
	for _, g := range out {
		for _, o := range out {
			if len(g.peers) < 3 {
				g.peers = append(g.peers, o.control)
			}
		}
	}
	return out, nil
}

// freePorts returns free addresses. They are open at the same time, so that they differ.
func freePorts(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// settings returns the settings as the template of the deploy file gives them for a site with two gateways.
func (g *Gateway) settings() string {
	return fmt.Sprintf(`name: %q
data_centre: %q
listen: %q
ready_listen: %q
peer_listen: %q
metrics_listen: %q
peers: ["%s"]
store_address: %q
memory_mb: 134
cpu_share: 0.4
cores: 1
grace_s: 8
revoke_strict: true
revoke_ms: 5000
budget_ratio: 0.2
budget_window_s: 10
budget_slack: 54
callers:
  max_descriptors: 4100
`, g.Name, g.Zone, g.Front, g.ready, g.control, g.metrics, strings.Join(g.peers, `", "`), g.store)
}

// Start starts the process with the command of the deploy file: target/persimmonwing -config FILE.
func (g *Gateway) Start() error {
	config := filepath.Join(g.directory, g.Name+".toml")
	if err := os.WriteFile(config, []byte(g.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.directory, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(g.binary, "-config", config)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "PERSIMMONWING_BOOT=" + config}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	ended := make(chan struct{})
	go func() {
		// The kernel sends the signal when the thread that has started the process ends.
		runtime.LockOSThread()
		err := cmd.Start()
		started <- err
		if err == nil {
			_ = cmd.Wait()
			close(ended)
		}
	}()
	if err := <-started; err != nil {
		return err
	}
	g.cmd, g.ended = cmd, ended
	g.record.Line("gateway %s starts", g.Name)
	return nil
}

// AwaitReady waits until the gateway says that it is ready.
func (g *Gateway) AwaitReady(within time.Duration) error {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			g.record.Line("gateway %s is ready", g.Name)
			return nil
		}
	}
	return errors.New("gateway " + g.Name + " is not ready in time")
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.record.Line("gateway %s gets signal %v", g.Name, s)
	_ = g.cmd.Process.Signal(s)
}

// Ended is closed when the process has ended.
func (g *Gateway) Ended() <-chan struct{} { return g.ended }

// End kills the process and waits for its end.
func (g *Gateway) End() {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Signal(syscall.SIGCONT)
	_ = g.cmd.Process.Kill()
	<-g.ended
}
