package gateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"

	"github.com/rotisserie/eris"

	"persimmonwing/internal/connection/engine"
	"persimmonwing/internal/connection/service"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/relay"
	"persimmonwing/internal/version/revision"
)

// catalogueServiceName is the net/rpc service name from which peers fetch catalogue
// revisions.
const catalogueServiceName = "Catalogue"

// FetchArgs requests a catalogue revision newer than Known.
type FetchArgs struct{ Known int64 }

// FetchReply contains the current revision if Newer is set.
type FetchReply struct {
	Newer    bool
	Revision revision.Revision
	// Body is compressed with gzip: uncompressed, 1,200 edits a day of 280 KB each
	// would cost a gateway 7 KB/s on average.
	Body []byte
}

// maxFetchedBody is the maximum size of a decompressed body, in bytes.
const maxFetchedBody = 64 << 20

// catalogueService serves the current revision to peers.
type catalogueService struct{ holder *revision.Holder }

// Fetch implements the net/rpc method Catalogue.Fetch.
func (s *catalogueService) Fetch(args *FetchArgs, reply *FetchReply) error {
	number, body, newer := s.holder.Newer(args.Known)
	if !newer {
		return nil
	}
	packed, err := compress(body)
	if err != nil {
		return err
	}
	reply.Revision, reply.Body, reply.Newer = number, packed, true
	return nil
}

func compress(body []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(body); err != nil {
		return nil, eris.Wrap(err, "compress catalogue")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress catalogue")
	}
	return b.Bytes(), nil
}

// decompress checks only the size of the body. Its content is verified against the
// digest of the revision before it is used.
func decompress(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(err, "decompress catalogue")
	}
	body, err := io.ReadAll(io.LimitReader(r, maxFetchedBody+1))
	if err == nil && len(body) > maxFetchedBody {
		err = eris.Errorf("body is larger than %d bytes", maxFetchedBody)
	}
	return body, eris.Wrap(err, "decompress catalogue")
}

// cataloguePeer fetches catalogue revisions from another gateway.
type cataloguePeer struct {
	address string
	caller  membership.Caller
}

// Name implements revision.Peer. Peers are identified by address.
func (p cataloguePeer) Name() string { return p.address }

// FetchNewer implements revision.Peer.
func (p cataloguePeer) FetchNewer(ctx context.Context, known int64) (revision.Revision, []byte, bool, error) {
	var reply FetchReply
	err := p.caller.Call(ctx, p.address, catalogueServiceName+".Fetch", &FetchArgs{Known: known}, &reply)
	if err != nil || !reply.Newer {
		return revision.Revision{}, nil, false, err
	}
	body, err := decompress(reply.Body)
	if err != nil {
		return revision.Revision{}, nil, false, err
	}
	return reply.Revision, body, true, nil
}

// engineClient adapts the engine client to the Engines interface.
type engineClient struct{ *engine.Client }

// Create implements Engines.
func (c engineClient) Create(ctx context.Context, name, address string, r api.CreateRequest) (relay.Source, error) {
	return asSource(c.Client.Create(ctx, name, address, r))
}

// Resume implements Engines.
func (c engineClient) Resume(ctx context.Context, name, address, id string, after int64) (relay.Source, error) {
	return asSource(c.Client.Resume(ctx, name, address, id, after))
}

// asSource converts a stream to a relay.Source. On error it returns a nil interface,
// as a nil *engine.Stream would make a non-nil one.
func asSource(s *engine.Stream, err error) (relay.Source, error) {
	if err != nil {
		return nil, err
	}
	return s, nil
}

// freshBackends lists application servers. After a pause of this process, it first
// waits for the membership view to be refreshed; see Gossiper.AwaitFresh.
type freshBackends struct{ *membership.Gossiper }

// Services implements Backends.
func (b freshBackends) Services(service string) []membership.Backend {
	b.AwaitFresh()
	return b.Gossiper.Services(service)
}

// prober checks whether application servers accept new work.
type prober struct{ client *service.Client }

// Ready implements membership.Prober.
func (p prober) Ready(ctx context.Context, b membership.Backend) (bool, error) {
	report, err := p.client.Load(ctx, b.Name, b.Address)
	return err == nil && !report.Draining, err
}
