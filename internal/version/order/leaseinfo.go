package order

import (
	"context"

	"github.com/rotisserie/eris"

	"persimmonwing/internal/connection/platform"
)

// LeaseInfo is the lease of a data centre as the table shows it.
type LeaseInfo struct {
	DataCentre string `json:"data_centre"`
	// Holder is empty after a release.
	Holder string `json:"holder"`
	// HolderDataCentre is another one while a controller of it stands in.
	HolderDataCentre string `json:"holder_data_centre"`
	Fencing          int64  `json:"fencing"`
	// Renewals grows every 3 s while the holder runs.
	Renewals int64 `json:"renewals"`
}

// RowReader reads rows of the table.
type RowReader interface {
	Get(ctx context.Context, key string) (platform.Row, error)
}

// ReadLease reads the lease of a data centre. It returns platform.ErrNotFound if
// no controller has taken it yet.
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
