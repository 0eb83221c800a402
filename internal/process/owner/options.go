// Package owner runs the replica groups that this gateway owns, locates the owners of
// other groups, and tracks the grants that this gateway holds.
package owner

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
)

// Group schedules requests onto the replicas of one group. The Manager never calls two
// methods of one Group concurrently.
type Group interface {
	SetReplicas(now time.Time, replicas []schedule.Replica)
	Report(now time.Time, replica string, r api.LoadReport)
	Enqueue(now time.Time, r schedule.Request) *schedule.Refusal
	Cancel(id string) bool
	// Account returns the account of a waiting request.
	Account(now time.Time, id string) schedule.Account
	Dispatch(now time.Time) []schedule.Decision
	Progress(now time.Time, id string, generated int)
	Adopt(now time.Time, h schedule.Held)
	Release(now time.Time, id string, o schedule.Outcome)
	Expire(now time.Time, notRenewedFor time.Duration) []string
	Running(replica string) []schedule.Request
	Loads() []schedule.ReplicaLoad
	SetPeerLoads(now time.Time, gateway string, number uint64, loads []schedule.ReplicaLoad)
	// Use returns what this gateway has granted recently by workspace, and SetPeerUse passes that of another one.
	Use(now time.Time) schedule.Use
	SetPeerUse(now time.Time, gateway string, u schedule.Use)
	// Reservation returns the reservation of a grant that the replica's arbiter has to
	// confirm. Confirm, DropReservations, LoadsByGateway, CorrectPeerLoads and Postpone
	// also deal with reservations; see schedule.Reservation.
	Reservation(grantID string) (schedule.Reservation, bool)
	Confirm(now time.Time, c schedule.Reservation) bool
	DropReservations(now time.Time, gateway string, number uint64)
	LoadsByGateway(replica string, ownNumber uint64) []schedule.GatewayLoad
	CorrectPeerLoads(now time.Time, replica string, loads []schedule.GatewayLoad)
	Postpone(now time.Time, replica string)
	// Demand returns what waits and the places of callers who return, and SetPeerDemand sets that of another gateway.
	Demand(now time.Time) schedule.Demand
	SetPeerDemand(now time.Time, gateway string, d schedule.Demand)
	// RefuseExpired refuses a request whose deadline has passed.
	RefuseExpired(now time.Time, r schedule.Request) *schedule.Refusal
	Summary(now time.Time) schedule.Summary
	State(now time.Time) map[string]schedule.ReplicaState
	NextWake(now time.Time) time.Time
	SetShare(share float64)
	SetClassFractions(backgroundFloor, urgentReserve float64)
	SetWorkspaceFloors(share map[string]float64)
}

// Policy selects which gateways schedule requests onto a replica.
type Policy string

// The scheduling policies. Gateways use PolicyOwner by default and package platform uses
// PolicyShared. The others are for comparison.
const (
	// PolicyOwner assigns each group one owner, which issues the grants for all
	// gateways.
	PolicyOwner Policy = "owner"
	// PolicyShares lets each gateway schedule its share of every replica.
	PolicyShares Policy = "shares"
	// PolicyShared lets each gateway schedule every replica, counting the grants that
	// the other gateways report.
	PolicyShared Policy = "shared"
	// PolicyBaseline lets each gateway schedule every replica independently.
	PolicyBaseline Policy = "baseline"
)

// View is the part of membership.Gossiper that the Manager uses.
type View interface {
	Self() membership.Host
	Live() []membership.Gateway
	// Peers returns the live gateways, this one included, that schedule the engines of Engines.
	Peers() []membership.Gateway
	// Divided reports whether Peers and Engines are only a part of the fleet.
	Divided() bool
	// Known returns all known gateways, live or not.
	Known() []membership.Gateway
	Peer(name string) (address string, live bool)
	Alive(name string) bool
	Owner(k schedule.GroupKey) string
	Rank(k schedule.GroupKey) []string
	BackendsToPoll(backends []membership.Backend) []membership.Backend
	Engines(dataCentre string) []membership.Backend
	Reported(engine string) (models []string, incarnation string)
	SetReport(engine string, draining bool, models []string, incarnation string)
	SetFailed(engine string, failed bool)
	SetSummary(s schedule.Summary)
	Summaries() []schedule.Summary
}

// LoadSource fetches the load report of an engine.
type LoadSource interface {
	Load(ctx context.Context, name, address string) (api.LoadReport, error)
}

// Options configures a Manager.
type Options struct {
	Policy Policy
	View   View
	Caller membership.Caller
	Loads  LoadSource
	// AssumedReport returns the report to assume for an engine that has not been polled
	// yet, under the shared policy. It may be nil.
	AssumedReport func(engine string) api.LoadReport
	// StartedBefore reports whether incarnation a of an engine started before incarnation b. A report that a peer
	// passes on is ignored if it is from before a restart that is known. It may be nil if incarnations have no order.
	StartedBefore func(a, b string) bool
	Logger        log.Logger
	// Broken returns the engines that broke connections of this gateway, with the time
	// for which this gateway sends them no new work. MergeBroken merges what a peer
	// reports of its own connections. Both are used under the shared policy and may be
	// nil.
	Broken      func(now time.Time) map[string]time.Duration
	MergeBroken func(now time.Time, broken map[string]time.Duration)
	// HearStatement records what a server stated at the time at in an answer to another gateway. It is used under
	// the shared policy and may be nil.
	HearStatement func(at time.Time, s ServerStatement)
	// Paused reports whether an engine has asked this gateway for a pause, during which it
	// is not polled, under the shared policy. It may be nil.
	Paused func(engine string) bool
	// ExpectPeers states that there are other gateways, also while none is known.
	ExpectPeers bool
	// NoteCold is called with the time for which an engine is still cold by its latest report. It may be nil.
	NoteCold func(engine string, left time.Duration)
	// Evacuated reports whether a data centre is evacuated. Its groups get no requests. It may be nil.
	Evacuated func(dataCentre string) bool

	// NewGroup returns an empty group.
	NewGroup func(schedule.GroupKey) Group
	// PickGroup selects one of the candidates, which are groups of the request's model.
	PickGroup func(candidates []schedule.Summary, r schedule.Request, localDataCentre string) (schedule.GroupKey, bool)
	// ShardCount and ShardOf divide the replicas of a model in a data centre into
	// groups.
	ShardCount func(replicas int) int
	ShardOf    func(replica string, shards int) int
	// Floors returns the catalogue's background floor and urgent reserve.
	Floors func() (backgroundFloor, urgentReserve float64)
	// WorkspaceFloors returns the catalogue's floors by workspace. It may be nil.
	WorkspaceFloors func() map[string]float64
}
