package order

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/platform"
)

// oneRow is a table with a single row.
type oneRow platform.Row

func (r oneRow) Get(_ context.Context, key string) (platform.Row, error) {
	if key != r.Key {
		return platform.Row{}, platform.ErrNotFound
	}
	return platform.Row(r), nil
}

// Guards against showing operators a different holder than the one that the controllers
// read.
func TestReadLease(t *testing.T) {
	is := is.New(t)
	value, err := encodeLease(leaseValue{Holder: "c2", DataCentre: "burnie", Fencing: 7, Renewals: 3})
	is.NoErr(err)
	row := oneRow{Key: leaseKey("hobart"), Value: value}
	got, err := ReadLease(t.Context(), row, "hobart")
	is.NoErr(err)
	is.Equal(got, LeaseInfo{DataCentre: "hobart", Holder: "c2", HolderDataCentre: "burnie", Fencing: 7, Renewals: 3})
	_, err = ReadLease(t.Context(), row, "burnie")
	is.True(errors.Is(err, platform.ErrNotFound))
	_, err = ReadLease(t.Context(), oneRow{Key: row.Key, Value: []byte("x")}, "hobart")
	is.True(err != nil)
}
