package controller

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/connection/engine"
	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/version/order"
	"persimmonwing/internal/version/revision"
)

// Deps are the external systems that a controller uses.
type Deps struct {
	Catalogue order.Catalogue
	// CatalogueCheckedSince is passed to order.Options.CatalogueCheckedSince.
	CatalogueCheckedSince func(time.Time) bool
	Table                 order.Table
	Hosts                 order.HostList
	Engines               order.Engines
	// Lease is the template for the leases of all data centres. Only tests deviate
	// from the defaults.
	Lease order.LeaseOptions
}

// standbyHeadPeriod is the interval at which a controller without a lease polls the
// catalogue head, just to stay ready. With a lease it polls every second, and it
// sends orders only after the first of these polls.
const standbyHeadPeriod = time.Minute

// connect returns clients of the real systems, and the syncer that keeps the
// catalogue up to date while it runs. active reports whether this controller has a
// lease.
func connect(o *Options, active func() bool, logger log.Logger) (Deps, *revision.Syncer) {
	c := &http.Client{Transport: engine.NewTransport()}
	table := platform.NewTable(o.Platform.TableURL, c, o.Platform.Timeout)
	holder := new(revision.Holder)
	syncer := revision.NewSyncer(revision.SyncerConfig{
		Holder: holder,
		Source: revision.Store{Table: table, Objects: platform.NewObjects(o.Platform.ObjectURL, c, o.Platform.Timeout)},
		Peers:  func() []revision.Peer { return nil },
		// Controllers don't take part in gossip, so their catalogue is confirmed by
		// polls only.
		Poller:         active,
		MaxUnconfirmed: standbyHeadPeriod,
		Logger:         logging.Part(logger, "catalogue"),
		Rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	lease := order.DefaultLeaseOptions(o.Name, o.DataCentre)
	lease.Logger = logging.Part(logger, "lease")
	lease.CallTimeout = o.Platform.Timeout
	hosts := platform.NewHostList(o.Platform.HostsURL, &http.Client{Transport: platform.EnableCompression(engine.NewTransport())}, o.Platform.Timeout)
	hosts.ObserveInvalid(func(err error) {
		_ = level.Warn(logging.Part(logger, "hosts")).Log("msg", "ignoring invalid host", "err", err)
	})
	return Deps{
		Catalogue:             holder,
		CatalogueCheckedSince: syncer.PolledSince,
		Table:                 table,
		Hosts:                 hosts,
		Engines:               engine.New(&http.Client{Transport: engine.NewTransport()}),
		Lease:                 lease,
	}, syncer
}
