package limits

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// ServiceName is the RPC service name of the Exchange.
	ServiceName = "Limits"
	// minPeriod is the shortest time between two reports of demand.
	minPeriod = time.Second
	// periodPerGateway lengthens the period with the number of gateways, because the
	// gateway responsible for a busy entry receives reports from every gateway. Above 40
	// gateways it receives 40 reports a second, however many there are.
	periodPerGateway = 25 * time.Millisecond
	// validPeriods is the number of periods after which an assigned share or a recorded
	// demand expires, so that it stays valid when two reports in a row are lost.
	validPeriods = 3
	// exchangeTimeout is the timeout of one report.
	exchangeTimeout = 500 * time.Millisecond
)

// period returns the time between two reports of demand.
func period(gateways int) time.Duration {
	return max(minPeriod, time.Duration(gateways)*periodPerGateway)
}

// Caller calls peers; it is implemented by peer.Pool.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// View provides the number of live gateways and the gateway responsible for each scope.
// Gateways with different views may choose different responsible gateways for a scope;
// each of these then divides the whole limit among the gateways that report to it.
type View interface {
	// Gateways returns the number of live gateways, this one included.
	Gateways() int
	// ResponsibleGateways returns a function that maps a scope to the name and peer
	// address of the gateway responsible for it, chosen among the gateways that are live
	// now.
	ResponsibleGateways() func(scope string) (name, address string)
}

// Exchange reports this gateway's demand to the gateway responsible for each scope, and
// divides the limits of the scopes that this gateway is responsible for.
type Exchange struct {
	Self     string
	Limiter  *Limiter
	Division *Division
	View     View
	Caller   Caller
	Logger   log.Logger
}

// Args is the request of Divide: the demands of one gateway for scopes that have the
// same responsible gateway.
type Args struct {
	Gateway string
	Demands []Demand
}

// Reply contains the shares in the order of the demands.
type Reply struct{ Shares []Share }

// Service is the RPC service that divides limits for peers.
type Service struct{ x *Exchange }

// Service returns the receiver to register under ServiceName.
func (x *Exchange) Service() *Service { return &Service{x} }

// Divide records the demands of a gateway and replies with its shares.
func (s *Service) Divide(in *Args, out *Reply) error {
	out.Shares = s.x.divide(time.Now(), in)
	return nil
}

func (x *Exchange) divide(now time.Time, a *Args) []Share {
	return x.Division.Divide(now, x.validUntil(now), a.Gateway, a.Demands)
}

// validUntil returns when a demand recorded now, or a share assigned now, expires.
func (x *Exchange) validUntil(now time.Time) time.Time {
	return now.Add(validPeriods * period(x.View.Gateways()))
}

// Run reports demands and applies the returned shares until ctx is done.
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
	x.Division.RemoveExpired(time.Now())
	type gateway struct{ name, address string }
	byGateway := map[gateway][]Demand{}
	responsible := x.View.ResponsibleGateways()
	for _, d := range x.Limiter.Demands(time.Now()) {
		name, address := responsible(d.Scope)
		byGateway[gateway{name, address}] = append(byGateway[gateway{name, address}], d)
	}
	var wait sync.WaitGroup
	defer wait.Wait()
	for g, demands := range byGateway {
		wait.Go(func() { x.report(ctx, g.name, g.address, demands) })
	}
}

// report sends demands to one responsible gateway and applies the shares that it
// returns. If the call fails, the assigned shares expire and the equal share applies
// again.
func (x *Exchange) report(ctx context.Context, name, address string, demands []Demand) {
	args, reply := &Args{x.Self, demands}, Reply{}
	if name == x.Self {
		reply.Shares = x.divide(time.Now(), args)
	} else {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		if err := x.Caller.Call(ctx, address, ServiceName+".Divide", args, &reply); err != nil {
			level.Debug(x.Logger).Log("msg", "failed to renew shares of limits", "home", name, "err", err)
			return
		}
	}
	x.Limiter.SetShares(x.validUntil(time.Now()), reply.Shares)
}
