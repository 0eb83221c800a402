package controller

import (
	"math/rand/v2"
	"net/http"

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
	Table     order.Table
	Hosts     order.HostList
	Engines   order.Engines
	// Lease is changed by tests only.
	Lease order.LeaseOptions
}

// connect returns the real systems and the syncer that keeps the catalogue.
func connect(o *Options, logger log.Logger) (Deps, *revision.Syncer) {
	c := &http.Client{Transport: engine.NewTransport()}
	table := platform.NewTable(o.Platform.TableURL, c, o.Platform.Timeout)
	holder := new(revision.Holder)
	syncer := revision.NewSyncer(revision.SyncerConfig{
		Holder: holder,
		Source: revision.Store{Table: table, Objects: platform.NewObjects(o.Platform.ObjectURL, c, o.Platform.Timeout)},
		Peers:  func() []revision.Peer { return nil },
		// Controllers do not gossip and are few, so each polls the head.
		Poller: func() bool { return true },
		Logger: logging.Part(logger, "catalogue"),
		Rand:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	lease := order.DefaultLeaseOptions(o.Name, o.DataCentre)
	lease.Logger = logging.Part(logger, "lease")
	lease.CallTimeout = o.Platform.Timeout
	return Deps{
		Catalogue: holder,
		Table:     table,
		Hosts:     platform.NewHostList(o.Platform.HostsURL, &http.Client{Transport: platform.Compressed(engine.NewTransport())}, o.Platform.Timeout),
		Engines:   engine.New(&http.Client{Transport: engine.NewTransport()}),
		Lease:     lease,
	}, syncer
}
