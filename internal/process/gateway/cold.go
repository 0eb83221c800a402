package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/connection/sendcheck"
	"persimmonwing/internal/process/adminapi"
	"persimmonwing/internal/process/boottime"
	"persimmonwing/internal/process/coldbound"
	"persimmonwing/internal/process/coldrights"
	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

const (
	// coldKeyPrefix precedes the name of a row of the table that names an issuer, and of the key by which gateways
	// are ranked for it.
	coldKeyPrefix = "cold-issuers/"
	// coldEngines is the name under which rights for all engines are issued, since an engine may have several
	// models loaded. Services have the prefix coldService, so that no service has that name.
	coldEngines = "engines"
	coldService = "service/"
	// maxColdDenials bounds the grants of one attempt at a generation that are given back because there is no right.
	// The groups bound the starts on cold engines, so that one is rare.
	maxColdDenials = 3
)

// ColdServers bounds the requests that all gateways together send to servers that are cold.
type ColdServers interface {
	// Reserve gets the right to send one request to a server of a service, or to an engine if service is empty.
	Reserve(ctx context.Context, service, name string) (ColdSend, *fault.Error)
}

// ColdSend is a request that may be sent to a server.
type ColdSend interface {
	// Check returns an error if the request may not be sent now. It uses the right.
	Check() error
	// Close gives back a right that was not used.
	Close()
}

// coldServers implements ColdServers with rights from an issuer.
type coldServers struct {
	view   *membership.Gossiper
	issuer *coldrights.Issuer
}

// coldSend holds the right to send one request to a server that may be cold.
type coldSend struct {
	c             *coldServers
	service, name string
	right         *coldbound.Right
}

func issuerOf(service string) string {
	if service == "" {
		return coldEngines
	}
	return coldService + service
}

// Reserve implements ColdServers.
func (c *coldServers) Reserve(ctx context.Context, service, name string) (ColdSend, *fault.Error) {
	s := &coldSend{c: c, service: issuerOf(service), name: name}
	if c.view.Cold(name) == 0 {
		return s, nil
	}
	right, wait, ok := c.issuer.Acquire(ctx, s.service, coldbound.Incarnation{Server: name})
	if !ok {
		return nil, s.denied(wait)
	}
	s.right = &right
	return s, nil
}

// Check implements ColdSend. A server that has become cold since the request was placed needs a right, too.
func (s *coldSend) Check() error {
	if s.c.view.Cold(s.name) == 0 {
		return nil
	}
	if s.right != nil && s.c.issuer.Valid(*s.right) {
		s.right = nil
		return nil
	}
	if _, ok := s.c.issuer.Take(s.name); ok {
		return nil
	}
	return s.denied(coldbound.PartTTL)
}

// Close implements ColdSend.
func (s *coldSend) Close() {
	if s.right != nil {
		s.c.issuer.Return(s.name, *s.right)
		s.right = nil
	}
}

func (s *coldSend) denied(wait time.Duration) *fault.Error {
	s.c.view.NoteColdDenied(s.name, wait)
	return fault.New(fault.NoCapacity, "send", s.name, api.NotRun, "server is cold and gets as many requests as it may").WithRetryAfter(wait)
}

// sendCold calls send with a context in which the request is sent only if the server is not cold or there is a right.
// denied is set, and nothing was sent, if there is none. done ends the request.
func (g *Gateway) sendCold(ctx context.Context, service, name string, send func(context.Context) error) (done func(), denied *fault.Error, err error) {
	if g.cold == nil {
		return func() {}, nil, send(ctx)
	}
	reserved, denied := g.cold.Reserve(ctx, service, name)
	if denied != nil {
		return func() {}, denied, nil
	}
	ctx, refusal, cancel := sendcheck.With(ctx, reserved.Check)
	err = send(ctx)
	var refused *fault.Error
	if errors.As(refusal.Err(), &refused) {
		denied = refused
	}
	return func() { reserved.Close(); cancel() }, denied, err
}

// coldWait returns the time until the first of some servers accepts work, if all that could are cold and have got as
// many requests as they may.
func coldWait(servers []membership.Backend) (time.Duration, bool) {
	var earliest time.Duration
	for _, b := range servers {
		switch {
		case b.Stopped:
		case b.ColdWait == 0:
			return 0, false
		case earliest == 0 || b.ColdWait < earliest:
			earliest = b.ColdWait
		}
	}
	return earliest, earliest > 0
}

