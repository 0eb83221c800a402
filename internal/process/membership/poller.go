package membership

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/connection/platform"
)

const (
	// listPeriod is the time between two polls of the host list. With a gossip period of
	// one second, all gateways know of a leaving host within 3 s.
	listPeriod = time.Second
	// fallbackPollPeriods is the number of list periods per poll of a gateway that is not
	// elected: it polls in every 10th period, so that a gateway whose last poll failed can
	// be elected again. With 400 gateways this adds 40 reads/s, of the 2,000 that the
	// platform allows.
	fallbackPollPeriods = 10
	// appPeriod is the time between two polls of an application server, and appTimeout
	// the timeout of a poll.
	appPeriod  = time.Second
	appTimeout = time.Second
	// appFailures is the number of consecutive failed polls after which an application
	// server is reported as not accepting.
	appFailures = 3
)

// purposeHosts names the election of the pollers of the host list.
const purposeHosts = "hosts"

// HostList reads the platform's host list.
type HostList interface {
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// Prober checks whether an application server accepts new requests.
type Prober interface {
	Ready(ctx context.Context, b Backend) (bool, error)
}

// PollHosts polls the host list until ctx is done: every second if this gateway is
// elected, isolated from all peers or was paused, and otherwise every 10 s. The first
// poll happens immediately.
func (g *Gossiper) PollHosts(ctx context.Context, list HostList) error {
	tick := time.NewTicker(listPeriod)
	defer tick.Stop()
	for turn := 0; ; turn++ {
		if turn%fallbackPollPeriods == 0 || g.IsPoller(purposeHosts) || g.needsList(time.Now()) {
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
	requestedAt := time.Now()
	hosts, err := list.Hosts(ctx)
	g.SetPolled(purposeHosts, err == nil)
	if err != nil {
		level.Debug(g.opt.Logger).Log("msg", "host list not read, keeping the last copy", "err", err)
		return
	}
	g.SetHosts(hosts)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fresh.listRead(requestedAt)
}

// PollApplications polls the application servers selected by BackendsToPoll until ctx
// is done and publishes the results by gossip.
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
	for _, b := range g.BackendsToPoll(g.Applications(g.opt.Self.DataCentre)) {
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
