package owner

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
)

// Guards against a line about a lost engine that doesn't tell the requests without an event
// from the others, or that doesn't name the part that they share.
func TestLossLogNamesSharedParts(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	m := New(Options{View: peersView{}, Logger: log.NewLogfmtLogger(&out)})
	add := func(id, engine, incarnation string, generated int, parts ...uint64) {
		r := schedule.Request{ID: id, Fingerprint: 0xabc, PartHashes: parts}
		m.addHeld(r, nil, AcquireReply{Grant: schedule.Grant{ID: id, Backend: engine}, Incarnation: incarnation}, "g1")
		m.held[id].Generated = generated
	}
	add("old", "e", "1", 0, 0x1, 0x2)
	add("second", "e", "2", 0, 0x4, 0x2)
	add("first", "e", "2", 0, 0x3, 0x2)
	add("running", "e", "2", 40, 0x5)
	add("elsewhere", "f", "2", 0, 0x6)
	m.logLoss("e", "2", 3)
	for _, want := range []string{"engine=e", "incarnation=2", "with_events=1", "without_events=2", "ids=first,second", "fingerprints=abc,abc", "parts=2:2,3:1,4:1\n"} {
		is.True(strings.Contains(out.String(), want)) // want
	}
}

// Guards against a line that grows with the number of requests and parts.
func TestLossLogIsBounded(t *testing.T) {
	is := is.New(t)
	var all []schedule.Held
	for i := range 500 {
		all = append(all, schedule.Held{Grant: schedule.Grant{ID: fmt.Sprint("request-", i)}, Request: schedule.Request{PartHashes: []uint64{uint64(2 * i), uint64(2*i + 1)}}})
	}
	ids, fingerprints, parts := describeRequests(all)
	is.Equal(len(strings.Split(ids, ",")), maxLoggedRequests)
	is.Equal(len(strings.Split(fingerprints, ",")), maxLoggedRequests)
	is.Equal(len(strings.Split(parts, ",")), maxLoggedParts)
}

// Guards against suspects that never ran on a lost engine: requests whose grant still awaits
// its confirmation.
func TestUnconfirmedGrantsDoNotRun(t *testing.T) {
	is := is.New(t)
	m := New(Options{View: peersView{}, Policy: PolicyShared, Logger: log.NewNopLogger()})
	now := time.Now()
	k := schedule.GroupKey{Model: "m", DataCentre: "a"}
	group := schedule.NewGroup(k, schedule.Options{Owner: "g1", Policy: schedule.PolicyShared, NoBatchBound: true, NoMemoryAdmission: true})
	r := newRunner(k, "g1", group, m.guard.check)
	r.confirm = func(*runner, pendingGrant) {} // no answer
	m.runners[k] = r
	r.setReplicas(now, []schedule.Replica{{Name: "e", MaxBatch: 4, KVCapacityTokens: 1000, Accepting: true}})
	r.enqueue(now, schedule.Request{ID: "r1", Fingerprint: 7, PromptTokens: 10, MaxOutputTokens: 10}, 1)
	r.dispatch(now)
	is.Equal(len(r.grants), 1)
	is.Equal(len(m.runningOn("e", "")), 0)
	m.addHeld(schedule.Request{ID: "r1", Fingerprint: 7}, nil, AcquireReply{Grant: r.grants["r1"].grant}, "g1")
	is.Equal(m.runningOn("e", ""), []uint64{7})
}

// Guards against a gateway that crashes because an engine leaves the list at the moment at which
// its first report is assumed.
func TestReportOfAnEngineThatHasLeft(t *testing.T) {
	m := New(Options{View: peersView{}, Logger: log.NewNopLogger()})
	m.applyReport("gone", api.LoadReport{Name: "gone", Incarnation: "1"})
	is.New(t).Equal(len(m.engines), 0)
}

// Guards against refusing calls and moves because engines were lost to which generations without a
// fingerprint had moved: all requests without one would count as the same, suspect request.
func TestRequestsWithoutFingerprintAreNoSuspects(t *testing.T) {
	is := is.New(t)
	m := New(Options{View: peersView{}, Logger: log.NewNopLogger()})
	for i, engine := range []string{"e", "f", "g"} {
		id := fmt.Sprint("moved-", i)
		m.addHeld(schedule.Request{ID: id}, nil, AcquireReply{Grant: schedule.Grant{ID: id, Backend: engine}, Incarnation: "1"}, "g1")
		m.engineLost(engine, "1")
	}
	m.guard.merge(crashguard.Report{Loss: crashguard.Loss{Engine: "h", Incarnation: "1"}, Fingerprints: []uint64{0}, Refused: []uint64{0}}) // of an older build
	_, err := m.AdmitCall(t.Context(), crashguard.Call{ID: "c", Service: "s", Part: 1})
	is.NoErr(err)
	is.Equal(m.guard.check(&schedule.Request{ID: "another move"}), crashguard.Clear)
}
