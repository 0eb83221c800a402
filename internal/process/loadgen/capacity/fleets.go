package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"persimmonwing/internal/process/fleet"
	"persimmonwing/internal/request/pause"
	"persimmonwing/internal/version/catalogue"
)

const (
	// settleTime is the time after the start of a fleet until groups have owners and
	// gossip is in its steady state.
	settleTime = 5 * time.Second
	// measureTime is the duration of one measurement in a fleet.
	measureTime = 4 * time.Second
	// rampUpTime is the time after the start of the load until as many generations
	// end as begin.
	rampUpTime = 7 * time.Second
	// editsMeasured is the number of catalogue edits at each fleet size.
	editsMeasured = 3
)

// fleetOf returns the options of a fleet of gateways in one data centre. Its engines
// decode few and slow tokens: grants last 6.24 s as at the target size, while the
// streams cost a tenth, as they have 24 instead of 240 tokens.
func fleetOf(gateways int) (fleet.Options, error) {
	o := fleet.Today()
	o.DataCentres, o.Gateways, o.Engines, o.Apps = 1, gateways, 8, 1
	o.Models = nil
	for i := range targetModels {
		o.Models = append(o.Models, fmt.Sprint("model-", i))
	}
	o.KVCapacityTokens, o.MaxBatch, o.EngineQueue, o.GatewayQueue = 4_000_000, 512, 1000, 2000
	o.StepBase, o.StepPerSequence, o.PrefillTokensPerSecond = 260*time.Millisecond, 0, 1e9
	// The batch bound would drop to one sequence, because steps take longer than the
	// token gap target of 26 ms.
	o.Disable = []string{"batch_bound"}
	body, err := catalogue.Encode(catalogueOf(targetWorkspaces))
	o.Catalogue = body
	return o, err
}

// measurePlatformReads counts the platform reads of idle fleets, and measures the
// time until all gateways apply an edit and the memory of idle gateways.
func measurePlatformReads(ctx context.Context, r *report) error {
	var reads, inForce, memory, fetched []point
	for _, n := range []int{2, 7, 20, targetGatewaysPerDataCentre} {
		o, err := fleetOf(n)
		if err != nil {
			return err
		}
		before := heapBytes()
		f, err := fleet.Start(ctx, o)
		if err != nil {
			return err
		}
		m, err := measureIdleFleet(ctx, f, n, o.Catalogue)
		memory = append(memory, point{float64(n), heapBytes() - before})
		f.Stop()
		if err != nil {
			return err
		}
		reads = append(reads, point{float64(n), m.reads})
		inForce = append(inForce, point{float64(n), m.inForce})
		fetched = append(fetched, point{float64(n), m.fetched})
	}
	r.add(line{name: "edit in force", size: "gateways in one data centre", unit: "ms", points: inForce, target: targetGatewaysPerDataCentre, budget: budgetInForceMS,
		note: fmt.Sprintf("the longest of %d edits, from acceptance until the last gateway has it; read every 50 ms", editsMeasured)})
	r.add(line{name: "edit bytes", size: "gateways in one data centre", unit: "bodies", points: fetched, target: targetGatewaysPerDataCentre,
		note: "bytes between peers for one edit and gateway, in bodies; each fetch counts at both ends"})
	r.add(line{name: "platform reads of a data centre", size: "gateways in one data centre", unit: "reads/s", points: reads, target: targetGatewaysPerDataCentre})
	var all []point
	slope, offset := fitLine(reads)
	for _, dataCentres := range []float64{1, 4, targetDataCentres} {
		all = append(all, point{dataCentres * targetGatewaysPerDataCentre, dataCentres * (slope*targetGatewaysPerDataCentre + offset)})
	}
	r.add(line{name: "platform reads", size: "gateways, 50 to a data centre", unit: "reads/s", points: all, target: targetGateways, budget: budgetReads,
		note: "without controllers and claims; multiples of the line above"})
	r.add(line{name: "idle gateway memory", size: "gateways", unit: "B", points: memory, target: targetGatewaysPerDataCentre,
		note: "whole in-process fleet; the slope is one idle gateway with the target's catalogue"})
	return nil
}

type idleCost struct{ reads, inForce, fetched float64 }

func measureIdleFleet(ctx context.Context, f *fleet.Fleet, n int, body []byte) (idleCost, error) {
	var m idleCost
	_ = pause.For(ctx, settleTime)
	reads := f.PlatformCounters().Reads
	peers, err := f.PeerBytes(ctx)
	if err != nil {
		return m, err
	}
	_ = pause.For(ctx, measureTime)
	m.reads = float64(f.PlatformCounters().Reads-reads) / measureTime.Seconds()
	after, err := f.PeerBytes(ctx)
	if err != nil {
		return m, err
	}
	idleRate := float64(after-peers) / measureTime.Seconds()
	began := time.Now()
	for i := range editsMeasured {
		next := append(bytes.Clone(body), fmt.Sprintf("# edit %d\n", i)...)
		took, err := timeEdit(ctx, f, int64(i+1), next)
		if err != nil {
			return m, err
		}
		m.inForce = max(m.inForce, float64(took.Milliseconds()))
	}
	_ = pause.For(ctx, 1500*time.Millisecond) // the counters are up to a second behind
	last, err := f.PeerBytes(ctx)
	edits := float64(last-after) - idleRate*time.Since(began).Seconds()
	m.fetched = edits / float64(n*editsMeasured*len(body))
	return m, err
}

