// Package api defines the wire types shared by callers, gateways and engines: a subset of
// the published OpenAI Responses protocol with server-sent events.
package api

import "strings"

// Execution states whether the request that failed was executed.
type Execution string

// The values of Execution.
const (
	// Ran means that the backend server executed the request, at least in part.
	Ran Execution = "ran"
	// NotRun means that no backend server executed the request.
	NotRun Execution = "not_run"
	// Unknown means that the request may have been executed.
	Unknown Execution = "unknown"
)

// CreateRequest is the body of POST /v1/responses.
type CreateRequest struct {
	// Model is the name of a catalogue entry in requests to a gateway, and the name of a model
	// in requests to an engine.
	Model string `json:"model"`
	Input string `json:"input"`
	// Stream requests server-sent events instead of one Response object.
	Stream bool `json:"stream,omitempty"`
	// MaxOutputTokens is the maximum number of output tokens; 0 means the limit of the entry
	// or engine.
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// Priority is used in requests to engines only; higher values run first.
	Priority int               `json:"priority,omitempty"`
	Metadata map[string]string `json:"metadata,omitempty"`
}

// HeaderServerLoad is the response header in which an application server states its load: the numbers of
// requests running and waiting and of its slots, and optionally the time that work takes at the moment as a
// percentage of the usual time, separated by commas.
const HeaderServerLoad = "Server-Load"

// HeaderServerCold is the response header in which an application server or an engine states for how many
// milliseconds it is still cold. 0 states that it is not.
const HeaderServerCold = "Server-Cold"

// MetadataAttempt is the metadata key of a gateway's attempt id. The engine echoes it in
// the created event.
const MetadataAttempt = "attempt"

// Status is the state of a response.
type Status string

// The values of Status.
const (
	StatusInProgress Status = "in_progress"
	StatusCompleted  Status = "completed"
	StatusIncomplete Status = "incomplete"
	StatusFailed     Status = "failed"
	StatusCancelled  Status = "cancelled"
)

// Usage counts the tokens of a response.
type Usage struct {
	InputTokens  int `json:"input_tokens"`
	OutputTokens int `json:"output_tokens"`
}

// Response is a complete response, and also the payload of the events that begin or end
// a stream.
type Response struct {
	ID         string            `json:"id"`
	Object     string            `json:"object,omitempty"`
	Model      string            `json:"model,omitempty"`
	Status     Status            `json:"status"`
	OutputText string            `json:"output_text,omitempty"`
	Usage      *Usage            `json:"usage,omitempty"`
	Metadata   map[string]string `json:"metadata,omitempty"`
	Error      *Error            `json:"error,omitempty"`
	// IncompleteReason is set if Status is StatusIncomplete, for example to
	// "max_output_tokens".
	IncompleteReason string `json:"incomplete_reason,omitempty"`
}

// EventType is the type of a server-sent event.
type EventType string

// The values of EventType.
const (
	EventCreated    EventType = "response.created"
	EventDelta      EventType = "response.output_text.delta"
	EventCompleted  EventType = "response.completed"
	EventIncomplete EventType = "response.incomplete"
	EventFailed     EventType = "response.failed"
)

// Terminal reports whether an event of this type ends the stream.
func (t EventType) Terminal() bool {
	return t == EventCompleted || t == EventIncomplete || t == EventFailed
}

// Event is one server-sent event. One delta carries exactly one token.
type Event struct {
	Type EventType `json:"type"`
	// SequenceNumber starts at 0 and increases by 1 with each event of a stream.
	SequenceNumber int64 `json:"sequence_number"`
	// ItemID is the result of ItemID for the response id. It is set on delta events.
	ItemID string `json:"item_id,omitempty"`
	Delta  string `json:"delta,omitempty"`
	// Response is set on created and terminal events.
	Response *Response `json:"response,omitempty"`
}

const (
	responsePrefix = "resp_"
	itemPrefix     = "msg_"
)

// ItemID returns the item id of the output of a response.
func ItemID(responseID string) string {
	return itemPrefix + strings.TrimPrefix(responseID, responsePrefix)
}

// Error is the machine-readable part of an error body.
type Error struct {
	Code      string    `json:"code"`
	Message   string    `json:"message"`
	Execution Execution `json:"execution"`
	RequestID string    `json:"request_id,omitempty"`
	// Step is the step at which the error occurred, such as "acquire" or "dispatch".
	Step string `json:"step,omitempty"`
	// Peer is the name or address of the other party of that step.
	Peer         string `json:"peer,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Error Error `json:"error"`
}

// LoadReport is the response body of GET /v1/load. It may lag behind the engine's state.
type LoadReport struct {
	Name   string   `json:"name"`
	Models []string `json:"models"`
	// Running and Waiting are the numbers of sequences in the batch and in the engine's
	// queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVUsedTokens and KVCapacityTokens are the used and total size of the KV cache in
	// tokens.
	KVUsedTokens     int `json:"kv_used_tokens"`
	KVCapacityTokens int `json:"kv_capacity_tokens"`
	// StepMS is the recent mean duration of one decoding step in milliseconds.
	StepMS float64 `json:"step_ms"`
	// MaxBatch is the maximum number of sequences in a batch of the engine.
	MaxBatch    int   `json:"max_batch"`
	Preemptions int64 `json:"preemptions"`
	// TokensGenerated is the number of output tokens since the engine's start.
	TokensGenerated int64 `json:"tokens_generated"`
	Draining        bool  `json:"draining"`
	// ColdLeftMS is the time in milliseconds for which the server is still cold, or 0.
	ColdLeftMS int64 `json:"cold_left_ms"`
	// Incarnation differs after each start of the engine.
	Incarnation string `json:"incarnation"`
	// ReportedAtMS is the time of the report by the engine's clock, in Unix milliseconds.
	ReportedAtMS int64 `json:"reported_at_ms"`
}

// CacheEvent reports that a prefix block was added to or removed from the prefix cache.
type CacheEvent struct {
	Number int64 `json:"number"`
	// PrefixHash is the hash, as in PrefixHashes, of the prompt up to and including the block.
	PrefixHash uint64 `json:"prefix_hash,string"`
	Removed    bool   `json:"removed,omitempty"`
}

// CacheEvents is the response body of GET /v1/cache_events. Events may be missing.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the value of the query parameter "after" for the next call.
	Next int64 `json:"next"`
}

// Goal is the desired state of an engine. Orders contain goals instead of steps, so that
// they are idempotent.
type Goal struct {
	Models   []string `json:"models"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	Drain    bool     `json:"drain,omitempty"`
}

// Order is the body of POST /v1/orders.
type Order struct {
	Fencing int64 `json:"fencing"`
	// Revision is the catalogue revision from which the goal was derived.
	Revision int64 `json:"revision"`
	Goal     Goal  `json:"goal"`
}

// OrderState is the response body of POST /v1/orders and GET /v1/orders.
type OrderState struct {
	// HighestFencing is the highest fencing number that the engine has accepted, or 0 if the
	// engine ignores fencing numbers.
	HighestFencing int64 `json:"highest_fencing"`
	Goal           Goal  `json:"goal"`
	// Loaded lists the models that are ready to serve.
	Loaded  []string `json:"loaded"`
	Loading []string `json:"loading,omitempty"`
}
