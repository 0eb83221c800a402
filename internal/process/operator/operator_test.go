package operator

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/process/adminapi"
	"persimmonwing/internal/version/catalogue"
	"persimmonwing/internal/version/revision"
)

// memoryPlatform is an in-memory table and object store. lost is the number of coming
// writes of the head whose responses are lost. outage is the number of coming calls
// that fail; each lost response sets it.
type memoryPlatform struct {
	mu           sync.Mutex
	rows         map[string]platform.Row
	objects      map[string][]byte
	clock        int64
	lost, outage int
}

func (m *memoryPlatform) failDuringOutage() error {
	if m.outage > 0 {
		m.outage--
		return errors.New("platform out")
	}
	return nil
}

func (m *memoryPlatform) Get(_ context.Context, key string) (platform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.failDuringOutage(); err != nil {
		return platform.Row{}, err
	}
	row, ok := m.rows[key]
	if !ok {
		return row, platform.ErrNotFound
	}
	return row, nil
}

func (m *memoryPlatform) Txn(_ context.Context, ops []platform.CondPut) ([]platform.PutResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.failDuringOutage(); err != nil {
		return nil, err
	}
	op := ops[0]
	row := m.rows[op.Key]
	applied := row.Revision == op.IfRevision
	if applied {
		m.clock++
		row = platform.Row{Key: op.Key, Value: op.Value, Revision: m.clock}
		m.rows[op.Key] = row
	}
	if op.Key == revision.HeadKey && m.lost > 0 {
		m.lost--
		m.outage = 4
		return nil, errors.New("connection reset")
	}
	return []platform.PutResult{{Applied: applied, Row: row}}, nil
}

type memoryObjectStore struct{ *memoryPlatform }

func (m memoryObjectStore) Put(_ context.Context, _, key string, body []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects[key] = body
	return nil
}

func (m memoryObjectStore) Get(_ context.Context, _, key string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.objects[key], nil
}

// harness runs command lines against an in-memory platform; input is their standard
// input.
type harness struct {
	*memoryPlatform
	input          string
	stdout, stderr bytes.Buffer
	http           *http.Client
}

func newHarness() *harness {
	return &harness{memoryPlatform: &memoryPlatform{rows: map[string]platform.Row{}, objects: map[string][]byte{}}, http: http.DefaultClient}
}

func (b *harness) run(args ...string) int {
	b.stdout.Reset()
	b.stderr.Reset()
	return Run(context.Background(), Env{
		Stdin: strings.NewReader(b.input), Stdout: &b.stdout, Stderr: &b.stderr, Author: "ann", HTTP: b.http,
		Connect: func(string, string, time.Duration) (revision.Table, revision.Objects, error) {
			return b.memoryPlatform, memoryObjectStore{b.memoryPlatform}, nil
		},
	}, args)
}

const example = "../../../examples/huon-cane.yaml"

// gatewayBackends is the body of a gateway's response to GET /backends.
const gatewayBackends = `[{"name":"engine-1","kind":"engine","data_centre":"hobart","accepting":false,"reason":"resting","models":["guide"],` +
	`"source":"owner","load":{"running":4,"batch_bound":16,"kv_used_tokens":900,"kv_capacity_tokens":20000}}]`

// Guards against a merged line that doesn't come from the owner, a server on which
// the gateways disagree without being marked so, and a mark for a gateway that did
// not respond.
func TestMergeBackends(t *testing.T) {
	is := is.New(t)
	engine := func(s adminapi.Source, r adminapi.Reason) adminapi.Backend {
		return adminapi.Backend{Name: "e", Source: s, Reason: r, Accepting: r == ""}
	}
	lines := mergeBackends([]gatewayResponse[[]adminapi.Backend]{
		{address: "a", value: []adminapi.Backend{engine(adminapi.SourceGossip, "")}},
		{address: "b", value: []adminapi.Backend{engine(adminapi.SourceOwner, adminapi.ReasonUnreachable), {Name: "d", Source: adminapi.SourceGossip, Accepting: true}}},
		{address: "c", value: []adminapi.Backend{engine(adminapi.SourcePoll, adminapi.ReasonUnreachable)}},
		{address: "silent", err: errors.New("timeout")},
	})
	is.Equal(len(lines), 2)
	is.Equal(lines[0].Differs, []string{"a: not known", "c: not known"})
	is.Equal(lines[1].Gateway, "b")
	is.Equal(lines[1].Reason, adminapi.ReasonUnreachable)
	is.Equal(lines[1].Differs, []string{"a: accepting"})
}