func timeEdit(ctx context.Context, f *fleet.Fleet, base int64, body []byte) (time.Duration, error) {
	if err := f.Edit(ctx, base, body); err != nil {
		return 0, err
	}
	accepted := time.Now()
	for {
		lowest, err := f.LowestRevision(ctx)
		if err != nil {
			return 0, err
		}
		if lowest > base {
			return time.Since(accepted), nil
		}
		if time.Since(accepted) > 30*time.Second {
			return 0, fmt.Errorf("revision %d has not reached all gateways after 30 s", base+1)
		}
		_ = pause.For(ctx, 50*time.Millisecond)
	}
}

// measureGrants sends requests to each gateway of a fleet at several rates, and
// measures the bytes between gateways and the CPU time.
func measureGrants(ctx context.Context, r *report) error {
	const gateways = 12
	o, err := fleetOf(gateways)
	if err != nil {
		return err
	}
	f, err := fleet.Start(ctx, o)
	if err != nil {
		return err
	}
	defer f.Stop()
	_ = pause.For(ctx, settleTime)
	var control, core []point
	note := ""
	for _, rate := range []float64{0, 4, targetRequests} {
		load := startLoad(ctx, f.Targets(), rate)
		if rate > 0 {
			_ = pause.For(ctx, rampUpTime)
		}
		before, err := f.PeerBytes(ctx)
		if err != nil {
			return err
		}
		used := cpuTime()
		_ = pause.For(ctx, measureTime)
		busy := cpuTime() - used
		after, err := f.PeerBytes(ctx)
		if err != nil {
			return err
		}
		load.stop()
		note += fmt.Sprintf("%g: %d ok, %d failed; ", rate, load.completed.Load(), load.failed.Load())
		nodeSeconds := gateways * measureTime.Seconds()
		control = append(control, point{rate, float64(after-before) / nodeSeconds})
		core = append(core, point{rate, 100 * busy.Seconds() / nodeSeconds})
	}
	r.add(line{name: "peer bytes of a gateway", size: "requests/s", unit: "B/s", points: control, target: targetRequests,
		note: "12 gateways in 1 data centre, 10 groups, 6.24 s a generation, prompts of 16 prefix blocks; gossip, pings and handshakes are in it; requests: " + note})
	r.add(line{name: "CPU of gateway, caller and engine", size: "requests/s of 24 tokens", unit: "% core", points: core, target: targetRequests,
		note: "getrusage of the whole process for each gateway, with system calls, stand-ins and callers"})
	return nil
}

// requestLoad sends requests to each target at a constant rate and counts their
// outcomes.
type requestLoad struct {
	cancel            context.CancelFunc
	wait              sync.WaitGroup
	completed, failed atomic.Int64
}

func startLoad(ctx context.Context, targets []string, rate float64) *requestLoad {
	ctx, cancel := context.WithCancel(ctx)
	l := &requestLoad{cancel: cancel}
	if rate == 0 {
		return l
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	for i, target := range targets {
		l.wait.Go(func() {
			tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
			defer tick.Stop()
			for n := 0; ; n++ {
				select {
				case <-tick.C:
					l.wait.Go(func() { l.sendOne(ctx, client, target, i*1_000_000+n) })
				case <-ctx.Done():
					return
				}
			}
		})
	}
	return l
}

// promptBytes is the length of a prompt that fills 16 prefix blocks.
const promptBytes = 4096

func (l *requestLoad) sendOne(ctx context.Context, client *http.Client, target string, n int) {
	prompt := fmt.Sprintf("%d #tokens=24 ", n)
	prompt += strings.Repeat("x", promptBytes-len(prompt))
	body := fmt.Sprintf(`{"model":"entry-%d","stream":true,"input":%q}`, n%targetModels, prompt)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/responses", strings.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Authorization", "Bearer "+workspaceKey)
	answer, err := client.Do(r)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err == nil && !bytes.Contains(text, []byte("response.completed")) {
			err = fmt.Errorf("status %d", answer.StatusCode)
		}
	}
	switch {
	case ctx.Err() != nil:
	case err != nil:
		l.failed.Add(1)
	default:
		l.completed.Add(1)
	}
}

// stop ends the load and cancels requests in progress.
func (l *requestLoad) stop() {
	l.cancel()
	l.wait.Wait()
}
