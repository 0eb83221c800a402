package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/connection/engine"
	"persimmonwing/internal/connection/peer"
	"persimmonwing/internal/connection/platform"
	standinplatform "persimmonwing/internal/process/standin/platform"
	"persimmonwing/internal/request/claim"
	"persimmonwing/internal/request/pause"
)

const (
	claimMeasureTime = 6 * time.Second
	// claimCallTime is the response time of the application server.
	claimCallTime = 20 * time.Millisecond
	// claimAnswerBytes is the size of a recorded response body.
	claimAnswerBytes = 300
	// budgetWaitMS is the maximum latency that claims may add for a caller, in ms at
	// p95.
	budgetWaitMS = 100
	claimRate    = targetRequests * nonIdempotentShare // calls/s of one gateway
)

// claimCost is the cost of the claims of one data centre.
type claimCost struct {
	// txns is in transactions/s; rows is the mean number of rows of a transaction.
	txns, rows float64
	// waitMS is the time of claim and settlement together, in ms at p95.
	waitMS float64
	// collectorBytes and gatewayBytes are in bytes/s: those between the collector and
	// its peers and the table, and those between each other gateway and the collector.
	collectorBytes, gatewayBytes float64
	failed                       int64
}

// claimSizes are the measured numbers of gateways in one data centre.
var claimSizes = []int{7, 25, targetGatewaysPerDataCentre, 2 * targetGatewaysPerDataCentre, 4 * targetGatewaysPerDataCentre}

func measureClaims(ctx context.Context, r *report) error {
	costs := make([]claimCost, len(claimSizes)+1)
	errs := make([]error, len(costs))
	// The sizes run concurrently, each with its own table, since they cause little
	// load and mostly wait.
	var wait sync.WaitGroup
	for i := range costs {
		wait.Go(func() {
			if i == len(claimSizes) {
				costs[i], errs[i] = claimCostOf(ctx, targetGatewaysPerDataCentre, false, i)
				return
			}
			costs[i], errs[i] = claimCostOf(ctx, claimSizes[i], true, i)
		})
	}
	wait.Wait()
	failed := int64(0)
	for i, err := range errs {
		if err != nil {
			return err
		}
		failed += costs[i].failed
	}
	reportClaims(r, costs[:len(claimSizes)], costs[len(claimSizes)], failed)
	return measureSweep(ctx, r)
}

// measureSweep measures the bytes of reading a page of claim keys. A sweeper reads
// one page a second while there may be expired rows.
func measureSweep(ctx context.Context, r *report) error {
	c, err := serveCounted(standinplatform.New(standinplatform.DefaultSettings()))
	if err != nil {
		return err
	}
	defer c.close()
	table := platform.NewTable("http://"+c.address, &http.Client{Transport: engine.NewTransport()}, 2*time.Second)
	var ops []platform.CondPut
	for i := range platform.MaxTxnRows {
		ops = append(ops, platform.CondPut{Key: fmt.Sprintf("claims/workspace-17/booking/%08x-%024x", 1, i), Value: []byte("row")})
	}
	if _, err := table.Txn(ctx, ops); err != nil {
		return err
	}
	var points []point
	for _, rows := range []int{32, 64, platform.MaxTxnRows} {
		bytes, _, err := c.costPerCall(100, func() error { _, err := table.Keys(ctx, "claims/", "", rows); return err })
		if err != nil {
			return err
		}
		points = append(points, point{float64(rows), bytes})
	}
	r.add(line{name: "bytes of a sweeper's page", size: "rows", unit: "B", points: points, target: platform.MaxTxnRows,
		note: "one page a second during a pass, one gateway of a data centre; the deletions and the marks are not in it"})
	return nil
}

func reportClaims(r *report, costs []claimCost, withoutCollector claimCost, failed int64) {
	pick := func(value func(claimCost) float64) []point {
		var out []point
		for i, c := range costs {
			out = append(out, point{float64(claimSizes[i]), value(c)})
		}
		return out
	}
	const size = "gateways of a data centre, 0.8 calls/s each"
	add := func(name, unit string, budget float64, note string, value func(claimCost) float64) {
		r.add(line{name: name, size: size, unit: unit, points: pick(value), target: targetGatewaysPerDataCentre, budget: budget, note: note})
	}
	add("transactions of a collector", "transactions/s", 0,
		fmt.Sprintf("one transaction in %v at most; without a collector %.4g; failed calls: %d", claim.DefaultOptions().CollectInterval, withoutCollector.txns, failed),
		func(c claimCost) float64 { return c.txns })
	add("rows of a claim transaction", "rows", 0, "one row to claim, one to record the answer", func(c claimCost) float64 { return c.rows })
	add("wait for claim and settlement", "ms at p95", budgetWaitMS,
		fmt.Sprintf("without a collector %.4g; the sizes run at once on one machine", withoutCollector.waitMS), func(c claimCost) float64 { return c.waitMS })
	add("claim bytes of a collector", "B/s", 0, fmt.Sprintf("with peers and table; answers of %d bytes; without collectors %.4g with the table at each gateway", claimAnswerBytes, withoutCollector.collectorBytes/targetGatewaysPerDataCentre), func(c claimCost) float64 { return c.collectorBytes })
	add("claim bytes of a gateway", "B/s", 0, "with the collector; mean of the others, with pings and handshakes", func(c claimCost) float64 { return c.gatewayBytes })
	var writes []point
	for _, dataCentres := range []float64{1, 4, targetDataCentres} {
		writes = append(writes, point{dataCentres, dataCentres * r.targetValue("transactions of a collector")})
	}
	r.add(line{name: "table writes of claims", size: "data centres, 50 gateways each", unit: "writes/s", points: writes, target: targetDataCentres, budget: budgetWrites,
		note: fmt.Sprintf("multiples of one data centre; without collectors %.4g", targetDataCentres*withoutCollector.txns)})
}

