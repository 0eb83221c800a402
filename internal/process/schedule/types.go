// Package schedule decides which waiting generation runs next and on which
// replica. It imports no network package: time and load reports are arguments.
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

// Request asks for a replica for one generation.
type Request struct {
	// ID is unique for each attempt; the grant takes it over.
	ID string
	// Gateway is the name of the asking gateway.
	Gateway   string
	Workspace string
	// Weight is the workspace's share, at least 0.01.
	Weight float64
	Entry  string
	Class  catalogue.Class
	Model  string
	// DataCentre is the preferred one: the gateway's, or that of the engine from
	// which a generation moves.
	DataCentre string
	// PromptTokens and MaxOutputTokens are in tokens.
	PromptTokens         int
	MaxOutputTokens      int
	ExpectedOutputTokens int
	// TokenGap is the class's target between tokens; 0 means none.
	TokenGap time.Duration
	// Fingerprint identifies workspace, entry and input.
	Fingerprint uint64
	// Suspect is set when a lost engine was running this fingerprint.
	Suspect bool
	// PrefixHashes identifies the input's leading blocks, shortest prefix first.
	PrefixHashes []uint64
	// Spread chooses at random among the replicas with room, those of the preferred
	// data centre first, instead of the least loaded one: generations that leave an
	// engine together are copied over the links of their destinations, and all
	// gateways would choose the same one.
	Spread bool
	// Exclude names replicas that already failed this request.
	Exclude  []string
	Deadline time.Time
}

// Grant is the permission to send one generation to one replica.
type Grant struct {
	ID      string
	Group   GroupKey
	Backend string
	Address string
	// Owner is the gateway that granted.
	Owner string
	// QueuedFor is the time between request and grant.
	QueuedFor time.Duration
	// Reason says in a word why this replica was chosen, such as "prefix".
	Reason string
	// Yields is set when the engine shall preempt this generation before others
	// of its class, because its workspace uses more than its share.
	Yields bool
}

// Refusal is the error of a request that gets no grant. It was not run.
type Refusal struct {
	// Reason is "queue_full", "deadline", "no_replica", "crashes_servers", "busy"
	// or "stopping".
	Reason     string
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "no replica granted: " + r.Reason }

// The reasons of a Refusal.
const (
	ReasonQueueFull = "queue_full"
	ReasonDeadline  = "deadline"
	ReasonNoReplica = "no_replica"
	ReasonCrashes   = "crashes_servers"
	ReasonStopping  = "stopping"
	// ReasonBusy ends a wait that the gateway limited to ask another group.
	ReasonBusy = "busy"
)

// Outcome tells how a granted generation ended.
type Outcome struct {
	Generated int
	// Completed is set when the generation reached its natural end, so that its
	// length teaches the length estimate.
	Completed bool
	// EngineLost is set when the engine was lost while it ran.
	EngineLost bool
	// NotRun is set when it did not run.
	NotRun bool
	// Refused is set when it did not run because the engine refused it.
	Refused bool
}

// Replica is one engine as the scheduler sees it.
type Replica struct {
	Name             string
	Address          string
	DataCentre       string
	MaxBatch         int
	KVCapacityTokens int
	// Accepting is false while it is draining, leaving, ejected or unreachable.
	Accepting bool
}

// Summary describes the load of a group for gateways that do not own it.
type Summary struct {
	Group    GroupKey
	Owner    string
	Replicas int
	// FreeSlots counts batch slots that can be granted at once.
	FreeSlots int
	// QueuedUrgent and QueuedBackground count waiting requests.
	QueuedUrgent     int
	QueuedBackground int
	// WaitUrgentMS and WaitBackgroundMS are waits of a new request; the urgent one
	// is that of a workspace within its share.
	WaitUrgentMS     int64
	WaitBackgroundMS int64
}

// Held is a grant in use, as the gateway that holds it reports it to a group's
// owner. A new owner rebuilds its state from these.
type Held struct {
	Request   Request
	Grant     Grant
	Generated int
}

// Decision is the end of a request's wait: a grant, or a refusal if Refusal is
// not nil.
type Decision struct {
	Request Request
	Grant   Grant
	Refusal *Refusal
}

// patiencePart is the part of the first token target that a request may wait for
// a replica; the rest is left for the step in progress and the prefill.
const patiencePart = 0.75

// Patience returns how long a request with a first token target may wait for a
// replica before it is refused.
func Patience(target time.Duration) time.Duration {
	return time.Duration(patiencePart * float64(target))
}
