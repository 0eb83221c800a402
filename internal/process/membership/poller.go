package membership

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/connection/platform"
)

const (
	// listPeriod is the time between two polls of the host list. With one second
	// of gossip a leaving host is known everywhere within 3 s.
	listPeriod = time.Second
	// fallbackEvery lets a gateway that is not elected poll at every 10th turn,
	// so that one whose last poll failed is elected again. At 400 gateways this
	// is 40 reads/s of the platform's 2,000.
	fallbackEvery = 10
	// appPeriod is the time between two polls of an application server, and
	// appTimeout bounds one.
	appPeriod  = time.Second
	appTimeout = time.Second
	// appFailures is the number of failed polls after which it is not accepting.
	appFailures = 3
)

// purposeHosts elects the pollers of the host list.
const purposeHosts = "hosts"

// HostList reads the platform's host list.
type HostList interface {
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// Prober asks an application server whether it takes new work.
type Prober interface {
	Ready(ctx context.Context, b Backend) (bool, error)
}

// PollHosts polls the host list until ctx ends: every second if elected, if cut off
// from all peers or after a pause, else every 10 s. Its first poll is at once.
func (g *Gossiper) PollHosts(ctx context.Context, list HostList) error {
	tick := time.NewTicker(listPeriod)
	defer tick.Stop()
	for turn := 0; ; turn++ {
		if turn%fallbackEvery == 0 || g.Polls(purposeHosts) || g.needsList(time.Now()) {
			g.pollHosts(ctx, list)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Gossiper) pollHosts(ctx context.Context, list HostList) {
	ctx, cancel := context.WithTimeout(ctx, listPeriod)
	defer cancel()
	askedAt := time.Now()
	hosts, err := list.Hosts(ctx)
	g.SetPolled(purposeHosts, err == nil)
	if err != nil {
		level.Debug(g.opt.Logger).Log("msg", "host list not read, keeping the last copy", "err", err)
		return
	}
	g.SetHosts(hosts)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fresh.listRead(askedAt)
}

// PollApplications polls the application servers that this gateway discovers
// until ctx ends. The result goes with gossip.
func (g *Gossiper) PollApplications(ctx context.Context, prober Prober) error {
	tick := time.NewTicker(appPeriod)
	defer tick.Stop()
	failures := map[string]int{}
	for {
		g.pollApplications(ctx, prober, failures)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Gossiper) pollApplications(ctx context.Context, prober Prober, failures map[string]int) {
	ctx, cancel := context.WithTimeout(ctx, appTimeout)
	defer cancel()
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, b := range g.Discovers(g.Applications(g.opt.Self.DataCentre)) {
		wait.Go(func() {
			ready, err := prober.Ready(ctx, b)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				delete(failures, b.Name)
				g.SetReport(b.Name, !ready, nil, "")
				return
			}
			failures[b.Name]++
			if failures[b.Name] >= appFailures {
				g.SetReport(b.Name, true, nil, "")
			}
		})
	}
	wait.Wait()
}