// Guards against commands with a wrong exit code or without the expected output, in a
// sequence of commands from the first revision of a catalogue on.
func TestCommands(t *testing.T) {
	gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/status":
			w.Write([]byte(`{"name":"gw1","data_centre":"hobart","revision":7,"ready":true,"live_peers":5,"groups_owned":2,"platform_reachable":true,` +
				`"evacuated":[{"data_centre":"burnie","revision":6,"since":"2026-12-04T10:00:00Z"}]}`))
		case "/backends":
			w.Write([]byte(gatewayBackends))
		case "/usage":
			w.Write([]byte(`[{"workspace":"gone","concurrent":9},{"workspace":"hobart-shop","requests_per_second":4.56,"concurrent":2}]`))
		case "/explain/abc":
			w.Write([]byte("granted e1\n"))
		default:
			http.NotFound(w, r)
		}
	}))
	defer gateway.Close()
	address := strings.TrimPrefix(gateway.URL, "http://")
	without := filepath.Join(t.TempDir(), "without.yaml")
	raw, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	cut := bytes.Index(raw, []byte("  - name: fitting-guide"))
	if err := os.WriteFile(without, raw[:cut], 0o600); err != nil {
		t.Fatal(err)
	}
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	if err := os.WriteFile(bad, []byte("workspaces: []\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	b := newHarness()
	const gatewayLog = "level=info part=request ts=2026-12-04T10:00:00Z process=g1 id=r1 msg=placed backend=i-1\n" +
		"level=warn part=store ts=2026-12-04T10:00:02Z process=g1 msg=\"store lost\" table=op\n" +
		"level=info part=request ts=2026-12-04T10:00:03.5Z process=g1 msg=refused id=r1 status=503\n"
	logFile := filepath.Join(t.TempDir(), "gateway.log")
	if err := os.WriteFile(logFile, []byte(gatewayLog), 0o600); err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		line  string
		input string
		code  int
		want  string
	}{
		{"", "", 2, "a command is needed"},
		{"-nosuch", "", 2, "nosuch"},
		{"frob", "", 2, "command \"frob\" does not exist"},
		{"catalogue frob", "", 2, "command \"catalogue frob\" does not exist"},
		{"drain engine-1", "", 1, "make the first one with"},
		{"-output xml status", "", 2, "use table or json"},
		{"catalogue", "", 2, "validate, diff"},
		{"catalogue validate " + example, "", 0, "valid: 2 models, 10 workspaces, 5 entries"},
		{"catalogue validate " + bad, "", 1, "bad.yaml:1: workspaces: missing or empty"},
		{"catalogue validate nosuch.yaml", "", 2, "nosuch.yaml"},
		{"catalogue get", "", 1, "no revision yet"},
		{"workspaces", "", 1, "no revision yet"},
		{"catalogue diff " + example, "", 0, "+ entry counter-order"},
		{"config check " + example + " -against current", "", 0, "+ entry counter-order"},
		{"catalogue apply " + example, "", 2, "-message is needed"},
		{"catalogue apply " + example + " -message first -author=", "", 2, "-author is needed"},
		{"catalogue apply " + example + " -message first", "", 0, "accepted as revision 1"},
		{"catalogue diff " + example + " -revision 1", "", 0, "no changes"},
		{"catalogue apply " + example + " -message again", "", 0, "no changes: revision 1 has this body"},
		{"catalogue apply " + without + " -message less", "no\n", 1, "- entry fitting-guide"},
		{"catalogue apply " + without + " -message less", "yes\n", 0, "accepted as revision 2"},
		{"catalogue apply " + example + " -message old -base 1", "", 1, "based on revision 1, but the current one is 2 by ann (less)"},
		{"catalogue apply " + example + " -message old -base 1", "", 1, "apply it with -base 2"},
		{"catalogue get -revision 1", "", 0, "fitting-guide"},
		{"config check " + example + " -against 1 -output json", "", 0, `"against": "revision 1",` + "\n  \"findings\": []\n}"},
		{"config check -against current " + example, "", 0, "+ entry fitting-guide"},
		{"config check " + bad + " -against current", "", 1, "error: " + bad + ":1: workspaces"},
		{"config check " + example + " -against 99", "", 1, "revision 99 doesn't exist"},
		{"config check " + example + " -against -1", "", 2, "-against: -1 is not allowed"},
		{"config check " + example + " -against " + without, "", 0, "+ entry fitting-guide"},
		{"catalogue rollback 1", "", 0, "accepted as revision 3"},
		{"catalogue rollback 99 -yes", "", 1, "revision 99 doesn't exist; \"persimmonctl catalogue history\" lists"},
		{"catalogue rollback x", "", 2, "a revision number from 1"},
		{"drain engine-1", "", 0, "accepted as revision 4"},
		{"drain engine-1", "", 0, "no changes: revision 4"},
		{"drain engine-2", "", 1, "more than half of the 3 replicas"},
		{"drain engine-2 -yes", "", 0, "accepted as revision 5"},
		{"undrain engine-1", "", 0, "accepted as revision 6"},
		{"undrain engine-2 -gateways " + address, "", 0, "accepted as revision 7"},
		{"drain engine-1 -gateways " + address, "", 0, "accepted as revision 8"},
		{"undrain engine-1 -gateways " + address, "", 0, "accepted as revision 9"},
		{"drain engine-9 -gateways 127.0.0.1:1," + address, "", 1, "none of the 1 gateways that answered knows a backend server named engine-9"},
		{"drain engine-9 -gateways 127.0.0.1:1", "no\n", 1, "none of the 1 gateways answered, so the name engine-9 was not checked"},
		{"drain engine-9 -gateways " + address, "yes\n", 0, "accepted as revision 10"},
		{"undrain engine-9 -gateways " + address, "", 0, "accepted as revision 11"},
		{"drain", "", 2, "one backend server"},
		{"catalogue history -limit 9", "", 0, "rollback to revision 1\n"},
		{"catalogue history -output json", "", 0, `"revision": 11`},
		{"evacuate hobart", "", 0, "accepted as revision 12"},
		{"evacuate hobart", "", 0, "no changes: revision 12"},
		{"unevacuate hobart -gateways " + address, "", 0, "- evacuated hobart"},
		{"evacuate hobart -gateways " + address, "", 1, "no other backend server that accepts work serves guide"},
		{"evacuate burnie -gateways " + address, "", 1, "none of the 1 gateways that answered knows a backend server in data centre burnie"},
		{"evacuate burnie -gateways 127.0.0.1:1", "", 1, "none of the 1 gateways answered"},
		{"evacuate Not_A_Name", "", 1, "evacuated[0]"},
		{"evacuate", "", 2, "one data centre"},
		{"workspaces", "", 0, "care-guide,letter-sorting"},
		{"status", "", 2, "-gateways must be set"},
		{"status -gateways localhost", "", 2, "use host:port"},
		{"status gw1", "", 2, "takes flags only"},
		{"workspaces all", "", 2, "takes flags only"},
		{"catalogue history all", "", 2, "takes flags only"},
		{"status -gateways " + gateway.URL, "", 0, "gw1"},
		{"-gateways " + address + " status", "", 0, "gw1      hobart       7         true   5           2       true"},
		{"status -gateways " + address + " -output json", "", 0, `"groups_owned": 2`},
		{"-gateways 127.0.0.1:1," + address + " status", "", 1, "1 of 2 gateways didn't answer; check -gateways"},
		{"status -leases -gateways " + address, "", 0, "hobart       -       -                     0        0"},
		{"status -backends -leases -gateways " + address, "", 2, "exclude each other"},
		{"status -backends -evacuations -gateways " + address, "", 2, "exclude each other"},
		{"status -cold -evacuations -gateways " + address, "", 2, "exclude each other"},
		{"status -evacuations -gateways " + address, "", 0, "burnie       gw1      2026-12-04T10:00:00Z  6"},
		{"status -backends -gateways " + address, "", 0, "engine-1  engine  hobart       guide   resting  4        16     900 of 20000"},
		{"status -backends -gateways 127.0.0.1:1," + address, "", 1, "1 of 2 gateways didn't answer; check -gateways"},
		{"workspaces -gateways " + address + "," + address, "", 0, "hobart-shop      1       1     9.1 of 10   0 of unlimited  4 of 40     requests_per_second  "},
		{"workspaces -gateways " + address, "", 0, "hobart-shop      1       1     4.6 of 10   0 of unlimited  2 of 40                 "},
		{"workspaces -gateways " + address + "," + address + " -output json", "", 0, `"near_limits": [`},
		{"workspaces -gateways 127.0.0.1:1," + address, "", 1, "1 of 2 gateways didn't answer"},
		{"-gateways 127.0.0.1:1," + address + " explain abc", "", 0, "granted e1"},
		{"-gateways " + address + " explain xyz", "", 1, "each keeps its latest 2000"},
		{"explain -logs " + logFile + " r1", "", 0, "\n    +2.000s g1 store: store lost table=op\n"},
		{"explain -logs " + logFile + " r1", "", 0, "+3.500s g1 request: refused status=503"},
		{"explain -logs - r1", gatewayLog, 0, "+3.500s g1 request: refused status=503"},
		{"explain -logs " + logFile + " r9", "", 1, "no line of request r9"},
		{"explain -logs " + logFile + ".none r1", "", 1, "no such file"},
		{"explain -logs " + logFile, "", 2, "one request id is needed"},
		{"catalogue get -revision -3", "", 2, "-revision: -3 is not allowed"},
		{"catalogue diff " + example + " -revision -3", "", 2, "-revision: -3 is not allowed"},
		{"completion bash", "", 0, "\" catalogue\") words=\"validate diff apply get history rollback\""},
		{"completion fish", "", 2, "use bash"},
	}
	for _, s := range steps {
		b.input = s.input
		code := b.run(strings.Fields(s.line)...)
		out := b.stdout.String() + b.stderr.String()
		if code != s.code || !strings.Contains(out, s.want) {
			t.Errorf("%q: exit %d, want %d with %q; output:\n%s", s.line, code, s.code, s.want, out)
		}
	}
}

