package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/gateway"
	"persimmonwing/internal/process/ports"
	"persimmonwing/internal/request/responseid"
)

// gatewayHost is a running gateway. Callers reach it at the address target, which
// is the forwarder's address if there is one.
type gatewayHost struct {
	opts    *gateway.Options
	target  string
	stop    context.CancelFunc
	ended   chan struct{}
	err     error
	forward *forwarder
}

// addressesPerGateway is the number of listen addresses of a gateway: for callers,
// operators and peers.
const addressesPerGateway = 3

// Secrets shared by all gateways of a fleet. They need not be secure, because a
// fleet serves on loopback only.
var (
	peerSecret  = strings.Repeat("fleet peer secret ", 4)
	responseKey = responseid.Key{ID: "fleet", Secret: strings.Repeat("fleet response key ", 4)}
)

func (f *Fleet) startGateways() error {
	var err error
	if f.ports, err = ports.Reserve(f.opts.Gateways * addressesPerGateway); err != nil {
		return err
	}
	addresses := f.ports.Addresses
	var peers []string
	for i := range f.opts.Gateways {
		peers = append(peers, addresses[i*addressesPerGateway+2])
	}
	for i := range f.opts.Gateways {
		h := &gatewayHost{opts: f.gatewayOptions(i, addresses[i*addressesPerGateway:], peers), ended: make(chan struct{})}
		h.target = h.opts.Listen
		if f.opts.Forwarders {
			if h.forward, err = startForwarder(h.opts.Listen); err != nil {
				return err
			}
			h.target = h.forward.address
		}
		if err := h.opts.Validate(); err != nil {
			return err
		}
		f.gateways = append(f.gateways, h)
		f.runGateway(h)
	}
	return nil
}

func (f *Fleet) gatewayOptions(i int, addresses, peers []string) *gateway.Options {
	o := gateway.DefaultOptions()
	o.Name = fmt.Sprintf("gateway-%d", i+1)
	o.DataCentre = f.opts.dataCentre(i)
	o.Listen, o.AdminListen, o.PeerListen = addresses[0], addresses[1], addresses[2]
	o.Peers = peers
	o.PeerSecret = peerSecret
	o.ResponseKeys = []responseid.Key{responseKey}
	base := "http://" + f.platformServer.address
	o.Platform.TableURL = base
	o.Platform.ObjectURL = base + objectsPath
	o.Platform.HostsURL = base
	o.Queue.MaxWaiting = f.opts.GatewayQueue
	o.Policy = f.opts.Policy
	o.Disable = f.opts.Disable
	if f.opts.Adjust != nil {
		f.opts.Adjust(o)
	}
	return o
}

func (f *Fleet) runGateway(h *gatewayHost) {
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	logger := f.opts.Logger
	if logger == nil {
		logger = log.NewNopLogger()
	}
	logger = log.With(logger, "gateway", h.opts.Name)
	go func() {
		defer close(h.ended)
		h.err = gateway.Main(ctx, h.opts, logger)
		if h.err != nil {
			_ = level.Error(logger).Log("part", "fleet", "msg", "gateway ended", "err", h.err)
		}
	}()
}

// Timeout and polling interval of waitReady.
const (
	readyTimeout = 20 * time.Second
	readyPeriod  = 50 * time.Millisecond
)

// waitReady waits until every gateway is ready and has found all peers.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, h := range f.gateways {
		for !f.ready(ctx, h) {
			select {
			case <-h.ended:
				return fmt.Errorf("gateway %s ended at its start: %w", h.opts.Name, h.err)
			case <-ctx.Done():
				return fmt.Errorf("gateway %s is not ready after %v", h.opts.Name, readyTimeout)
			case <-time.After(readyPeriod):
			}
		}
	}
	return nil
}

func (f *Fleet) ready(ctx context.Context, h *gatewayHost) bool {
	s, err := f.status(ctx, h)
	return err == nil && s.Ready && s.LivePeers >= f.opts.Gateways
}

// status requests the status of a gateway.
func (f *Fleet) status(ctx context.Context, h *gatewayHost) (gateway.Status, error) {
	var s gateway.Status
	err := f.call(ctx, http.MethodGet, "http://"+h.opts.AdminListen+"/status", nil, &s)
	return s, err
}
