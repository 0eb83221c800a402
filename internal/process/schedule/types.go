// Package schedule decides which waiting generation runs next and on which
// replica. It imports no network package: time and load reports are arguments.
//
// Entitled work is urgent work of workspaces that use at most their share of the
// group. All other work yields to it: background work, and urgent work of workspaces
// over their share. Engines preempt generations that yield before the others.
//
// Under the policy "shared", each gateway runs a Group for all replicas and grants
// from its own view of their load. The arbiter of a replica is the one gateway that
// confirms or refuses these grants; see Reservation.
package schedule

import (
	"fmt"
	"time"

	"persimmonwing/internal/version/catalogue"
)

// GroupKey names a group: one shard of the replicas of a model in a data centre.
type GroupKey struct {
	DataCentre string
	Model      string
	Shard      int
}

// String returns the key as data centre/model/shard.
func (k GroupKey) String() string {
	return fmt.Sprintf("%s/%s/%d", k.DataCentre, k.Model, k.Shard)
}

// Request is a request for a replica that runs one generation.
type Request struct {
	// ID is unique for each attempt; the grant has the same ID.
	ID string
	// Gateway is the name of the gateway that sends the request.
	Gateway   string
	Workspace string
	// Weight is the workspace's weight in fair sharing, at least 0.01.
	Weight float64
	Entry  string
	Class  catalogue.Class
	Model  string
	// DataCentre is the preferred data centre: the gateway's, or for a generation
	// that moves, that of its previous engine.
	DataCentre string
	// PromptTokens and MaxOutputTokens are in tokens.
	PromptTokens         int
	MaxOutputTokens      int
	ExpectedOutputTokens int
	// TokenGap is the class's target for the time between tokens; 0 means none.
	TokenGap time.Duration
	// Fingerprint identifies workspace, entry and input.
	Fingerprint uint64
	// Suspect is set if an engine was lost while it ran this fingerprint, so that
	// the request may crash engines.
	Suspect bool
	// Trial is set if the request is the trial of all suspect parts of its prompt.
	Trial bool
	// PartHashes are hashes of the parts of the prompt that other requests may share, in
	// order. Each one identifies a part whatever precedes it.
	PartHashes []uint64
	// PrefixHashes are hashes of the input's prefixes in whole blocks, shortest first.
	PrefixHashes []uint64
	// Moving is set for a generation that goes on from a copy of its KV memory because its replica
	// leaves, and Generated is the number of tokens that it has produced so far. Its workspace was
	// charged for it before, and it counts as within its share.
	Moving    bool
	Generated int
	// Spread selects a pseudo-random replica with room, preferably in DataCentre,
	// instead of the least loaded one. It is set for generations that leave an engine
	// together: their KV caches are copied over the network links of their
	// destinations, and otherwise all gateways would choose the same destination.
	Spread bool
	// SlowFrom names the replica that a generation would leave because it has become slow. It is granted a
	// clearly faster one of its data centre, and only while no other request waits.
	SlowFrom string
	// Exclude names replicas that already failed this request, or that it may not use, such as those of another software version
	// than the one that began its stream.
	Exclude []string
	// FirstTokenBy is the time by which the first token is on time, or zero if the entry has no target.
	// Under the shared policy the request is placed where its first token is expected by then.
	FirstTokenBy time.Time
	Deadline     time.Time
	// Since is the time at which the request began to wait, also before grants that were refused by arbiters. Zero means
	// the time at which it is queued.
	Since time.Time
	// LeaveBy is the time until which the caller waits, its returns after refusals included, or zero if it is unknown.
	// A place is kept only for callers for which it is known.
	LeaveBy time.Time
}

