package api

// The error codes with which an engine refuses a request or an order.
const (
	CodeDraining       = "draining"
	CodeModelNotLoaded = "model_not_loaded"
	CodeOverloaded     = "overloaded"
	CodeStaleFencing   = "stale_fencing"
)

// The values of IncompleteReason.
const (
	ReasonMaxOutputTokens = "max_output_tokens"
	ReasonKVCapacity      = "kv_capacity"
	ReasonCancelled       = "cancelled"
	ReasonOrphaned        = "orphaned"
)
