package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/connection/engine"
	"persimmonwing/internal/connection/platform"
	standin "persimmonwing/internal/process/standin/engine"
	standinplatform "persimmonwing/internal/process/standin/platform"
	"persimmonwing/internal/request/api"
)

// countedListener counts the bytes of all its connections.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// countedServer serves a stand-in on loopback and counts the bytes of its connections.
type countedServer struct {
	address string
	bytes   atomic.Int64
	server  *http.Server
}

func serveCounted(h http.Handler) (*countedServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &countedServer{address: l.Addr().String(), server: &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}}
	go func() { _ = c.server.Serve(countedListener{l, &c.bytes}) }()
	return c, nil
}

func (c *countedServer) close() { _ = c.server.Close() }

// costPerCall returns the mean bytes and CPU time of one call. An additional first
// call, which opens the connection, is not counted.
func (c *countedServer) costPerCall(calls int, call func() error) (bytes float64, used time.Duration, err error) {
	if err := call(); err != nil {
		return 0, 0, err
	}
	b, u := c.bytes.Load(), cpuTime()
	for range calls {
		if err := call(); err != nil {
			return 0, 0, err
		}
	}
	return float64(c.bytes.Load()-b) / float64(calls), (cpuTime() - u) / time.Duration(calls), nil
}

func standinEngine() (*standin.Engine, *countedServer, func(), error) {
	s := standin.DefaultSettings()
	s.Name, s.Models = "engine-4-123", []string{"guide-writer-large"}
	s.StepBase, s.StepPerSequence = 26*time.Millisecond, 0
	e, err := standin.New(s, log.NewNopLogger())
	if err != nil {
		return nil, nil, nil, err
	}
	e.Start()
	c, err := serveCounted(e.Handler())
	if err != nil {
		e.Close()
		return nil, nil, nil, err
	}
	return e, c, func() { c.close(); e.Close() }, nil
}

// engineStreams is the number of running generations of an engine at the target size.
const engineStreams = 33

// startGenerations starts generations at an engine over separate connections, which
// are not counted. It returns a function that ends them.
func startGenerations(ctx context.Context, e *standin.Engine) (func(), error) {
	c, err := serveCounted(e.Handler())
	if err != nil {
		return nil, err
	}
	client := engine.New(&http.Client{Transport: engine.NewTransport()})
	for range engineStreams {
		r := api.CreateRequest{Model: "guide-writer-large", Input: "#tokens=4000 ", MaxOutputTokens: 4000}
		if _, err := client.Create(ctx, "e", c.address, r); err != nil {
			c.close()
			return nil, err
		}
	}
	return c.close, nil
}

// streamWindow is the time in which the bytes of a load stream are counted.
const streamWindow = 10 * time.Second

// loadStreamBytes returns the bytes/s of an engine's stream of load reports, of which
// the group owner reads the latest at every tick.
func loadStreamBytes(ctx context.Context, client *engine.Client, c *countedServer) (float64, error) {
	loads := engine.NewLoads(client)
	defer loads.Close()
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	var begin time.Time
	var before int64
	for n := 0; ; n++ {
		if _, err := loads.Load(ctx, "e", c.address); err != nil {
			return 0, err
		}
		if n == 8 { // the stream is established by now
			begin, before = time.Now(), c.bytes.Load()
		}
		if n > 8 && time.Since(begin) >= streamWindow {
			return float64(c.bytes.Load()-before) / time.Since(begin).Seconds(), nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

const pollCPUNote = "CPU by getrusage of client and stand-in server together with their system calls, an upper bound"

func measurePolls(ctx context.Context, r *report) error {
	e, c, stop, err := standinEngine()
	if err != nil {
		return err
	}
	defer stop()
	stopGenerations, err := startGenerations(ctx, e)
	if err != nil {
		return err
	}
	defer stopGenerations()
	client := engine.New(&http.Client{Transport: engine.NewTransport()})
	bytes, used, err := c.costPerCall(500, func() error { _, err := client.Load(ctx, "e", c.address); return err })
	if err != nil {
		return err
	}
	stream, err := loadStreamBytes(ctx, client, c)
	if err != nil {
		return err
	}
	// An engine whose models are known is read only by the group owner, from a stream
	// and 4 times/s.
	const perEngine = 4
	var streamBytes, pollCPU []point
	for _, engines := range []float64{18, 150, targetReplicas} {
		streamBytes = append(streamBytes, point{engines, engines * stream / targetGateways})
		pollCPU = append(pollCPU, point{engines, engines * perEngine / targetGateways * used.Seconds() * 100})
	}
	r.add(line{name: "engine poll bytes", size: "engines, 400 gateways", unit: "B/s", points: streamBytes, target: targetReplicas,
		note: fmt.Sprintf("engine with %d sequences; stream of reports: %.0f B/s; one poll, for engines without streams: %.0f bytes, %v; mean over gateways, the sizes are multiples of it", engineStreams, stream, bytes, used)})
	r.add(line{name: "engine poll CPU", size: "engines, 400 gateways", unit: "% core", points: pollCPU, target: targetReplicas, note: pollCPUNote})
	owner := []point{}
	for _, replicas := range []float64{4, 8, 16} {
		owner = append(owner, point{replicas, replicas * stream})
	}
	r.add(line{name: "engine poll bytes of an owner", size: "replicas of an owned group", unit: "B/s", points: owner, target: 8})
	return measureHostList(ctx, r)
}

// listChangesPerDay is the number of changes of the host list per day at the target
// size: 227 hosts fail or are restarted, and each of them changes the list three
// times, when it leaves, is removed and returns.
const listChangesPerDay = 3 * 227

func measureHostList(ctx context.Context, r *report) error {
	var changedBytes, unchangedBytes, readCPU []point
	for _, engines := range []int{18, 150, targetReplicas} {
		s := standinplatform.DefaultSettings()
		for i := range engines {
			s.Hosts = append(s.Hosts, standinplatform.Host{Name: fmt.Sprintf("engine-%d-%03d", i%8, i), Kind: "engine",
				Address: fmt.Sprintf("10.%d.1.%d:8000", i%8, i), DataCentre: fmt.Sprint("centre-", i%8)})
		}
		if err := s.Validate(); err != nil {
			return err
		}
		c, err := serveCounted(standinplatform.New(s))
		if err != nil {
			return err
		}
		client := &http.Client{Transport: platform.EnableCompression(engine.NewTransport())}
		read := func(l *platform.HostList) error { _, err := l.Hosts(ctx); return err }
		newList := func() *platform.HostList { return platform.NewHostList("http://"+c.address, client, 2*time.Second) }
		changed, _, err := c.costPerCall(100, func() error { return read(newList()) })
		if err != nil {
			return err
		}
		list := newList()
		bytes, used, err := c.costPerCall(100, func() error { return read(list) })
		c.close()
		if err != nil {
			return err
		}
		changedBytes = append(changedBytes, point{float64(engines), changed})
		unchangedBytes = append(unchangedBytes, point{float64(engines), bytes})
		readCPU = append(readCPU, point{float64(engines), float64(used.Microseconds())})
	}
	r.add(line{name: "changed host list read bytes", size: "engines", unit: "B", points: changedBytes, target: targetReplicas})
	r.add(line{name: "host list read bytes", size: "engines", unit: "B", points: unchangedBytes, target: targetReplicas, note: "the list has not changed since the last read; needs a host list that sends entity tags"})
	r.add(line{name: "host list read CPU", size: "engines", unit: "us", points: readCPU, target: targetReplicas, note: "of an unchanged list; " + pollCPUNote})
	return nil
}
