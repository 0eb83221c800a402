package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"persimmonwing/internal/process/daemon/crowdtest"
	"persimmonwing/internal/process/fleet"
	"persimmonwing/internal/process/gateway"
	"persimmonwing/internal/process/ports"
)

const (
	// crowdMemory is the memory that a gateway may take with a crowd, and crowdDescriptors the descriptors.
	crowdMemory, crowdDescriptors = 160 << 20, 230
	// crowdMemoryMB is the memory of the host.
	crowdMemoryMB = 200
	// crowdDescriptorLimit is what the process may open.
	crowdDescriptorLimit = 256
	crowdBody            = 4 << 20
)

// startCrowdGateway adds a gateway with a process of its own to a fleet.
func startCrowdGateway(t *testing.T) (*crowdtest.Process, string) {
	t.Helper()
	is := is.New(t)
	var of *gateway.Options
	smallFleet(t, func(o *fleet.Options) { o.Adjust = func(g *gateway.Options) { of = g } })
	addresses, err := ports.Reserve(3)
	is.NoErr(err)
	t.Cleanup(func() { _ = addresses.Release() })
	o := *of
	o.Name = "gateway-crowd"
	o.Listen, o.AdminListen, o.PeerListen = addresses.Addresses[0], addresses.Addresses[1], addresses.Addresses[2]
	o.HTTP.MaxBodyBytes, o.HTTP.MaxHeaderBytes, o.MemoryMB = crowdBody, 64<<10, crowdMemoryMB
	raw, err := yaml.Marshal(&o)
	is.NoErr(err)
	p := crowdtest.Start(t, "persimmonwing/cmd/gateway", raw, o.Listen, "http://"+o.AdminListen+"/readyz", crowdDescriptorLimit)
	return p, fmt.Sprintf("POST /v1/services/booking HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer %s\r\nIdempotency-Key: crowd\r\n", keyA)
}

// withstand gathers a crowd and checks the process, and that one ordinary request with a body is served
// while the crowd stays.
func withstand(t *testing.T, callers int, send crowdtest.Caller) {
	t.Helper()
	is := is.New(t)
	p, head := startCrowdGateway(t)
	p.Gather(t, callers, head, send)
	r, err := http.NewRequest(http.MethodPost, "http://"+p.Callers+"/v1/services/booking", strings.NewReader(strings.Repeat("x", 2<<20)))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+keyA)
	r.Header.Set("Idempotency-Key", "ordinary")
	client := &http.Client{Transport: &http.Transport{}, Timeout: crowdtest.Patience}
	resp, err := client.Do(r)
	if err != nil {
		t.Errorf("ordinary request: %v", err)
	} else {
		_ = resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	p.Check(crowdMemory, crowdDescriptors)
}

// Guards against announced bodies that stop short of their end and fill the memory of the process.
func TestCrowdOfUnfinishedBodies(t *testing.T) {
	withstand(t, 100, crowdtest.UnfinishedBody(crowdBody))
}

// Guards against large chunks without an end that fill the memory of the process.
func TestCrowdOfUnfinishedLargeChunks(t *testing.T) {
	withstand(t, 100, crowdtest.UnfinishedChunks(crowdBody, 1<<20-1))
}

// Guards against chunks of a byte without an end that fill the memory of the process.
func TestCrowdOfUnfinishedTinyChunks(t *testing.T) {
	withstand(t, 200, crowdtest.UnfinishedChunks(1<<20, 1))
}

// Guards against bodies far over the limit that are read although they are refused.
func TestCrowdOfAnnouncedBodiesOverTheLimit(t *testing.T) {
	withstand(t, 100, crowdtest.EndlessBody(1<<30))
}

// Guards against chunked bodies far over the limit that fill the memory of the process.
func TestCrowdOfChunkedBodiesOverTheLimit(t *testing.T) {
	withstand(t, 100, crowdtest.EndlessBody(0))
}

// Guards against heads without an end whose short fields take many times their size.
func TestCrowdOfHalfHeads(t *testing.T) {
	withstand(t, 200, crowdtest.HalfHead(60<<10))
}

// Guards against connections without a request that take all descriptors.
func TestCrowdOfConnections(t *testing.T) {
	withstand(t, 400, crowdtest.Silent)
}