// coldTable holds the rows that name the issuers.
type coldTable struct{ table *platform.Table }

// Read implements coldrights.Store.
func (t coldTable) Read(ctx context.Context, service string) (int64, coldbound.Row, error) {
	row, err := t.table.Get(ctx, coldKeyPrefix+service)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, coldbound.Row{}, nil
	}
	return row.Revision, decodeIssuer(row), err
}

// Replace implements coldrights.Store.
func (t coldTable) Replace(ctx context.Context, service string, expect int64, row coldbound.Row) (int64, coldbound.Row, bool, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, coldbound.Row{}, false, err
	}
	results, err := t.table.Txn(ctx, []platform.CondPut{{Key: coldKeyPrefix + service, Value: value, IfRevision: expect}})
	if err != nil {
		return 0, coldbound.Row{}, false, err
	}
	return results[0].Row.Revision, decodeIssuer(results[0].Row), results[0].Applied, nil
}

// decodeIssuer decodes a row. One that can't be read counts as held by nobody who can be asked, until it has not
// changed for the time of a tenure.
func decodeIssuer(row platform.Row) coldbound.Row {
	var issuer coldbound.Row
	if row.Revision != 0 && json.Unmarshal(row.Value, &issuer) != nil {
		return coldbound.Row{Holder: "unreadable"}
	}
	return issuer
}

// newColdServers returns the bound on requests to cold servers. The table has revisions for the whole store, so that a row
// that was deleted and written again has another one.
func (p *process) newColdServers(table *platform.Table) *coldServers {
	c := &coldServers{view: p.gossiper}
	self := p.gossiper.Self()
	c.issuer = coldrights.New(coldrights.Options{
		Self: self.Name + "/" + time.UnixMilli(self.Incarnation).UTC().Format(time.RFC3339Nano), PeerAddress: p.opts.peerAddress(),
		Store: coldTable{table}, Caller: p.pool, Now: boottime.Now,
		Rights: func(_, server string) int { return p.gossiper.ColdRights(server) },
		Candidates: func(service string) []membership.Gateway {
			return p.gossiper.FirstRanked(coldKeyPrefix + service)
		},
		Logger: logging.Part(p.logger, "cold"), Metrics: p.metrics,
	})
	return c
}

// coldRights returns the number of requests that a cold server may get within a second, or 0 without a bound.
func (p *process) coldRights(service string, models []string) int {
	s := p.holder.Current()
	if s == nil {
		return 0
	}
	rate := s.ServiceColdRate(service)
	if service == "" {
		rate = s.EngineColdRate(models)
	}
	return coldbound.Bound{Over: 1}.Rights(float64(rate))
}

// becameCold logs that a server has become cold and prepares for requests to it.
func (p *process) becameCold(s membership.ColdServer) {
	_ = level.Info(logging.Part(p.logger, "cold")).Log("msg", "server is cold", "backend", s.Name, "service", s.Service, "length_ms", s.Left.Milliseconds(), "rights", s.Rights)
	if p.coldServers != nil {
		p.coldServers.issuer.Expect(issuerOf(s.Service))
	}
}

// updateColdGauges shows how many servers are cold.
func (p *process) updateColdGauges() {
	count := map[string]int64{coldEngines: 0}
	for _, s := range p.gossiper.ColdServers() {
		count[strings.TrimPrefix(issuerOf(s.Service), coldService)]++
	}
	for name := range p.coldShown {
		if _, shown := count[name]; !shown {
			count[name] = 0
		}
	}
	p.coldShown = count
	for name, n := range count {
		p.metrics.Gauge("servers_cold", name).Update(n)
	}
}

// listCold returns the servers that are cold, for persimmonctl.
func (p *process) listCold() []adminapi.ColdServer {
	list := []adminapi.ColdServer{}
	for _, s := range p.gossiper.ColdServers() {
		list = append(list, adminapi.ColdServer{
			Name: s.Name, Service: s.Service, DataCentre: s.DataCentre, LeftMS: s.Left.Milliseconds(), AgeMS: s.Age.Milliseconds(),
			Rights: s.Rights, Issued: p.coldServers.issuer.Issued(issuerOf(s.Service), s.Name),
		})
	}
	return list
}

// listCold serves GET /cold.
func (g *Gateway) listCold(w http.ResponseWriter, _ *http.Request) {
	list := []adminapi.ColdServer{}
	if g.coldSource != nil {
		list = g.coldSource()
	}
	writeJSON(w, http.StatusOK, list)
}
