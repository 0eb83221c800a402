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

// Outcome codes of requests that did not end with an error code of a gateway.
const (
	// OutcomeCompleted is a complete generation or a successful service call, and
	// OutcomeIncomplete a generation that ended with an incomplete event.
	OutcomeCompleted  = "completed"
	OutcomeIncomplete = "incomplete"
	// OutcomeUnfinished is a request that was in progress when the run ended.
	OutcomeUnfinished = "unfinished"
	// OutcomeLinkBroken is a request whose connection broke before a typed response
	// and that could not be resumed.
	OutcomeLinkBroken = "link_broken"
	// OutcomeUnreachable is a request whose connections all targets refused.
	OutcomeUnreachable = "unreachable"
)

// outcome is the result of one request as its caller sees it.
type outcome struct {
	code      string
	execution api.Execution
}

func (o outcome) served() bool { return o.code == OutcomeCompleted || o.code == OutcomeIncomplete }

// label returns the key of the outcome in reports.
func (o outcome) label() string {
	if o.execution == "" {
		return o.code
	}
	return o.code + "/" + string(o.execution)
}

// sendErrorOutcome returns the outcome of a request that got no response. Only a
// refused connection proves that the request did not run.
func sendErrorOutcome(err error) outcome {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return outcome{OutcomeUnreachable, api.NotRun}
	}
	return outcome{OutcomeLinkBroken, api.Unknown}
}

// errorResponseOutcome reads the typed error of an unsuccessful response. Without
// one, it is unknown whether the request ran.
func errorResponseOutcome(resp *http.Response) outcome {
	var body api.ErrorBody
	err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&body)
	if err != nil || body.Error.Code == "" {
		return outcome{fmt.Sprintf("http_%d", resp.StatusCode), api.Unknown}
	}
	return outcome{body.Error.Code, body.Error.Execution}
}

// requestResult collects the result of one request for the recorder. The intended time
// of arrival and the time at which the request ended count from the start of the run.
type requestResult struct {
	outcome
	id      string
	arrived time.Duration
	ended   time.Duration
	// firstToken is the time from the arrival to the first token, or to the
	// response of a service call; 0 if there was none.
	firstToken time.Duration
	// generationTime is the time from the first token to the last one, or to the end
	// of the run if that interrupted the generation.
	generationTime time.Duration
	// stallTime is the stall time of the whole request, regardless of windows.
	stallTime time.Duration
	// perWindow contains tokens and stall time for each window of the run.
	perWindow          []windowStats
	attempts           int
	connectionsRefused int
	resumed            int
	violations         map[Violation]int
	// accepted means that a response id was received.
	accepted  bool
	exchanges []Exchange
}

// windowStats contains the tokens and the stall time of a generation in one window.
type windowStats struct {
	tokens int
	stall  time.Duration
}
