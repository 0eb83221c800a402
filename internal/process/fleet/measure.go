package fleet

import (
	"context"
	"net/http"

	platformclient "persimmonwing/internal/connection/platform"
	"persimmonwing/internal/process/standin/platform"
	"persimmonwing/internal/version/revision"
)

// PlatformCounters returns the platform's counters of calls since the start.
func (f *Fleet) PlatformCounters() platform.Counters { return f.platform.Counters() }

// Edit stores the catalogue as the revision after base.
func (f *Fleet) Edit(ctx context.Context, base int64, catalogue []byte) error {
	url := "http://" + f.platformServer.address
	table := platformclient.NewTable(url, f.http, controlTimeout)
	objects := platformclient.NewObjects(url+objectsPath, f.http, controlTimeout)
	_, err := revision.NewEditor(table, objects).Apply(ctx, base, catalogue, "fleet", "next revision")
	return err
}

// LowestRevision returns the lowest current catalogue revision of any gateway.
func (f *Fleet) LowestRevision(ctx context.Context) (int64, error) {
	lowest := int64(-1)
	for _, h := range f.gateways {
		s, err := f.status(ctx, h)
		if err != nil {
			return 0, err
		}
		if lowest < 0 || s.Revision < lowest {
			lowest = s.Revision
		}
	}
	return lowest, nil
}

// PeerBytes returns the number of bytes that gateways have sent to and received
// from each other, summed over all gateways. It lags by up to a second.
func (f *Fleet) PeerBytes(ctx context.Context) (int64, error) {
	sum := int64(0)
	for _, h := range f.gateways {
		var m struct {
			In  struct{ Value int64 } `json:"peer_bytes_in"`
			Out struct{ Value int64 } `json:"peer_bytes_out"`
		}
		if err := f.call(ctx, http.MethodGet, "http://"+h.opts.AdminListen+"/metrics", nil, &m); err != nil {
			return 0, err
		}
		sum += m.In.Value + m.Out.Value
	}
	return sum, nil
}
