package gateway

import (
	"context"

	"persimmonwing/internal/connection/service"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/claim"
	"persimmonwing/internal/request/relay"
	"persimmonwing/internal/version/catalogue"
)

// Scheduler hands out permission to send one generation to one replica.
type Scheduler interface {
	Acquire(ctx context.Context, r schedule.Request) (schedule.Grant, error)
	Progress(grantID string, generated int)
	Release(grantID string, o schedule.Outcome)
	// ReportLost says that an engine is gone. It returns when the other gateways
	// know which requests ran there, or after a bound of time.
	ReportLost(backend string)
}

// Catalogue gives the revision in force; nil before the first one.
type Catalogue interface {
	Current() *catalogue.Snapshot
}

// Backends lists application replicas that may take new work.
type Backends interface {
	Services(service string) []membership.Backend
}

// Engines opens and ends streams at engines. Errors are *fault.Error.
type Engines interface {
	Create(ctx context.Context, name, address string, r api.CreateRequest) (relay.Source, error)
	Resume(ctx context.Context, name, address, id string, after int64) (relay.Source, error)
	Cancel(ctx context.Context, name, address, id string) error
}

// Services calls application servers. Errors are *fault.Error.
type Services interface {
	Do(ctx context.Context, name, address string, r service.Request) (service.Response, error)
}

// Claims makes calls that may not be repeated run at most once.
type Claims interface {
	Begin(ctx context.Context, k claim.Key, bodyDigest string) (*claim.Claim, *claim.Answer, error)
}
