package revision

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/version/catalogue"
)

func apply(e *Editor, base int64, n int) (Accepted, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return e.Apply(ctx, base, body(n), "ann", fmt.Sprintf("edit %d", n))
}

// Guards against two concurrent edits that are both reported as accepted, and against a
// conflict error that does not list the changes.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	f := newFakePlatform()
	_, err := apply(f.editor(), 0, 0)
	is.NoErr(err)
	errs := make([]error, 8)
	var wg sync.WaitGroup
	for i := range errs {
		wg.Go(func() { _, errs[i] = apply(f.editor(), 1, i+1) })
	}
	wg.Wait()
	accepted := 0
	for _, err := range errs {
		if err == nil {
			accepted++
			continue
		}
		var c *ConflictError
		is.True(errors.As(err, &c))
		is.Equal(c.Current.Number, int64(2))
		is.Equal(len(c.Changes), 1)
		is.Equal(c.Changes[0].Field, "weight")
		is.True(strings.Contains(err.Error(), "~ workspace one weight: 1 -> "))
	}
	is.Equal(accepted, 1)
}

// Guards against an edit that returns a wrong result after a fault of the platform.
func TestEditFaults(t *testing.T) {
	// onHead injects a fault into the n-th write of the head.
	onHead := func(n int, what fault) func(f *fakePlatform) {
		return func(f *fakePlatform) {
			f.nextFault = func(key string) fault {
				if key != HeadKey {
					return none
				}
				if n--; n == 0 {
					return what
				}
				return none
			}
		}
	}
	isAs := func(target any) func(error) bool { return func(err error) bool { return errors.As(err, target) } }
	accepted := func(err error) bool { return err == nil }
	cases := map[string]struct {
		prepare func(f *fakePlatform)
		want    func(error) bool
		head    int64
	}{
		"answer lost after the effect":  {onHead(1, responseLost), accepted, 2},
		"write lost":                    {onHead(1, dropped), accepted, 2},
		"late effect of the first copy": {onHead(1, late), accepted, 2},
		"every head write lost": {func(f *fakePlatform) {
			f.nextFault = func(key string) fault { return map[bool]fault{true: dropped}[key == HeadKey] }
		}, isAs(new(*UnresolvedError)), 1},
		"answer lost, then two other edits": {func(f *fakePlatform) {
			onHead(1, responseLost)(f)
			once := sync.OnceFunc(func() {
				for base := int64(2); base < 4; base++ {
					if _, err := apply(f.editor(), base, int(base)*10); err != nil {
						panic(err)
					}
				}
			})
			f.afterWrite = func(key string) {
				if key == HeadKey {
					f.afterWrite = func(string) {}
					once()
				}
			}
		}, accepted, 4},
		"down before the edit": {func(f *fakePlatform) { f.down = true }, isAs(new(*NotAcceptedError)), 1},
		"down right after the effect": {func(f *fakePlatform) {
			onHead(1, responseLost)(f)
			f.afterWrite = func(key string) { f.setDown(key == HeadKey) }
		}, isAs(new(*UnresolvedError)), 2},
		"history row fails": {func(f *fakePlatform) {
			f.nextFault = func(key string) fault { return map[bool]fault{true: dropped}[key == HistoryKey(2)] }
		}, accepted, 2},
		"damaged body": {func(f *fakePlatform) { f.objects[catalogue.Digest(body(1))] = []byte("damaged") }, isAs(new(*NotAcceptedError)), 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakePlatform()
				e := f.editor()
				_, err := apply(e, 0, 0)
				is.NoErr(err)
				c.prepare(f)
				_, err = apply(e, 1, 1)
				if !c.want(err) {
					t.Fatalf("unexpected result: %v", err)
				}
				time.Sleep(time.Second)
				f.setDown(false)
				f.nextFault, f.afterWrite = func(string) fault { return none }, func(string) {}
				head, headErr := e.Head(t.Context())
				is.NoErr(headErr)
				is.Equal(head.Number, c.head)
				var unresolved *UnresolvedError
				if errors.As(err, &unresolved) {
					a, err := e.Resume(t.Context(), unresolved)
					is.NoErr(err)
					is.Equal(a.Revision.Number, int64(2))
					head = a.Revision
				}
				_, err = apply(e, head.Number, 99)
				is.NoErr(err)
				list, err := e.History(t.Context(), 10)
				is.NoErr(err) // a missing history row is repaired by the next edit
				is.Equal(len(list), int(head.Number)+1)
				if unresolved != nil {
					a, err := e.Resume(t.Context(), unresolved)
					is.NoErr(err) // found in the history
					is.Equal(a.Revision.Nonce, list[1].Nonce)
				}
			})
		})
	}
}

