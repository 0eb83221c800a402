package owner

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"persimmonwing/internal/process/schedule"
)

// Guards against a line about a lost engine that doesn't tell the requests without an event
// from the others, or that doesn't name the part that they share.
func TestLossLogNamesSharedParts(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	m := New(Options{View: peersView{}, Logger: log.NewLogfmtLogger(&out)})
	add := func(id, engine, incarnation string, generated int, parts ...uint64) {
		r := schedule.Request{ID: id, Fingerprint: 0xabc, PartHashes: parts}
		m.addHeld(r, AcquireReply{Grant: schedule.Grant{ID: id, Backend: engine}, Incarnation: incarnation}, "g1")
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
