// Package adminapi defines the response bodies of a gateway's admin address that
// persimmonctl reads.
package adminapi

// Kind is the kind of a backend server. Its values are those of the host list.
type Kind string

// The values of Kind.
const (
	KindEngine      Kind = "engine"
	KindApplication Kind = "app"
)

// Reason is the reason why a backend server gets no new work, or "" if it may get
// some.
type Reason string

// The values of Reason.
const (
	// ReasonLeaving: the host is leaving according to the host list, or is no longer
	// in it.
	ReasonLeaving Reason = "leaving"
	// ReasonDraining: the catalogue lists the server as draining, or the server reports
	// that it drains.
	ReasonDraining Reason = "draining"
	// ReasonCold: the server is cold and has got as many requests as it may.
	ReasonCold Reason = "cold"
	// ReasonEvacuated: the catalogue lists the server's data centre as evacuated.
	ReasonEvacuated Reason = "evacuated"
	// ReasonEjected: consecutive calls from this gateway failed.
	ReasonEjected Reason = "ejected"
	// ReasonResting: the engine refused several requests in a row.
	ReasonResting Reason = "resting"
	// ReasonUnreachable: this gateway's polls of the server fail.
	ReasonUnreachable Reason = "unreachable"
	// ReasonStarting: this gateway owns the engine's group and has not polled it yet.
	ReasonStarting Reason = "starting"
	// ReasonReported: another gateway, which polls the server, reports it as draining
	// or unreachable.
	ReasonReported Reason = "reported"
)

// Source is the way in which a gateway learned the state of a backend server.
type Source string

// The values of Source, the most reliable one first.
const (
	// SourceOwner: the gateway owns the engine's group and polls it.
	SourceOwner Source = "owner"
	// SourcePoll: the gateway polls the server.
	SourcePoll Source = "poll"
	// SourceGossip: the gateway learned the state by gossip.
	SourceGossip Source = "gossip"
)

// Backend is one backend server in the response to GET /backends.
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
	// Load is set if Source is SourceOwner and the engine has been polled.
	Load *Load `json:"load,omitempty"`
}

// Load is the load of an engine as known to the owner of its group.
type Load struct {
	// Running is the number of running sequences.
	Running int `json:"running"`
	// BatchBound is the largest batch currently allowed, in sequences; 0 means no
	// bound.
	BatchBound       int `json:"batch_bound"`
	KVUsedTokens     int `json:"kv_used_tokens"`
	KVCapacityTokens int `json:"kv_capacity_tokens"`
}

// Usage is the current usage of a workspace at one gateway. The response to GET /usage
// contains one for each workspace of the current catalogue and for no others. Rates
// are moving averages over about 10 s.
type Usage struct {
	Workspace         string  `json:"workspace"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	TokensPerSecond   float64 `json:"tokens_per_second"`
	Concurrent        int     `json:"concurrent"`
}

// ColdServer is one server that is cold, in the response to GET /cold.
type ColdServer struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	// LeftMS is how much longer it is cold, and AgeMS for how long the gateway has known that it is.
	LeftMS int64 `json:"left_ms"`
	AgeMS  int64 `json:"age_ms"`
	// Rights is the number of requests that it may get within a second from all gateways, or 0 without a
	// bound, and Issued the number of these that this gateway has issued and that still count.
	Rights int `json:"rights"`
	Issued int `json:"issued"`
}
