// Package api holds the wire types shared by callers, gateways and engines: a
// subset of the published OpenAI Responses protocol with server-sent events.
package api

import "strings"

// Execution says whether the work behind an error was run.
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
	// Model names a catalogue entry towards a gateway and a model towards an engine.
	Model string `json:"model"`
	Input string `json:"input"`
	// Stream asks for server-sent events instead of one Response object.
	Stream bool `json:"stream,omitempty"`
	// MaxOutputTokens bounds the output; 0 means the limit of the entry or engine.
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// Priority is used towards engines only; higher runs first.
	Priority int               `json:"priority,omitempty"`
	Metadata map[string]string `json:"metadata,omitempty"`
}

// MetadataAttempt is the metadata key under which a gateway sends its attempt
// id; the engine echoes it in the created event.
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

// Response is a whole response and the payload of the events that open or
// close a stream.
type Response struct {
	ID         string            `json:"id"`
	Object     string            `json:"object,omitempty"`
	Model      string            `json:"model,omitempty"`
	Status     Status            `json:"status"`
	OutputText string            `json:"output_text,omitempty"`
	Usage      *Usage            `json:"usage,omitempty"`
	Metadata   map[string]string `json:"metadata,omitempty"`
	Error      *Error            `json:"error,omitempty"`
	// IncompleteReason is set with StatusIncomplete, such as "max_output_tokens".
	IncompleteReason string `json:"incomplete_reason,omitempty"`
}

// EventType names a server-sent event.
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
	// SequenceNumber starts at 0 and grows by 1 within a stream.
	SequenceNumber int64 `json:"sequence_number"`
	// ItemID is ItemID(response id) on delta events.
	ItemID string `json:"item_id,omitempty"`
	Delta  string `json:"delta,omitempty"`
	// Response is set on created and terminal events.
	Response *Response `json:"response,omitempty"`
}

const (
	responsePrefix = "resp_"
	itemPrefix     = "msg_"
)

// ItemID returns the item id of the output of the response with this id.
func ItemID(responseID string) string {
	return itemPrefix + strings.TrimPrefix(responseID, responsePrefix)
}

// Error is the machine-readable part of an error body.
type Error struct {
	Code      string    `json:"code"`
	Message   string    `json:"message"`
	Execution Execution `json:"execution"`
	RequestID string    `json:"request_id,omitempty"`
	// Step is the step at which the error arose, such as "acquire" or "dispatch".
	Step string `json:"step,omitempty"`
	// Peer is the other party of that step, by name or address.
	Peer         string `json:"peer,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// ErrorBody is the JSON body of every error answer.
type ErrorBody struct {
	Error Error `json:"error"`
}

// LoadReport is the answer of GET /v1/load. It may lag behind the engine.
type LoadReport struct {
	Name   string   `json:"name"`
	Models []string `json:"models"`
	// Running and Waiting count sequences in the batch and in the engine's queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVUsedTokens and KVCapacityTokens measure the KV cache in tokens.
	KVUsedTokens     int `json:"kv_used_tokens"`
	KVCapacityTokens int `json:"kv_capacity_tokens"`
	// StepMS is the recent mean time of one decoding step in milliseconds.
	StepMS float64 `json:"step_ms"`
	// MaxBatch is the largest batch that the engine runs.
	MaxBatch    int   `json:"max_batch"`
	Preemptions int64 `json:"preemptions"`
	// TokensGenerated counts output tokens since the engine's start.
	TokensGenerated int64 `json:"tokens_generated"`
	Draining        bool  `json:"draining"`
	// Incarnation differs after each start of the engine.
	Incarnation string `json:"incarnation"`
	// ReportedAtMS is the engine's clock in Unix milliseconds.
	ReportedAtMS int64 `json:"reported_at_ms"`
}

// CacheEvent announces that a prefix block entered or left the prefix cache.
type CacheEvent struct {
	Number int64 `json:"number"`
	// PrefixHash is PrefixHashes of the prompt up to and including the block.
	PrefixHash uint64 `json:"prefix_hash,string"`
	Removed    bool   `json:"removed,omitempty"`
}

// CacheEvents is the answer of GET /v1/cache_events. Events may be missing.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the value of "after" for the next call.
	Next int64 `json:"next"`
}

// Goal is the state that an engine shall reach; orders state goals, not steps,
// so that repeating one does no harm.
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

// OrderState is the answer of POST /v1/orders and GET /v1/orders.
type OrderState struct {
	// HighestFencing is 0 at an engine that ignores fencing numbers.
	HighestFencing int64 `json:"highest_fencing"`
	Goal           Goal  `json:"goal"`
	// Loaded lists the models that are ready to serve.
	Loaded  []string `json:"loaded"`
	Loading []string `json:"loading,omitempty"`
}
