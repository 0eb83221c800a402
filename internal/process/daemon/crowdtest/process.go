// Package crowdtest starts a gateway as a process of its own and measures what a crowd of callers
// that keep no limits make it hold.
package crowdtest

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// samplePeriod is the time between two looks at the memory and the descriptors of a process.
const samplePeriod = 10 * time.Millisecond

// Process is a gateway with its own process.
type Process struct {
	// Callers and Ready are the addresses for callers and of the readiness check.
	Callers, Ready string

	t     *testing.T
	cmd   *exec.Cmd
	ended chan struct{}

	mu sync.Mutex
	// bytes is the most memory, with what the kernel holds in the sockets of callers, which sockets is the most
	// of, and descriptors the most open descriptors that were seen.
	bytes, sockets, descriptors int64
}

// Start builds a program and starts it with these settings, a YAML document. descriptors bounds the open
// descriptors of the process; 0 leaves the bound as it is.
func Start(t *testing.T, program string, settings []byte, callers, ready string, descriptors uint64) *Process {
	t.Helper()
	dir := t.TempDir()
	binary, file := filepath.Join(dir, "gateway"), filepath.Join(dir, "settings.yaml")
	if out, err := exec.Command("go", "build", "-o", binary, program).CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	p := &Process{Callers: callers, Ready: ready, t: t, cmd: exec.Command(binary, "-config", file), ended: make(chan struct{})}
	if descriptors > 0 {
		p.cmd.Args = append([]string{"sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, descriptors), "sh"}, p.cmd.Args...)
		p.cmd.Path = "/bin/sh"
	}
	logs, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = logs, logs
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.cmd.Wait(); close(p.ended) }()
	stop := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() { p.sample(stop) })
	t.Cleanup(func() {
		close(stop)
		sampling.Wait()
		_ = p.cmd.Process.Kill()
		<-p.ended
		_ = logs.Close()
		if t.Failed() {
			raw, _ := os.ReadFile(logs.Name())
			t.Logf("end of the log:\n%s", raw[max(0, len(raw)-4000):])
		}
	})
	p.awaitReady()
	return p
}

func (p *Process) awaitReady() {
	p.t.Helper()
	client := http.Client{Timeout: time.Second}
	for range 400 {
		if resp, err := client.Get(p.Ready); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.t.Fatal("the gateway does not become ready")
}

// Check reports an error unless the process lives and has stayed within these bounds.
func (p *Process) Check(maxBytes, maxDescriptors int64) {
	p.t.Helper()
	select {
	case <-p.ended:
		p.t.Errorf("the process ended: %v", p.cmd.ProcessState)
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.t.Logf("at most %d MB, %d MB in sockets and %d descriptors", p.bytes>>20, p.sockets>>20, p.descriptors)
	if p.bytes > maxBytes {
		p.t.Errorf("memory reached %d MB, more than %d MB", p.bytes>>20, maxBytes>>20)
	}
	if p.descriptors > maxDescriptors {
		p.t.Errorf("%d descriptors were open, more than %d", p.descriptors, maxDescriptors)
	}
}

func (p *Process) sample(stop <-chan struct{}) {
	tick := time.NewTicker(samplePeriod)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		sockets := p.queued()
		bytes, descriptors := p.resident()+sockets, p.open()
		p.mu.Lock()
		p.sockets = max(p.sockets, sockets)
		p.bytes, p.descriptors = max(p.bytes, bytes), max(p.descriptors, descriptors)
		p.mu.Unlock()
	}
}

// resident returns the anonymous resident memory in bytes, or 0 if the process has ended.
func (p *Process) resident() int64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}

func (p *Process) open() int64 {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return int64(len(files))
}

// queued returns the bytes in the send and receive queues of the sockets at the callers' address, also of
// those that the process has not accepted.
func (p *Process) queued() int64 {
	_, port, _ := net.SplitHostPort(p.Callers)
	number, _ := strconv.Atoi(port)
	local := fmt.Sprintf(":%04X", number)
	raw, _ := os.ReadFile("/proc/net/tcp")
	total := int64(0)
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasSuffix(fields[1], local) {
			continue
		}
		send, receive, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{send, receive} {
			n, _ := strconv.ParseInt(queue, 16, 64)
			total += n
		}
	}
	return total
}

// raiseDescriptors lets this process, which holds the other end of each connection, open enough of them.
func raiseDescriptors() {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil && limit.Cur < limit.Max {
		limit.Cur = limit.Max
		_ = unix.Setrlimit(unix.RLIMIT_NOFILE, &limit)
	}
}
