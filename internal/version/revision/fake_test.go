package revision

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"persimmonwing/internal/connection/platform"
)

// TestMain fixes the seed, so that every run has the same result. The flag -rapid.seed
// still overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var errDown = errors.New("platform down")

// fault is the failure injected into one write.
type fault int

const (
	none fault = iota
	dropped
	responseLost
	late // takes effect 700 ms after its response was lost
)

// fakePlatform is a table and an object store in memory.
type fakePlatform struct {
	mu           sync.Mutex
	rows         map[string]platform.Row
	objects      map[string][]byte
	lastRevision int64
	down         bool
	// nextFault returns the fault of the next write of a key.
	nextFault func(key string) fault
	// afterWrite is called after a write took effect.
	afterWrite func(key string)
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{
		rows: map[string]platform.Row{}, objects: map[string][]byte{},
		nextFault: func(string) fault { return none }, afterWrite: func(string) {},
	}
}

func (f *fakePlatform) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakePlatform) Get(_ context.Context, key string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.Row{}, errDown
	}
	row, ok := f.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

func (f *fakePlatform) Txn(_ context.Context, ops []platform.CondPut) ([]platform.PutResult, error) {
	f.mu.Lock()
	if f.down {
		f.mu.Unlock()
		return nil, errDown
	}
	what := f.nextFault(ops[0].Key)
	f.mu.Unlock()
	switch what {
	case dropped:
		return nil, errors.New("connection reset")
	case late:
		time.AfterFunc(700*time.Millisecond, func() { f.apply(ops) })
		return nil, errors.New("timeout")
	}
	results := f.apply(ops)
	f.afterWrite(ops[0].Key)
	if what == responseLost {
		return nil, errors.New("connection reset")
	}
	return results, nil
}

func (f *fakePlatform) apply(ops []platform.CondPut) []platform.PutResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []platform.PutResult
	for _, op := range ops {
		row := f.rows[op.Key]
		applied := row.Revision == op.IfRevision
		if applied {
			f.lastRevision++
			row = platform.Row{Key: op.Key, Value: op.Value, Revision: f.lastRevision}
			f.rows[op.Key] = row
		}
		out = append(out, platform.PutResult{Applied: applied, Row: row})
	}
	return out
}

// fakeObjects is the object store of a fakePlatform.
type fakeObjects struct{ *fakePlatform }

func (f fakeObjects) Put(_ context.Context, _, key string, body []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errDown
	}
	if _, ok := f.objects[key]; ok {
		return platform.ErrExists
	}
	f.objects[key] = body
	return nil
}

func (f fakeObjects) Get(_ context.Context, _, key string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errDown
	}
	body, ok := f.objects[key]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return body, nil
}

func (f *fakePlatform) editor() *Editor { return NewEditor(f, fakeObjects{f}) }

// body returns a valid catalogue body that is different for each n.
func body(n int) []byte {
	return []byte(fmt.Sprintf("workspaces:\n  - name: one\n    weight: %d\n    key_digests: [sha256:%s]\n", n+1, strings.Repeat("0", 64)))
}
