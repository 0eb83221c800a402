package platform_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/connection/platform/platformtest"
	standin "persimmonwing/internal/process/standin/platform"
)

const timeout = time.Second

type table interface {
	Get(ctx context.Context, key string) (platform.Row, error)
	List(ctx context.Context, prefix string, limit int) ([]platform.Row, error)
	Keys(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error)
	Txn(ctx context.Context, ops []platform.CondPut) ([]platform.PutResult, error)
}

func start(t *testing.T, change func(*standin.Settings)) (*standin.Server, string) {
	s := standin.DefaultSettings()
	change(s)
	if err := s.Validate(); err != nil {
		t.Fatal(err)
	}
	srv := standin.New(s)
	h := httptest.NewServer(srv)
	t.Cleanup(h.Close)
	return srv, h.URL
}

func defaults(*standin.Settings) {}

// Guards against differences in conditions, results or order of rows between the in-memory fake and
// the client with the stand-in server. The test runs the same operations on each of them and on a
// model.
func TestTableContract(t *testing.T) {
	_, url := start(t, defaults)
	tables := map[string]table{
		"fake": &platformtest.Table{},
		"http": platform.NewTable(url, http.DefaultClient, timeout),
	}
	for name, tab := range tables {
		t.Run(name, func(t *testing.T) {
			run := 0
			rapid.Check(t, func(rt *rapid.T) {
				run++
				checkTable(rt, tab, fmt.Sprintf("run%d/", run))
			})
		})
	}
}

func checkTable(t *rapid.T, tab table, prefix string) {
	model := map[string]platform.Row{}
	keys := []string{prefix + "a", prefix + "b/ä", prefix + "c"}
	for range rapid.IntRange(1, 6).Draw(t, "steps") {
		n := rapid.IntRange(1, len(keys)).Draw(t, "rows")
		ops := make([]platform.CondPut, 0, n)
		for _, key := range rapid.Permutation(keys).Draw(t, "keys")[:n] {
			op := platform.CondPut{Key: key, IfRevision: model[key].Revision}
			op.Value = rapid.SliceOfN(rapid.Byte(), 1, 4).Draw(t, "value")
			op.Delete = rapid.IntRange(0, 4).Draw(t, "delete") == 0
			if rapid.IntRange(0, 2).Draw(t, "stale") == 0 {
				op.IfRevision = rapid.SampledFrom([]int64{0, 1 << 40}).Draw(t, "revision")
			}
			ops = append(ops, op)
		}
		results, err := tab.Txn(t.Context(), ops)
		if err != nil {
			t.Fatal(err)
		}
		for i, op := range ops {
			updateModel(t, model, op, results[i])
		}
		compareRows(t, tab, model, prefix)
	}
}

func updateModel(t *rapid.T, model map[string]platform.Row, op platform.CondPut, got platform.PutResult) {
	before := model[op.Key]
	before.Key = op.Key
	if op.IfRevision != before.Revision {
		if diff := cmp.Diff(platform.PutResult{Row: before}, got); diff != "" {
			t.Fatalf("refused write: %s", diff)
		}
		return
	}
	if op.Delete {
		delete(model, op.Key)
		if !got.Applied || got.Row.Revision != 0 {
			t.Fatalf("delete: %+v", got)
		}
		return
	}
	if !got.Applied || got.Row.Revision <= before.Revision || !bytes.Equal(got.Row.Value, op.Value) {
		t.Fatalf("write: %+v", got)
	}
	model[op.Key] = got.Row
}

func compareRows(t *rapid.T, tab table, model map[string]platform.Row, prefix string) {
	rows, err := tab.List(t.Context(), prefix, 0)
	if err != nil || len(rows) != len(model) {
		t.Fatalf("list: %d rows, want %d, err %v", len(rows), len(model), err)
	}
	for i, row := range rows {
		if diff := cmp.Diff(model[row.Key], row); diff != "" || i > 0 && rows[i-1].Key >= row.Key {
			t.Fatalf("list: %s", diff)
		}
	}
	first, err := tab.List(t.Context(), prefix, 1)
	if err != nil || len(first) != min(1, len(model)) {
		t.Fatalf("list with limit: %d rows, err %v", len(first), err)
	}
	after := prefix
	for i := 0; i < len(rows); i += 2 {
		page, err := tab.Keys(t.Context(), prefix, after, 2)
		if err != nil || len(page) != min(2, len(rows)-i) {
			t.Fatalf("keys after %q: %d rows, err %v", after, len(page), err)
		}
		for j, row := range page {
			if row.Key != rows[i+j].Key || row.Revision != rows[i+j].Revision || len(row.Value) > 0 {
				t.Fatalf("keys after %q: %+v", after, row)
			}
			after = row.Key
		}
	}
	_, err = tab.Get(t.Context(), prefix+"none")
	if !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("get of a missing row: %v", err)
	}
}

// Guards against ErrNotApplied for a write that may have taken effect. TestCertainRefusals guards
// against the reverse, ErrUnknownOutcome for a write that was certainly refused.
func TestOutcomeOfFailedWrites(t *testing.T) {
	cases := map[string]struct {
		faults  standin.Faults
		outcome error
		applied bool
	}{
		"lost answer": {standin.Faults{LoseAnswers: 1}, platform.ErrUnknownOutcome, true},
		"outage":      {standin.Faults{Outage: true}, platform.ErrUnknownOutcome, false},
		"hang":        {standin.Faults{Hang: true}, platform.ErrUnknownOutcome, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv, url := start(t, defaults)
			tab := platform.NewTable(url, &http.Client{}, 50*time.Millisecond)
			srv.SetFaults(c.faults)
			_, err := tab.Txn(t.Context(), []platform.CondPut{{Key: "k", Value: []byte("v")}})
			is.True(errors.Is(err, c.outcome))
			srv.SetFaults(standin.Faults{})
			_, err = platform.NewTable(url, http.DefaultClient, timeout).Get(t.Context(), "k")
			is.Equal(errors.Is(err, platform.ErrNotFound), !c.applied)
		})
	}
}

