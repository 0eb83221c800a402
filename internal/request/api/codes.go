package api

// Error codes of engines that refuse a request or an order.
const (
	CodeDraining       = "draining"
	CodeModelNotLoaded = "model_not_loaded"
	CodeOverloaded     = "overloaded"
	CodeStaleFencing   = "stale_fencing"
)

// The values of Response.IncompleteReason.
const (
	ReasonMaxOutputTokens = "max_output_tokens"
	ReasonKVCapacity      = "kv_capacity"
	ReasonCancelled       = "cancelled"
	ReasonOrphaned        = "orphaned"
)