// Grant is the permission to run one generation on one replica.
type Grant struct {
	ID      string
	Group   GroupKey
	Backend string
	Address string
	// Owner is the name of the gateway that issued the grant.
	Owner string
	// QueuedFor is the time between request and grant.
	QueuedFor time.Duration
	// Reason is the reason why this replica was chosen, such as "prefix".
	Reason string
	// Running is the number of sequences on the replica that its group knew of before the grant,
	// Unread the number of their prompt tokens that had yet to be prefilled, and Used the KV memory
	// in use in tokens.
	Running, Unread, Used int
	// StepUS is the average time of the replica's steps in microseconds, or 0 if it is not known, and ReportAge the time
	// since its last report was received.
	StepUS    int
	ReportAge time.Duration
	// Yields makes the engine preempt this generation before others of its class,
	// because its workspace uses more than its share.
	Yields bool
	// Account states why the request waited.
	Account Account
}

// Refusal is the error for a request that was not granted and has not run.
type Refusal struct {
	// Reason is one of the constants below.
	Reason string
	// RetryAfter is the time after which the caller should return, or 0 if it should not return.
	RetryAfter time.Duration
	Account    Account
}

// Error implements error.
func (r *Refusal) Error() string { return "no replica granted: " + r.Reason }

// The reasons of a Refusal.
const (
	ReasonQueueFull = "queue_full"
	ReasonDeadline  = "deadline"
	ReasonNoReplica = "no_replica"
	// ReasonNoRoomInTime means that no replica is expected to have room by the request's deadline.
	ReasonNoRoomInTime = "no_room_in_time"
	ReasonCrashes      = "crashes_servers"
	ReasonStopping     = "stopping"
	// ReasonEvacuated means that all replicas are in evacuated data centres.
	ReasonEvacuated = "evacuated"
	// ReasonTrial means that the request has to become the trial of suspect parts of its
	// prompt first.
	ReasonTrial = "suspect_part"
	// ReasonBusy means that no replica became free within the short wait after which
	// the gateway tries another group.
	ReasonBusy = "busy"
)

// Outcome describes how a granted generation ended.
type Outcome struct {
	Generated int
	// Completed is set if the generation reached its natural end, so that the length
	// estimate can learn from its length.
	Completed bool
	// EngineLost is set if the engine was lost while it ran the generation.
	EngineLost bool
	// NotRun is set if the generation did not run.
	NotRun bool
	// Refused is set if the generation did not run because the engine refused it.
	Refused bool
}

// Replica describes one engine to the scheduler.
type Replica struct {
	Name             string
	Address          string
	DataCentre       string
	MaxBatch         int
	KVCapacityTokens int
	// Accepting is false while the engine is draining, leaving, ejected or unreachable.
	Accepting bool
	// Evacuated is set while the engine accepts nothing because its data centre is evacuated.
	Evacuated bool
	// MaxStarts is the number of requests that may be placed on the replica within a second, or 0 without
	// a bound.
	MaxStarts int
}

// Summary describes the load of a group for gateways that do not own it.
type Summary struct {
	Group    GroupKey
	Owner    string
	Replicas int
	// FreeSlots is the number of batch slots that can be granted immediately.
	FreeSlots int
	// QueuedUrgent and QueuedBackground are the numbers of waiting requests.
	QueuedUrgent     int
	QueuedBackground int
	// WaitUrgentMS and WaitBackgroundMS are the predicted waits of a new request of
	// the class, WaitUrgentMS that of a workspace within its share.
	WaitUrgentMS     int64
	WaitBackgroundMS int64
	// ColdWait is the time until a request may be placed if all replicas with free slots are cold and have got as many
	// as they may. Only the group's owner knows it.
	ColdWait time.Duration
}

// Held is a grant in use. The gateway that uses it reports it to the group's owner,
// so that a new owner can rebuild its state.
type Held struct {
	Request   Request
	Grant     Grant
	Generated int
}

// Decision is the result for a waiting request: a refusal if Refusal is not nil,
// and else a grant.
type Decision struct {
	Request Request
	Grant   Grant
	Refusal *Refusal
}

// maxWaitFraction is the fraction of the first token target that a request may wait
// for a replica. The rest is needed for the decoding step in progress and the prefill.
const maxWaitFraction = 0.75

// MaxQueueWait returns the maximum time that a request with this first token target may
// wait for a replica before it is refused.
func MaxQueueWait(target time.Duration) time.Duration {
	return time.Duration(maxWaitFraction * float64(target))
}
