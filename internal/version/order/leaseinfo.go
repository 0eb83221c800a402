package order

import (
	"context"

	"github.com/rotisserie/eris"

	"persimmonwing/internal/connection/platform"
)

// LeaseInfo is the lease of a data centre as stored in the table.
type LeaseInfo struct {
	DataCentre string `json:"data_centre"`
	// Holder is empty after a release.
	Holder string `json:"holder"`
	// HolderDataCentre is the data centre of the holder. It differs from DataCentre
	// while a controller of another data centre holds the lease.
	HolderDataCentre string `json:"holder_data_centre"`
	Fencing          int64  `json:"fencing"`
	// Renewals increases every 3 s while the holder runs.
	Renewals int64 `json:"renewals"`
}

// RowReader reads rows of the table.
type RowReader interface {
	Get(ctx context.Context, key string) (platform.Row, error)
}

// ReadLease returns the lease of a data centre. The error wraps platform.ErrNotFound if
// no controller has acquired it yet.
func ReadLease(ctx context.Context, t RowReader, dataCentre string) (LeaseInfo, error) {
	row, err := t.Get(ctx, leaseKey(dataCentre))
	if err != nil {
		return LeaseInfo{}, eris.Wrapf(err, "read lease of %s", dataCentre)
	}
	v, err := decodeLease(row.Value)
	if err != nil {
		return LeaseInfo{}, eris.Wrapf(err, "lease of %s is not readable", dataCentre)
	}
	return LeaseInfo{
		DataCentre: dataCentre, Holder: v.Holder, HolderDataCentre: v.DataCentre,
		Fencing: v.Fencing, Renewals: v.Renewals,
	}, nil
}
