package gateway

import (
	"context"

	"persimmonwing/internal/connection/service"
	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/claim"
	"persimmonwing/internal/request/relay"
	"persimmonwing/internal/version/catalogue"
)

// Scheduler grants permission to run one generation on one replica.
type Scheduler interface {
	Acquire(ctx context.Context, r schedule.Request) (schedule.Grant, error)
	Progress(grantID string, generated int)
	Release(grantID string, o schedule.Outcome)
	// GiveUpGeneration records, before its grant is released, that a generation was given up while the
	// engine may still be running it. ended reports whether the engine has ended since.
	GiveUpGeneration(grantID string, ended func(context.Context) bool)
	// ReportLost reports that an engine crashed or became unreachable. It returns
	// when the other gateways know which requests ran there, or after a timeout.
	ReportLost(backend string)
}

// Catalogue provides the current catalogue revision. Current returns nil before the
// first revision is loaded.
type Catalogue interface {
	Current() *catalogue.Snapshot
}

// Backends lists the application servers of a service that may accept new work.
type Backends interface {
	Services(service string) []membership.Backend
}

// Engines opens, resumes and cancels generations at engines. Errors are
// *fault.Error.
type Engines interface {
	Create(ctx context.Context, name, address string, r api.CreateRequest) (relay.Source, error)
	Resume(ctx context.Context, name, address, id string, after int64) (relay.Source, error)
	Cancel(ctx context.Context, name, address, id string) error
}

// Services calls application servers. Errors are *fault.Error.
type Services interface {
	Do(ctx context.Context, name, address string, r service.Request) (service.Response, error)
	// Ended reports whether nothing listens at a backend server's address any more.
	Ended(ctx context.Context, address string) bool
}

// CrashGuard refuses calls that crash the application servers that run them.
type CrashGuard interface {
	// AdmitCall returns when the call may be sent, and EndCall records its end.
	AdmitCall(ctx context.Context, c crashguard.Call) (trial []uint64, err error)
	EndCall(c crashguard.Call, trial []uint64, o crashguard.CallOutcome)
	// GiveUpCall ends a call without an answer that a server may still be running. broken states
	// that the server closed the connection, and ended reports whether it has ended since.
	GiveUpCall(c crashguard.Call, trial []uint64, broken bool, server crashguard.Loss, ended func(context.Context) bool)
}

// Claims ensures that a non-idempotent call runs at most once. Begin returns either a
// claim that allows the call to be sent or the recorded answer of an earlier attempt.
type Claims interface {
	Begin(ctx context.Context, k claim.Key, bodyDigest string) (*claim.Claim, *claim.Answer, error)
}
