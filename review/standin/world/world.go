// Package world runs gateways of the deploy file as processes on loopback addresses, with
// stand-ins for the platform's store, for servers and for clients.
package world

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Bounds of the site kernfield-wa that the cases use.
const (
	StableMS   = 3000
	DrainMS    = 2000
	GraceS     = 8
	LostMS     = 200
	BeatMS     = 1200
	MemoryMB   = 134
	SettleTime = 10 * time.Second // traffic starts this long after the machines
)

// World is one run of a case.
type World struct {
	Trouble bool
	// ProxyStore gives each gateway a proxy to the store; it must be set before AddGateways.
	ProxyStore bool
	Dir        string // temporary folder
	Store      *Store
	Gateways   []*Gateway

	start time.Time
	mu    sync.Mutex
	out   *os.File
	ended []func()
}

// New opens record.txt in the folder given as the first argument of the program and starts the
// store.
func New() *World {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER-OF-THE-CASE")
		os.Exit(CannotRun)
	}
	w := &World{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if w.out, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	if w.Dir, err = os.MkdirTemp("", "review-"); err != nil {
		w.Fail("temporary folder: %v", err)
	}
	w.Store = newStore(w)
	w.Log("trouble=%v", w.Trouble)
	time.AfterFunc(110*time.Second, func() { w.Fail("the run took too long") })
	return w
}

// Log writes a line with the time since the start.
func (w *World) Log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the seconds from the start to t.
func (w *World) Since(t time.Time) float64 { return t.Sub(w.start).Seconds() }

// AtEnd registers a function to call before the program ends.
func (w *World) AtEnd(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = append(w.ended, f)
}

// Fail ends a run that can't be judged.
func (w *World) Fail(format string, args ...any) {
	w.Log("cannot run: "+format, args...)
	fmt.Printf("cannot run: "+format+"\n", args...)
	w.exit(CannotRun)
}

// End ends the run with the rule held or broken.
func (w *World) End(code int, format string, args ...any) {
	w.Log("result: "+format, args...)
	fmt.Printf(format+"\n", args...)
	w.exit(code)
}

func (w *World) exit(code int) {
	for _, g := range w.Gateways {
		g.Kill()
	}
	w.mu.Lock()
	ended := w.ended
	w.mu.Unlock()
	for _, f := range ended {
		f()
	}
	_ = os.RemoveAll(w.Dir)
	os.Exit(code)
}

// FreeAddresses returns n free loopback addresses.
func (w *World) FreeAddresses(n int) []string {
	var out []string
	var open []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			w.Fail("listen: %v", err)
		}
		open = append(open, l)
		out = append(out, l.Addr().String())
	}
	for _, l := range open {
		_ = l.Close()
	}
	return out
}

// Gateway is a gateway process.
type Gateway struct {
	Name, Zone                    string
	Front, Ready, Control, Metric string
	// StoreProxy is the gateway's way to the store, if it is not nil.
	StoreProxy *Proxy

	w        *World
	settings string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// AddGateways prepares gateways, one for each zone given.
func (w *World) AddGateways(zones ...string) {
	addresses := w.FreeAddresses(4 * len(zones))
	for i, zone := range zones {
		a := addresses[4*i:]
		w.Gateways = append(w.Gateways, &Gateway{w: w, Name: fmt.Sprintf("edge-%s-%d", zone, i+1), Zone: zone, Front: a[0], Ready: a[1], Control: a[2], Metric: a[3]})
	}
	var seeds []string
	for _, g := range w.Gateways[:min(3, len(w.Gateways))] {
		seeds = append(seeds, g.Control)
	}
	for _, g := range w.Gateways {
		g.writeSettings(seeds)
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// writeSettings fills the template of the deploy file in.
func (g *Gateway) writeSettings(seeds []string) {
	raw, err := os.ReadFile("deploy/settings.yaml.tmpl")
	if err != nil {
		g.w.Fail("template: %v", err)
	}
	text := string(raw)
	// The section is for roles without a control address.
	if begin, end := strings.Index(text, "{{^listen.control}}"), strings.Index(text, "{{/listen.control}}"); begin >= 0 && end > begin {
		text = text[:begin] + text[end+len("{{/listen.control}}"):]
	}
	store := g.w.Store.Address
	if g.w.ProxyStore {
		g.StoreProxy = g.w.NewProxy(store)
		store = g.StoreProxy.Address
	}
	values := map[string]any{
		"node": g.Name, "zone": g.Zone, "listen.front": g.Front, "listen.ready": g.Ready, "listen.control": g.Control,
		"seeds": seeds, "platform.addr": store, "limits.memory_mb": MemoryMB, "limits.cpu_share": 0.4, "limits.cores": 1,
		"bounds.grace_s": GraceS, "bounds.revoke_strict": true, "bounds.revoke_ms": 5000, "bounds.budget_ratio": 0.2,
		"bounds.budget_window_s": 10, "bounds.budget_slack": 54,
	}
	// On one machine the port of the metrics, which the template fixes, differs by process.
	text = strings.Replace(text, `"{{ip}}:9464"`, `"`+g.Metric+`"`, 1)
	text = placeholder.ReplaceAllStringFunc(text, func(p string) string {
		name := placeholder.FindStringSubmatch(p)[1]
		v, ok := values[name]
		if !ok {
			g.w.Fail("template: no value for %s", name)
		}
		out, _ := json.Marshal(v)
		return string(out)
	})
	g.settings = filepath.Join(g.w.Dir, g.Name+".yaml")
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		g.w.Fail("settings: %v", err)
	}
}

// Start starts the process with the command of the deploy file.
func (g *Gateway) Start() {
	log, err := os.OpenFile(filepath.Join(g.w.Dir, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		g.w.Fail("log: %v", err)
	}
	defer log.Close()
	cmd := exec.Command("target/persimmonwing", "-config", g.settings)
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this one, however this one ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		g.w.Fail("start %s: %v", g.Name, err)
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.ended = cmd, ended
	g.mu.Unlock()
	g.w.Log("%s started, process %d", g.Name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		g.w.Log("%s ended: %v", g.Name, err)
		close(ended)
	}()
}

// Ended is closed when the process has ended.
func (g *Gateway) Ended() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ended
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		g.w.Log("%s gets %v", g.Name, s)
		_ = g.cmd.Process.Signal(s)
	}
}

// Kill ends the process and waits for its end.
func (g *Gateway) Kill() {
	g.mu.Lock()
	cmd, ended := g.cmd, g.ended
	g.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

// Pid returns the id of the process.
func (g *Gateway) Pid() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cmd.Process.Pid
}

// KeepLog copies the log of the process next to record.txt, for a look at a run by hand.
func (g *Gateway) KeepLog(to string) {
	if raw, err := os.ReadFile(filepath.Join(g.w.Dir, g.Name+".log")); err == nil {
		_ = os.WriteFile(to, raw, 0o600)
	}
}

// IsReady reports whether the gateway answers the readiness check with 200.
func (g *Gateway) IsReady() bool {
	c, err := net.DialTimeout("tcp", g.Ready, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET /v1/readyz HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", g.Ready)
	head := make([]byte, 12)
	n, _ := c.Read(head)
	return n == 12 && string(head[9:]) == "200"
}

// StartAll starts all gateways, waits until they are ready and until traffic may start.
func (w *World) StartAll() {
	begun := time.Now()
	for _, g := range w.Gateways {
		g.Start()
	}
	for _, g := range w.Gateways {
		for !g.IsReady() {
			if time.Since(begun) > 15*time.Second {
				w.Fail("%s is not ready", g.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(begun.Add(SettleTime)))
	w.Log("traffic starts")
}
