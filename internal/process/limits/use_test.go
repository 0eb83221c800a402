package limits

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/version/catalogue"
)

// Guards against reported rates that are inaccurate, lag half a minute behind the load
// or persist after the load has ended.
func TestUseFollowsTheRate(t *testing.T) {
	is := is.New(t)
	w, e := scope(catalogue.Limits{RequestsPerSecond: 100})
	l := New()
	is.Equal(l.Use(start, "w"), Use{})
	now := start
	for range 30 * 20 {
		lease, err := l.Acquire(now, w, e)
		is.True(err == nil)
		lease.Tokens(now, 50)
		lease.Release()
		now = now.Add(50 * time.Millisecond)
	}
	lease, err := l.Acquire(now, w, e)
	is.True(err == nil)
	got := l.Use(now, "w")
	is.True(math.Abs(got.RequestsPerSecond-20) < 1)
	is.True(math.Abs(got.TokensPerSecond-1000) < 50)
	is.Equal(got.Concurrent, 1)
	lease.Release()
	got = l.Use(now.Add(40*time.Second), "w")
	is.True(got.RequestsPerSecond < 1)
	is.Equal(l.Use(now.Add(time.Hour), "w"), Use{})
}

// Guards against memory that grows with every workspace that was ever in the
// catalogue, and against losing the count of running requests.
func TestRetain(t *testing.T) {
	is := is.New(t)
	w, e := scope(catalogue.Limits{})
	l := New()
	lease, err := l.Acquire(start, w, e)
	is.True(err == nil)
	l.Retain(&catalogue.Catalogue{})
	is.Equal(l.Use(start, "w").Concurrent, 1)
	lease.Release()
	l.Retain(&catalogue.Catalogue{Workspaces: []catalogue.Workspace{*w}})
	is.Equal(len(l.buckets), 1)
	l.Retain(&catalogue.Catalogue{})
	is.Equal(len(l.buckets), 0)
}