// Guards against an edit whose outcome stays unknown because the response was lost
// and the platform became reachable only after the command's timeout.
func TestLostAnswerResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness()
		b.lost = 1
		code := b.run("-timeout", "60ms", "catalogue", "apply", example, "-message", "first")
		is.Equal(code, 0)
		is.True(strings.Contains(b.stderr.String(), "waiting up to 10m0s"))
		is.True(strings.Contains(b.stdout.String(), "accepted as revision 1"))
		is.Equal(b.clock, int64(2)) // head and history, each written once
	})
}

// Guards against a stored body that can't be replaced because a stricter build
// rejects it as invalid.
func TestInvalidCurrentIsReplaceable(t *testing.T) {
	is := is.New(t)
	b := newHarness()
	is.Equal(b.run("catalogue", "apply", example, "-message", "first"), 0)
	bad := []byte("workspaces: []\n")
	b.objects[catalogue.Digest(bad)] = bad
	row := b.rows[revision.HeadKey]
	row.Value = []byte(`{"revision":1,"digest":"` + catalogue.Digest(bad) + `","nonce":"n"}`)
	b.rows[revision.HeadKey] = row
	is.Equal(b.run("catalogue", "apply", example, "-message", "fix"), 1) // not confirmed
	is.Equal(b.run("catalogue", "apply", example, "-message", "fix", "-yes"), 0)
	is.True(strings.Contains(b.stdout.String(), "accepted as revision 2"))
}

// Guards against a build without the platform's clients, and against missing
// addresses that are reported as a failure of the platform.
func TestConnectNeedsAddresses(t *testing.T) {
	is := is.New(t)
	for _, table := range []string{"", "foo", "127.0.0.1:1", "ftp://127.0.0.1"} {
		_, _, err := connect(table, "http://127.0.0.1:1", time.Second)
		var usage usageError
		is.True(errors.As(err, &usage))
		is.True(strings.Contains(err.Error(), "-table-url"))
	}
}

// Guards against a message about a platform failure that does not name the flags to
// check.
func TestPlatformFailureNamesFlags(t *testing.T) {
	is := is.New(t)
	var stderr bytes.Buffer
	env := Env{Stdin: strings.NewReader(""), Stdout: &stderr, Stderr: &stderr, HTTP: http.DefaultClient, Connect: connect}
	server := httptest.NewServer(http.NotFoundHandler())
	url := server.URL
	server.Close()
	code := Run(t.Context(), env, strings.Fields("catalogue get -timeout 100ms -table-url "+url+" -object-url "+url))
	is.Equal(code, 1)
	is.True(strings.Contains(stderr.String(), "check -table-url and -object-url"))
}
