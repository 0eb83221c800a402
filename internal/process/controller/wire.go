package controller

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/connection/engine"
	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/version/order"
	"persimmonwing/internal/version/revision"
)

// Deps are the systems that a controller works with.
type Deps struct {
	Catalogue order.Catalogue
	// CatalogueSince is that of order.Options.
	CatalogueSince func(time.Time) bool
	Table          order.Table
	Hosts          order.HostList
	Engines        order.Engines
	// Lease is changed by tests only.
	Lease order.LeaseOptions
}

// standbyHeadPeriod is the time between two polls of the catalogue's head by a
// controller without a lease, which only keeps ready. With a lease it polls
// every second, and it acts after the first poll only.
const standbyHeadPeriod = time.Minute

// connect returns the real systems and the syncer that keeps the catalogue;
// active tells whether this controller has a lease.
func connect(o *Options, active func() bool, logger log.Logger) (Deps, *revision.Syncer) {
	c := &http.Client{Transport: engine.NewTransport()}
	table := platform.NewTable(o.Platform.TableURL, c, o.Platform.Timeout)
	holder := new(revision.Holder)
	syncer := revision.NewSyncer(revision.SyncerConfig{
		Holder: holder,
		Source: revision.Store{Table: table, Objects: platform.NewObjects(o.Platform.ObjectURL, c, o.Platform.Timeout)},
		Peers:  func() []revision.Peer { return nil },
		// Controllers do not gossip.
		Poller:         active,
		MaxUnconfirmed: standbyHeadPeriod,
		Logger:         logging.Part(logger, "catalogue"),
		Rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	lease := order.DefaultLeaseOptions(o.Name, o.DataCentre)
	lease.Logger = logging.Part(logger, "lease")
	lease.CallTimeout = o.Platform.Timeout
	return Deps{
		Catalogue:      holder,
		CatalogueSince: syncer.PolledSince,
		Table:          table,
		Hosts:          platform.NewHostList(o.Platform.HostsURL, &http.Client{Transport: platform.Compressed(engine.NewTransport())}, o.Platform.Timeout),
		Engines:        engine.New(&http.Client{Transport: engine.NewTransport()}),
		Lease:          lease,
	}, syncer
}
