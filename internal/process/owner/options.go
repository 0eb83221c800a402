// Package owner runs the replica groups that this gateway owns, finds the
// owners of others, and keeps the grants that this gateway holds.
package owner

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
)

// Group schedules the replicas of one group. The Manager never calls two
// methods of one Group at a time.
type Group interface {
	SetReplicas(now time.Time, replicas []schedule.Replica)
	Report(now time.Time, replica string, r api.LoadReport)
	Enqueue(now time.Time, r schedule.Request) *schedule.Refusal
	Cancel(id string) bool
	Dispatch(now time.Time) []schedule.Decision
	Progress(now time.Time, id string, generated int)
	Adopt(now time.Time, h schedule.Held)
	Release(now time.Time, id string, o schedule.Outcome)
	Expire(now time.Time, notRenewedFor time.Duration) []string
	Running(replica string) []schedule.Request
	Loads() []schedule.ReplicaLoad
	SetPeerLoads(now time.Time, gateway string, loads []schedule.ReplicaLoad)
	// Reservation returns what the arbiter of a grant's replica is asked to confirm. The
	// others serve reservations; see schedule.Reservation.
	Reservation(grantID string) (schedule.Reservation, bool)
	Confirm(now time.Time, c schedule.Reservation) bool
	DropReservations(now time.Time, gateway string, number uint64)
	LoadsOn(replica string) []schedule.GatewayLoad
	Correct(now time.Time, replica string, loads []schedule.GatewayLoad)
	Postpone(now time.Time, replica string)
	Summary(now time.Time) schedule.Summary
	State(now time.Time) map[string]schedule.ReplicaState
	NextWake(now time.Time) time.Time
	SetShare(share float64)
	SetFloor(backgroundFloor, urgentReserve float64)
}

// Policy selects who schedules a replica.
type Policy string

// The policies. All but PolicyOwner are for comparison.
const (
	// PolicyOwner gives each group one owner that grants for all gateways.
	PolicyOwner Policy = "owner"
	// PolicyShares lets each gateway schedule its share of every replica.
	PolicyShares Policy = "shares"
	// PolicyShared lets each gateway schedule every replica, counting the grants
	// that the others tell it of.
	PolicyShared Policy = "shared"
	// PolicyBaseline lets each gateway schedule every replica on its own.
	PolicyBaseline Policy = "baseline"
)

// View is what the Manager needs of membership.Gossiper.
type View interface {
	Self() membership.Host
	Live() []membership.Gateway
	// Known returns all gateways of the view, live or not.
	Known() []membership.Gateway
	Peer(name string) (address string, live bool)
	Alive(name string) bool
	Owner(k schedule.GroupKey) string
	Rank(k schedule.GroupKey) []string
	Discovers(backends []membership.Backend) []membership.Backend
	Engines(dataCentre string) []membership.Backend
	Reported(engine string) (models []string, incarnation string)
	SetReport(engine string, draining bool, models []string, incarnation string)
	SetFailed(engine string, failed bool)
	SetSummary(s schedule.Summary)
	Summaries() []schedule.Summary
}

// LoadSource asks an engine for its load.
type LoadSource interface {
	Load(ctx context.Context, name, address string) (api.LoadReport, error)
}

// Options configures a Manager.
type Options struct {
	Policy Policy
	View   View
	Caller membership.Caller
	Loads  LoadSource
	// Assumed returns the report of an engine that nobody has asked yet, under the
	// shared policy. It may be nil.
	Assumed func(engine string) api.LoadReport
	Logger  log.Logger
	// Broken returns the engines that broke links of this gateway, with the time for
	// which it gives them no new work, and HearBroken takes over what a peer tells of
	// its own, under the shared policy. Both may be nil.
	Broken     func(now time.Time) map[string]time.Duration
	HearBroken func(now time.Time, broken map[string]time.Duration)

	// NewGroup makes an empty group.
	NewGroup func(schedule.GroupKey) Group
	// PickGroup chooses among groups of the request's model.
	PickGroup func(candidates []schedule.Summary, r schedule.Request, localDataCentre string) (schedule.GroupKey, bool)
	// ShardCount and ShardOf split the replicas of a model in a data centre.
	ShardCount func(replicas int) int
	ShardOf    func(replica string, shards int) int
	// Floors returns the catalogue's background floor and urgent reserve.
	Floors func() (backgroundFloor, urgentReserve float64)
}
