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
	// settle passes after the start, so that groups have owners and gossip is
	// steady.
	settle = 5 * time.Second
	// window is the time of one measurement in a fleet.
	window = 4 * time.Second
	// generationTime is the time until as many generations end as begin.
	generationTime = 7 * time.Second
	// editsMeasured is the number of edits at each size.
	editsMeasured = 3
)

// fleetOf returns a fleet of gateways in one data centre, with engines that
// decode few, slow tokens: grants last as long as at the target, 6.24 s, while
// the streams cost a tenth.
func fleetOf(gateways int) (fleet.Options, error) {
	o := fleet.Today()
	o.DataCentres, o.Gateways, o.Engines, o.Apps = 1, gateways, 8, 1
	o.Models = nil
	for i := range targetModels {
		o.Models = append(o.Models, fmt.Sprint("model-", i))
	}
	o.KVCapacityTokens, o.MaxBatch, o.EngineQueue, o.GatewayQueue = 4_000_000, 512, 1000, 2000
	o.StepBase, o.StepPerSequence, o.PrefillTokensPerSecond = 260*time.Millisecond, 0, 1e9
	// The bound would fall to one sequence, as steps are longer than 26 ms.
	o.Disable = []string{"batch_bound"}
	body, err := catalogue.Encode(catalogueOf(targetWorkspaces))
	o.Catalogue = body
	return o, err
}

// measurePlatformReads counts the calls of the platform by idle fleets, times
// edits until all gateways have them in force, and weighs idle gateways.
func measurePlatformReads(ctx context.Context, r *report) error {
	var reads, inForce, weight, fetched []point
	for _, n := range []int{2, 7, 20, targetPerCentre} {
		o, err := fleetOf(n)
		if err != nil {
			return err
		}
		before := heap()
		f, err := fleet.Start(ctx, o)
		if err != nil {
			return err
		}
		m, err := idleFleet(ctx, f, n, o.Catalogue)
		weight = append(weight, point{float64(n), heap() - before})
		f.Stop()
		if err != nil {
			return err
		}
		reads = append(reads, point{float64(n), m.reads})
		inForce = append(inForce, point{float64(n), m.inForce})
		fetched = append(fetched, point{float64(n), m.fetched})
	}
	r.add(line{name: "edit in force", size: "gateways in one data centre", unit: "ms", points: inForce, target: targetPerCentre, budget: budgetInForce,
		note: fmt.Sprintf("the longest of %d edits, from acceptance until the last gateway has it; read every 50 ms", editsMeasured)})
	r.add(line{name: "edit bytes", size: "gateways in one data centre", unit: "bodies", points: fetched, target: targetPerCentre,
		note: "bytes between peers for one edit and gateway, in bodies; each fetch counts at both ends"})
	r.add(line{name: "platform reads of a data centre", size: "gateways in one data centre", unit: "reads/s", points: reads, target: targetPerCentre})
	var all []point
	slope, offset := fit(reads)
	for _, centres := range []float64{1, 4, targetCentres} {
		all = append(all, point{centres * targetPerCentre, centres * (slope*targetPerCentre + offset)})
	}
	r.add(line{name: "platform reads", size: "gateways, 50 to a data centre", unit: "reads/s", points: all, target: targetGateways, budget: budgetReads,
		note: "without controllers and claims; multiples of the line above"})
	r.add(line{name: "idle gateway memory", size: "gateways", unit: "B", points: weight, target: targetPerCentre,
		note: "whole in-process fleet; the slope is one idle gateway with the target's catalogue"})
	return nil
}

type idle struct{ reads, inForce, fetched float64 }

func idleFleet(ctx context.Context, f *fleet.Fleet, n int, body []byte) (idle, error) {
	var m idle
	_ = pause.For(ctx, settle)
	reads := f.PlatformCounters().Reads
	peers, err := f.PeerBytes(ctx)
	if err != nil {
		return m, err
	}
	_ = pause.For(ctx, window)
	m.reads = float64(f.PlatformCounters().Reads-reads) / window.Seconds()
	after, err := f.PeerBytes(ctx)
	if err != nil {
		return m, err
	}
	idleRate := float64(after-peers) / window.Seconds()
	began := time.Now()
	for i := range editsMeasured {
		next := append(bytes.Clone(body), fmt.Sprintf("# edit %d\n", i)...)
		took, err := timeEdit(ctx, f, int64(i+1), next)
		if err != nil {
			return m, err
		}
		m.inForce = max(m.inForce, float64(took.Milliseconds()))
	}
	_ = pause.For(ctx, 1500*time.Millisecond) // the counters lag by a second
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
			return 0, fmt.Errorf("revision %d is not in force everywhere after 30 s", base+1)
		}
		_ = pause.For(ctx, 50*time.Millisecond)
	}
}

// measureGrants sends each gateway of a fleet requests at several rates and
// counts the bytes between gateways.
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
	_ = pause.For(ctx, settle)
	var control, core []point
	note := ""
	for _, rate := range []float64{0, 4, targetRequests} {
		load := startLoad(ctx, f.Targets(), rate)
		if rate > 0 {
			_ = pause.For(ctx, generationTime)
		}
		before, err := f.PeerBytes(ctx)
		if err != nil {
			return err
		}
		used := cpu()
		_ = pause.For(ctx, window)
		busy := cpu() - used
		after, err := f.PeerBytes(ctx)
		if err != nil {
			return err
		}
		load.stop()
		note += fmt.Sprintf("%g: %d ok, %d failed; ", rate, load.completed.Load(), load.failed.Load())
		nodeSeconds := gateways * window.Seconds()
		control = append(control, point{rate, float64(after-before) / nodeSeconds})
		core = append(core, point{rate, 100 * busy.Seconds() / nodeSeconds})
	}
	r.add(line{name: "peer bytes of a gateway", size: "requests/s", unit: "B/s", points: control, target: targetRequests,
		note: "12 gateways in 1 data centre, 10 groups, 6.24 s a generation, prompts of 16 prefix blocks; gossip, pings and handshakes are in it; requests: " + note})
	r.add(line{name: "CPU of gateway, caller and engine", size: "requests/s of 24 tokens", unit: "% core", points: core, target: targetRequests,
		note: "getrusage of the whole process for each gateway, with system calls, stand-ins and callers"})
	return nil
}

// load sends requests at a steady rate to each target.
type load struct {
	cancel            context.CancelFunc
	wait              sync.WaitGroup
	completed, failed atomic.Int64
}

func startLoad(ctx context.Context, targets []string, rate float64) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{cancel: cancel}
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
					l.wait.Go(func() { l.one(ctx, client, target, i*1_000_000+n) })
				case <-ctx.Done():
					return
				}
			}
		})
	}
	return l
}

// promptBytes fills 16 prefix blocks.
const promptBytes = 4096

func (l *load) one(ctx context.Context, client *http.Client, target string, n int) {
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

// stop ends the load; requests in progress are broken off.
func (l *load) stop() {
	l.cancel()
	l.wait.Wait()
}