// Guards against a stand-in that performs each write in the order in which it was sent: one without an answer may take effect after
// later ones, if its condition still holds.
func TestLateWrites(t *testing.T) {
	const late = 500 * time.Millisecond
	is := is.New(t)
	srv, url := start(t, defaults)
	tab := platform.NewTable(url, http.DefaultClient, timeout)
	srv.SetFaults(standin.Faults{LoseAnswers: 2, LateMS: int(late.Milliseconds())})
	for _, key := range []string{"taken", "free"} {
		_, err := tab.Txn(t.Context(), []platform.CondPut{{Key: key, Value: []byte("late")}})
		is.True(errors.Is(err, platform.ErrUnknownOutcome))
		_, err = tab.Get(t.Context(), key)
		is.True(errors.Is(err, platform.ErrNotFound))
	}
	_, err := tab.Txn(t.Context(), []platform.CondPut{{Key: "taken", Value: []byte("in time")}})
	is.NoErr(err)
	for deadline := time.Now().Add(10 * late); time.Now().Before(deadline); time.Sleep(late / 20) {
		if _, err := tab.Get(t.Context(), "free"); err == nil {
			break
		}
	}
	for key, want := range map[string]string{"taken": "in time", "free": "late"} {
		row, err := tab.Get(t.Context(), key)
		is.NoErr(err)
		is.Equal(string(row.Value), want)
	}
}

// Guards against ErrUnknownOutcome for calls that certainly had no effect: a refused connection, a
// rate limit and an invalid transaction, which is not sent.
func TestCertainRefusals(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	op := platform.CondPut{Key: "k"}
	closed := platform.NewTable("http://"+ln.Addr().String(), &http.Client{}, timeout)
	_, err = closed.Txn(t.Context(), []platform.CondPut{op})
	is.True(errors.Is(err, platform.ErrNotApplied))
	srv, url := start(t, func(s *standin.Settings) { s.WritesPerSecond = 0.1 })
	tab := platform.NewTable(url, http.DefaultClient, timeout)
	_, err = tab.Txn(t.Context(), []platform.CondPut{op, op})
	is.True(errors.Is(err, platform.ErrDuplicateKey) && errors.Is(err, platform.ErrNotApplied))
	_, err = tab.Txn(t.Context(), []platform.CondPut{op})
	is.NoErr(err)
	_, err = tab.Txn(t.Context(), []platform.CondPut{op})
	var e *platform.Error
	is.True(errors.As(err, &e) && errors.Is(err, platform.ErrNotApplied))
	is.Equal(e.RetryAfter, 10*time.Second)
	is.Equal(e.Step, "table.txn")
	is.Equal(srv.Counters(), standin.Counters{Writes: 1, Throttled: 1, MaxWritesPerSecond: 1})
}

// Guards against a put that overwrites an object.
func TestObjects(t *testing.T) {
	is := is.New(t)
	_, url := start(t, defaults)
	o := platform.NewObjects(url+"/objects", http.DefaultClient, timeout)
	_, err := o.Get(t.Context(), "cat", "a/b c")
	is.True(errors.Is(err, platform.ErrNotFound))
	is.NoErr(o.Put(t.Context(), "cat", "a/b c", []byte("one")))
	is.Equal(o.Put(t.Context(), "cat", "a/b c", []byte("two")), platform.ErrExists)
	body, err := o.Get(t.Context(), "cat", "a/b c")
	is.NoErr(err)
	is.Equal(string(body), "one")
}

// Guards against a stand-in host list that ignores its configured lag or freeze, and against a lost
// Retry-After of the weight store's rate limit.
func TestHostsAndWeights(t *testing.T) {
	is := is.New(t)
	srv, url := start(t, func(s *standin.Settings) {
		s.WeightsPerSecond = 0.5
		s.HostListLag = 50 * time.Millisecond
		s.Hosts = []standin.Host{{Name: "h1", Kind: "app", Address: "127.0.0.1:1", Service: "seats"}}
	})
	l := platform.NewHostList(url, http.DefaultClient, timeout)
	read := func() platform.HostState {
		hosts, err := l.Hosts(t.Context())
		is.NoErr(err)
		return hosts[0].State
	}
	setLeaving := func() {
		body := bytes.NewBufferString(`{"state":"leaving"}`)
		req, err := http.NewRequest(http.MethodPut, url+"/control/hosts/h1/state", body)
		is.NoErr(err)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		resp.Body.Close()
	}
	read()
	is.Equal(read(), platform.HostLive) // the list is unchanged, so the response is 304
	srv.SetFaults(standin.Faults{HostListFrozen: true})
	setLeaving()
	time.Sleep(60 * time.Millisecond)
	is.Equal(read(), platform.HostLive)
	srv.SetFaults(standin.Faults{})
	is.Equal(read(), platform.HostLeaving)

	w := platform.NewWeights(url, http.DefaultClient, timeout)
	var buf bytes.Buffer
	is.NoErr(w.Fetch(t.Context(), &buf, "plum", 100_000))
	is.Equal(buf.Len(), 100_000)
	var e *platform.Error
	is.True(errors.As(w.Fetch(t.Context(), &buf, "plum", 1), &e))
	is.Equal(e.RetryAfter, 2*time.Second)
}
