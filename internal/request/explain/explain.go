// Package explain records the decisions made for each request, so that an operator can
// see why a request was refused or slow. It stores no prompt text and no API key.
package explain

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// DefaultRecords is the default number of records kept. At about 1 KB each, they take
// 2 MB.
const DefaultRecords = 2000

// maxSteps is the maximum number of steps in the record of one request.
const maxSteps = 32

// Step is one decision made for a request.
type Step struct {
	// AfterMS is the time since the request arrived, in milliseconds.
	AfterMS float64 `json:"after_ms"`
	Name    string  `json:"name"`
	Peer    string  `json:"peer,omitempty"`
	Detail  string  `json:"detail,omitempty"`
}

// View is the record of one request in the form shown to operators.
type View struct {
	RequestID string    `json:"request_id"`
	Workspace string    `json:"workspace,omitempty"`
	Entry     string    `json:"entry,omitempty"`
	Class     string    `json:"class,omitempty"`
	Arrived   time.Time `json:"arrived"`
	Steps     []Step    `json:"steps"`
	Outcome   string    `json:"outcome"`
}

// Record collects the steps of one request. It is safe for concurrent use.
type Record struct {
	mu   sync.Mutex
	view View
}

// Describe sets the workspace, entry and class of the request.
func (r *Record) Describe(workspace, entry, class string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.Workspace, r.view.Entry, r.view.Class = workspace, entry, class
}

// Step adds a decision. Steps beyond maxSteps are dropped.
func (r *Record) Step(name, peer, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.view.Steps) < maxSteps {
		after := float64(time.Since(r.view.Arrived).Microseconds()) / 1000
		r.view.Steps = append(r.view.Steps, Step{AfterMS: after, Name: name, Peer: peer, Detail: detail})
	}
}

// Finish sets the outcome.
func (r *Record) Finish(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.Outcome = outcome
}

// View returns a copy of the record.
func (r *Record) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.view
	v.Steps = append([]Step(nil), v.Steps...)
	return v
}

// Log keeps the records of the most recent requests.
type Log struct{ records *lru.Cache[string, *Record] }

// NewLog returns a log of at most n records.
func NewLog(n int) *Log {
	records, err := lru.New[string, *Record](max(n, 1))
	if err != nil {
		panic(err) // only a size below 1 is an error
	}
	return &Log{records: records}
}

// Start begins the record of a request.
func (l *Log) Start(requestID string) *Record {
	r := &Record{view: View{RequestID: requestID, Arrived: time.Now(), Outcome: "in progress"}}
	l.records.Add(requestID, r)
	return r
}

// Find returns the record of a request and whether it is still kept.
func (l *Log) Find(requestID string) (View, bool) {
	r, ok := l.records.Get(requestID)
	if !ok {
		return View{}, false
	}
	return r.View(), true
}
