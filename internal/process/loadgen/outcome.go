package loadgen

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"persimmonwing/internal/request/api"
)

// Outcome codes besides the error codes of gateways.
const (
	// OutcomeCompleted ends a whole generation or a service call.
	OutcomeCompleted  = "completed"
	OutcomeIncomplete = "incomplete"
	// OutcomeUnfinished was still in progress when the run ended.
	OutcomeUnfinished = "unfinished"
	// OutcomeLinkBroken got no typed answer and could not be resumed.
	OutcomeLinkBroken = "link_broken"
	// OutcomeUnreachable was refused by all targets.
	OutcomeUnreachable = "unreachable"
)

// outcome is the end of one request as its caller knows it.
type outcome struct {
	code      string
	execution api.Execution
}

func (o outcome) served() bool { return o.code == OutcomeCompleted || o.code == OutcomeIncomplete }

// label is the key of the outcome in reports.
func (o outcome) label() string {
	if o.execution == "" {
		return o.code
	}
	return o.code + "/" + string(o.execution)
}

// sendFailure is the outcome of a request without an answer.
func sendFailure(err error) outcome {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return outcome{OutcomeUnreachable, api.NotRun}
	}
	return outcome{OutcomeLinkBroken, api.Unknown}
}

// refusal reads the typed error of an answer that is not a success. An answer
// without one says nothing about the execution.
func refusal(resp *http.Response) outcome {
	var body api.ErrorBody
	err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&body)
	if err != nil || body.Error.Code == "" {
		return outcome{fmt.Sprintf("http_%d", resp.StatusCode), api.Unknown}
	}
	return outcome{body.Error.Code, body.Error.Execution}
}

// finished is what a request hands to the recorder at its end.
type finished struct {
	outcome
	id      string
	arrived time.Duration
	ended   time.Duration
	// firstToken is the time from the arrival to the first token, or to the
	// answer of a service call; 0 if there was none.
	firstToken time.Duration
	// generating is the time from the first token to the last moment seen.
	generating time.Duration
	// stalled is the stall time, in whatever window.
	stalled time.Duration
	// parts holds tokens and stall time by window.
	parts      []part
	attempts   int
	skipped    int
	resumed    int
	violations map[Violation]int
	// accepted means that a response id was received.
	accepted bool
	links    []Link
}

// part is what one generation got during one window.
type part struct {
	tokens int
	stall  time.Duration
}
