// Package adminapi holds the answers of a gateway's admin address that
// persimmonctl reads.
package adminapi

// Kind is the kind of a backend server, with the values of the host list.
type Kind string

// The values of Kind.
const (
	KindEngine      Kind = "engine"
	KindApplication Kind = "app"
)

// Reason says why a backend server gets no new work; "" when it gets some.
type Reason string

// The values of Reason.
const (
	// ReasonLeaving: the host list shows the host as leaving or no longer has it.
	ReasonLeaving Reason = "leaving"
	// ReasonDraining: the catalogue drains the server, or it says so itself.
	ReasonDraining Reason = "draining"
	// ReasonEjected: calls of this gateway failed one after the other.
	ReasonEjected Reason = "ejected"
	// ReasonResting: the engine refused several requests in a row.
	ReasonResting Reason = "resting"
	// ReasonUnreachable: polls of this gateway fail.
	ReasonUnreachable Reason = "unreachable"
	// ReasonStarting: this gateway owns the engine's group and has not polled it yet.
	ReasonStarting Reason = "starting"
	// ReasonReported: another gateway, which polls the server, says that it is
	// draining or unreachable.
	ReasonReported Reason = "reported"
)

// Source says how a gateway knows the state of a backend server.
type Source string

// The values of Source, the best one first.
const (
	// SourceOwner: the gateway owns the engine's group and polls it.
	SourceOwner Source = "owner"
	// SourcePoll: the gateway polls the server.
	SourcePoll Source = "poll"
	// SourceGossip: the gateway has heard of it.
	SourceGossip Source = "gossip"
)

// Backend is one backend server in the answer of GET /backends.
type Backend struct {
	Name       string `json:"name"`
	Kind       Kind   `json:"kind"`
	DataCentre string `json:"data_centre"`
	// Service is set for application servers.
	Service   string   `json:"service,omitempty"`
	Accepting bool     `json:"accepting"`
	Reason    Reason   `json:"reason,omitempty"`
	Models    []string `json:"models,omitempty"`
	Source    Source   `json:"source"`
	// Load is set with SourceOwner once the engine was polled.
	Load *Load `json:"load,omitempty"`
}

// Load is the load of an engine as the owner of its group sees it.
type Load struct {
	// Running counts sequences.
	Running int `json:"running"`
	// BatchBound is the largest batch allowed now; 0 means no bound.
	BatchBound       int `json:"batch_bound"`
	KVUsedTokens     int `json:"kv_used_tokens"`
	KVCapacityTokens int `json:"kv_capacity_tokens"`
}

// Usage is what a workspace uses at one gateway, in the answer of GET /usage,
// which has every workspace of the catalogue in force and no others. Rates are
// moving averages over some 10 s.
type Usage struct {
	Workspace         string  `json:"workspace"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	TokensPerSecond   float64 `json:"tokens_per_second"`
	Concurrent        int     `json:"concurrent"`
}
