package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"persimmonwing/internal/connection/engine"
	"persimmonwing/internal/connection/platform"
	standinplatform "persimmonwing/internal/process/standin/platform"
	"persimmonwing/internal/request/claim"
)

// countedTable counts transactions and rows.
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

// claimRates are calls/s of one gateway. The first is the target's.
var claimRates = []float64{targetRequests * nonIdempotentShare, 8, 80, 400}

func measureClaims(ctx context.Context, r *report) error {
	c, err := serveCounted(standinplatform.New(standinplatform.DefaultSettings()))
	if err != nil {
		return err
	}
	defer c.close()
	var perCall, perTxn []point
	for i, rate := range claimRates {
		t := &countedTable{Table: platform.NewTable("http://"+c.address, &http.Client{Transport: engine.NewTransport()}, 2*time.Second)}
		calls := callsAt(ctx, t, rate, i)
		perCall = append(perCall, point{rate, float64(t.txns.Load()) / float64(calls)})
		perTxn = append(perTxn, point{rate, float64(t.rows.Load()) / float64(t.txns.Load())})
	}
	r.add(line{name: "rows of a claim transaction", size: "calls/s of a gateway", unit: "rows", points: perTxn, target: claimRates[0]})
	r.add(line{name: "transactions of a call", size: "calls/s of a gateway", unit: "transactions", points: perCall, target: claimRates[0],
		note: "one row to claim, one to record the answer"})
	var writes []point
	for _, gateways := range []float64{7, 100, targetGateways} {
		writes = append(writes, point{gateways, gateways * claimRates[0] * perCall[0].value})
	}
	r.add(line{name: "table writes of claims", size: "gateways, 0.8 calls/s each", unit: "writes/s", points: writes, target: targetGateways, budget: budgetWrites,
		note: "the sizes are multiples of the measured transactions of a call; at 0.8 calls/s nothing shares a transaction (gaps above 100 ms are cut to it, which can only group more)"})
	return nil
}

// callsAt makes calls with random gaps for a few seconds and returns their number.
func callsAt(ctx context.Context, t claim.Table, rate float64, run int) int {
	s := claim.NewStore(t, claim.DefaultOptions())
	random := rand.New(rand.NewPCG(5, uint64(run)))
	calls := max(20, int(rate*2))
	var wait sync.WaitGroup
	for i := range calls {
		wait.Go(func() {
			k := claim.Key{Workspace: "w", Entry: "booking", IdempotencyKey: fmt.Sprint(run, "-", i)}
			if c, _, err := s.Begin(ctx, k, "digest"); err == nil {
				// The application server answers after about 20 ms.
				pause(ctx, 20*time.Millisecond)
				_ = c.Finish(ctx, claim.Answer{Status: http.StatusOK, Body: []byte("booked")})
			}
		})
		// Gaps above 100 ms are cut, since nothing is grouped over them.
		pause(ctx, time.Duration(min(random.ExpFloat64()/rate, 0.1)*float64(time.Second)))
	}
	wait.Wait()
	return calls
}