// Guards against an edit that is reported as accepted but is missing from the history,
// and against one that is reported as not accepted but is in the history, under any
// faults of the writes.
func TestEditOutcomeProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]fault{none, none, dropped, responseLost, late}), 60, 60).Draw(rt, "faults")
		var problem string
		synctest.Test(t, func(*testing.T) { problem = editOutcomes(faults) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// editOutcomes runs three editors concurrently under faults and compares their results
// with the history.
func editOutcomes(faults []fault) (problem string) {
	f := newFakePlatform()
	f.nextFault = func(string) (what fault) {
		if len(faults) > 0 {
			what, faults = faults[0], faults[1:]
		}
		return what
	}
	var mu sync.Mutex
	results := map[string]error{}
	var wg sync.WaitGroup
	for editor := range 3 {
		wg.Go(func() {
			for i := range 4 {
				head, _ := f.editor().Head(context.Background())
				n := 10*editor + i
				_, err := apply(f.editor(), head.Number, n)
				mu.Lock()
				results[fmt.Sprintf("edit %d", n)] = err
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	list, err := f.editor().History(context.Background(), 100)
	if err != nil {
		return err.Error()
	}
	inHistory := map[string]bool{}
	for i, r := range list {
		inHistory[r.Message] = true
		if want := int64(len(list) - i); r.Number != want {
			return fmt.Sprintf("revision %d at the place of %d", r.Number, want)
		}
	}
	for message, err := range results {
		var unresolved *UnresolvedError
		if !errors.As(err, &unresolved) && inHistory[message] != (err == nil) {
			return fmt.Sprintf("%s: result %v, in the history: %v", message, err, inHistory[message])
		}
	}
	return ""
}

// Guards against an edit whose write was lost and that overwrites the edit of another
// operator when it is resumed.
func TestResumeAfterAnotherEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakePlatform()
		f.nextFault = func(string) fault { return dropped }
		_, err := apply(f.editor(), 0, 0)
		var unresolved *UnresolvedError
		is.True(errors.As(err, &unresolved))
		is.True(strings.Contains(err.Error(), "may have been accepted as revision 1"))
		f.nextFault = func(string) fault { return none }
		_, err = apply(f.editor(), 0, 1)
		is.NoErr(err)
		_, err = f.editor().Resume(t.Context(), unresolved)
		var c *ConflictError
		is.True(errors.As(err, &c))
	})
}

// Guards against a rollback that lowers the revision number instead of creating a new
// revision, and against an invalid body that is written to the platform.
func TestRollbackAndRefusals(t *testing.T) {
	is := is.New(t)
	f := newFakePlatform()
	e := f.editor()
	_, _, err := e.Get(t.Context(), 0)
	is.True(errors.Is(err, platform.ErrNotFound))
	for n := range 3 {
		_, err = apply(e, int64(n), n)
		is.NoErr(err)
	}
	a, err := e.Rollback(t.Context(), 3, 1, "ann", "")
	is.NoErr(err)
	is.Equal(a.Revision.Number, int64(4))
	r, got, err := e.Get(t.Context(), 4)
	is.NoErr(err)
	is.Equal(string(got), string(body(0)))
	is.Equal(r.Message, "rollback to revision 1")
	_, _, err = e.Get(t.Context(), 9)
	is.True(errors.Is(err, platform.ErrNotFound))
	_, err = e.Apply(t.Context(), 4, []byte("workspaces: []"), "ann", "m")
	var invalid *catalogue.InvalidError
	is.True(errors.As(err, &invalid))
	_, err = e.Apply(t.Context(), 4, body(7), "ann", " ")
	is.True(err != nil)
}
