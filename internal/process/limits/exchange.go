package limits

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// ServiceName is the name under which the Exchange serves its peers.
	ServiceName = "Limits"
	// shortestPeriod is the least time between two reports of demand.
	shortestPeriod = time.Second
	// periodPerGateway lengthens the period, because the home of a busy entry hears
	// from every gateway: 40 reports a second at any number above 40.
	periodPerGateway = 25 * time.Millisecond
	// lifePeriods is how many periods an allotment or a demand holds, so that it
	// outlives two lost reports.
	lifePeriods = 3
	// exchangeTimeout bounds one report.
	exchangeTimeout = 500 * time.Millisecond
)

// period is the time between two reports of demand.
func period(gateways int) time.Duration {
	return max(shortestPeriod, time.Duration(gateways)*periodPerGateway)
}

// Caller calls peers; it is implemented by peer.Pool.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// View tells the number of live gateways and which of them divides a limit. Gateways with different views
// may choose different homes; each then divides the whole limit among those that
// ask it.
type View interface {
	// Gateways is the number of live gateways, this one included.
	Gateways() int
	// Homes returns the choice among the gateways that are live now.
	Homes() func(scope string) (name, address string)
}

// Exchange reports this gateway's demand to the homes and divides the limits of
// which it is one itself.
type Exchange struct {
	Self     string
	Limiter  *Limiter
	Division *Division
	View     View
	Caller   Caller
	Logger   log.Logger
}

// Args are the demands of one gateway on limits with the same home.
type Args struct {
	Gateway string
	Demands []Demand
}

// Reply holds the shares in the order of the demands.
type Reply struct{ Shares []Share }

// Service serves demands of peers.
type Service struct{ x *Exchange }

// Service returns the receiver to register under ServiceName.
func (x *Exchange) Service() *Service { return &Service{x} }

// Divide notes demands and answers with shares.
func (s *Service) Divide(in *Args, out *Reply) error {
	out.Shares = s.x.divide(time.Now(), in)
	return nil
}

func (x *Exchange) divide(now time.Time, a *Args) []Share {
	return x.Division.Divide(now, x.until(now), a.Gateway, a.Demands)
}

// until returns the end of what is stated now.
func (x *Exchange) until(now time.Time) time.Time {
	return now.Add(lifePeriods * period(x.View.Gateways()))
}

// Run exchanges demands and shares until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			x.round(ctx)
			timer.Reset(period(x.View.Gateways()))
		case <-ctx.Done():
			return nil
		}
	}
}

func (x *Exchange) round(ctx context.Context) {
	x.Division.Forget(time.Now())
	type home struct{ name, address string }
	byHome := map[home][]Demand{}
	choose := x.View.Homes()
	for _, d := range x.Limiter.Demands(time.Now()) {
		name, address := choose(d.Scope)
		byHome[home{name, address}] = append(byHome[home{name, address}], d)
	}
	var wait sync.WaitGroup
	defer wait.Wait()
	for h, demands := range byHome {
		wait.Go(func() { x.report(ctx, h.name, h.address, demands) })
	}
}

// report asks one home for shares. Without an answer the former ones end and the
// equal share is in force again.
func (x *Exchange) report(ctx context.Context, name, address string, demands []Demand) {
	args, reply := &Args{x.Self, demands}, Reply{}
	if name == x.Self {
		reply.Shares = x.divide(time.Now(), args)
	} else {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		if err := x.Caller.Call(ctx, address, ServiceName+".Divide", args, &reply); err != nil {
			level.Debug(x.Logger).Log("msg", "shares of limits not renewed", "home", name, "err", err)
			return
		}
	}
	x.Limiter.SetShares(x.until(time.Now()), reply.Shares)
}