// claimFleet holds the claim stores of the gateways of one data centre. The first
// gateway is the collector.
type claimFleet struct {
	table  *countedTable
	http   *countedServer
	server *peer.Server
	pools  []*peer.Pool
	stores []*claim.Store
}

// countedTable is a claim.Table that counts transactions and their rows.
type countedTable struct {
	claim.Table
	txns, rows atomic.Int64
}

// Txn implements claim.Table.
func (t *countedTable) Txn(ctx context.Context, ops []platform.CondPut) ([]platform.PutResult, error) {
	t.txns.Add(1)
	t.rows.Add(int64(len(ops)))
	return t.Table.Txn(ctx, ops)
}

func newClaimFleet(gateways int, withCollector bool) (*claimFleet, error) {
	secret := []byte("secret of the capacity measurement")
	w := &claimFleet{}
	var err error
	if w.http, err = serveCounted(standinplatform.New(standinplatform.DefaultSettings())); err != nil {
		return nil, err
	}
	w.table = &countedTable{Table: platform.NewTable("http://"+w.http.address, &http.Client{Transport: engine.NewTransport()}, 2*time.Second)}
	if w.server, err = peer.NewServer(peer.NewSecrets(secret), log.NewNopLogger()); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	for i := range gateways {
		pool := peer.NewPool(peer.NewSecrets(secret), peer.DialTCP)
		o := claim.DefaultOptions()
		o.Caller = pool
		if withCollector {
			o.Collectors = func() []claim.Collector {
				return []claim.Collector{{Address: listener.Addr().String(), Self: i == 0}}
			}
		}
		w.pools = append(w.pools, pool)
		w.stores = append(w.stores, claim.NewStore(w.table, o))
	}
	if err := w.server.Register(claim.ServiceName, w.stores[0].Service()); err != nil {
		return nil, err
	}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

func (w *claimFleet) close() {
	for _, p := range w.pools {
		p.Close()
	}
	w.server.Close()
	w.http.close()
}

// claimCostOf measures the cost of claims while calls arrive at random gateways with
// exponentially distributed gaps.
func claimCostOf(ctx context.Context, gateways int, withCollector bool, run int) (claimCost, error) {
	w, err := newClaimFleet(gateways, withCollector)
	if err != nil {
		return claimCost{}, err
	}
	defer w.close()
	random := rand.New(rand.NewPCG(5, uint64(run)))
	rate := claimRate * float64(gateways)
	var cost claimCost
	var failed atomic.Int64
	var mu sync.Mutex
	var waits []float64
	var calls sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < claimMeasureTime && ctx.Err() == nil; i++ {
		store := w.stores[random.IntN(gateways)]
		key := claim.Key{Workspace: "workspace-17", Entry: "booking", IdempotencyKey: fmt.Sprintf("%08x-%024x", run, i)}
		calls.Go(func() {
			took, err := callOnce(ctx, store, key)
			if err != nil {
				failed.Add(1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			waits = append(waits, float64(took.Microseconds())/1e3)
		})
		_ = pause.For(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second)))
	}
	calls.Wait()
	seconds := time.Since(start).Seconds()
	slices.Sort(waits)
	peers := float64(w.server.Traffic().In() + w.server.Traffic().Out())
	cost.failed = failed.Load()
	cost.txns = float64(w.table.txns.Load()) / seconds
	cost.rows = float64(w.table.rows.Load()) / float64(w.table.txns.Load())
	if len(waits) > 0 {
		cost.waitMS = waits[len(waits)*95/100]
	}
	cost.collectorBytes = (peers + float64(w.http.bytes.Load())) / seconds
	cost.gatewayBytes = peers / seconds / float64(gateways-1)
	return cost, nil
}

// callOnce makes one call and returns the time of its claim and settlement together,
// without the call itself.
func callOnce(ctx context.Context, s *claim.Store, k claim.Key) (time.Duration, error) {
	start := time.Now()
	c, _, err := s.Begin(ctx, k, strings.Repeat("d", 64))
	if err != nil {
		return 0, err
	}
	claimed := time.Since(start)
	_ = pause.For(ctx, claimCallTime)
	start = time.Now()
	err = c.Finish(ctx, claim.Answer{Status: http.StatusOK, Body: []byte(strings.Repeat("a", claimAnswerBytes))})
	return claimed + time.Since(start), err
}
