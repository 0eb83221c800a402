package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/process/fleet"
	"persimmonwing/internal/request/api"
)

func newLines(r io.Reader) *bufio.Scanner { return bufio.NewScanner(r) }

const allEvents = math.MaxInt

// checkWhole checks that got contains every event of one generation exactly once, in
// order and with one response id. The generation has the given marker and number of
// tokens.
func checkWhole(t *testing.T, got []api.Event, marker string, want int) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(got), want+2)
	is.Equal(got[0].Type, api.EventCreated)
	is.Equal(got[want+1].Type, api.EventCompleted)
	is.Equal(got[0].Response.ID, got[want+1].Response.ID)
	engineID, _, _ := strings.Cut(got[1].Delta, "|")
	for i, e := range got {
		is.Equal(e.SequenceNumber, int64(i))
		if e.Type == api.EventDelta {
			is.Equal(e.Delta, fmt.Sprintf("%s|%s|%d ", engineID, marker, i-1))
		}
	}
}

// Guards against tokens that are lost, repeated or of another generation when a stream
// is resumed at another gateway after the first one was killed, and against two
// workspaces with equal prompts that can read each other's streams.
func TestResumeAtAnotherGateway(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := smallFleet(t, func(o *fleet.Options) { o.Forwarders = true })
	targets := f.Targets()

	// Two workspaces with equal prompts get separate generations.
	const same = "#id=same #tokens=150"
	var ids, engineIDs []string
	for _, key := range []string{keyA, keyB} {
		resp := call(t, http.MethodPost, targets[0]+"/v1/responses", key, planBody(same))
		got := events(resp.Body, allEvents)
		_ = resp.Body.Close()
		checkWhole(t, got, "same", 150)
		ids = append(ids, got[0].Response.ID)
		engineIDs = append(engineIDs, strings.Split(got[1].Delta, "|")[0])
	}
	is.True(engineIDs[0] != engineIDs[1])
	stolen := call(t, http.MethodGet, targets[1]+"/v1/responses/"+ids[0]+"?stream=true", keyB, "")
	is.Equal(stolen.StatusCode, http.StatusNotFound)
	_ = stolen.Body.Close()

	// A finished stream can be read again at the other gateway.
	resp := call(t, http.MethodGet, targets[1]+"/v1/responses/"+ids[0]+"?stream=true", keyA, "")
	again := events(resp.Body, allEvents)
	_ = resp.Body.Close()
	checkWhole(t, again, "same", 150)
	is.Equal(again[0].Response.ID, ids[0])

	// The first gateway is killed in the middle of a stream.
	resp = call(t, http.MethodPost, targets[0]+"/v1/responses", keyA, planBody("#id=joint #tokens=150"))
	got := events(resp.Body, 40)
	is.NoErr(f.KillGateway(0))
	_ = resp.Body.Close()
	url := fmt.Sprintf("%s/v1/responses/%s?stream=true&starting_after=%d", targets[1], got[0].Response.ID, got[len(got)-1].SequenceNumber)
	resp = call(t, http.MethodGet, url, keyA, "")
	is.Equal(resp.StatusCode, http.StatusOK)
	got = append(got, events(resp.Body, allEvents)...)
	_ = resp.Body.Close()
	checkWhole(t, got, "joint", 150)
	is.Equal(f.Runs(t.Context())["joint"], 1) // one generation only
}
