package gateway

import (
	"context"

	"persimmonwing/internal/connection/engine"
	"persimmonwing/internal/connection/service"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/relay"
	"persimmonwing/internal/version/revision"
)

// catalogueServiceName is the name under which peers fetch revisions.
const catalogueServiceName = "Catalogue"

// FetchArgs asks for a catalogue revision above Known.
type FetchArgs struct{ Known int64 }

// FetchReply holds a newer revision if Newer is set.
type FetchReply struct {
	Newer    bool
	Revision revision.Revision
	Body     []byte
}

// catalogueService serves the revision in force to peers.
type catalogueService struct{ holder *revision.Holder }

// Fetch implements the net/rpc method Catalogue.Fetch.
func (s *catalogueService) Fetch(args *FetchArgs, reply *FetchReply) error {
	reply.Revision, reply.Body, reply.Newer = s.holder.Newer(args.Known)
	return nil
}

// cataloguePeer is another gateway as a source of revisions.
type cataloguePeer struct {
	address string
	caller  membership.Caller
}

// Name implements revision.Peer; peers are told apart by address.
func (p cataloguePeer) Name() string { return p.address }

// FetchNewer implements revision.Peer.
func (p cataloguePeer) FetchNewer(ctx context.Context, known int64) (revision.Revision, []byte, bool, error) {
	var reply FetchReply
	err := p.caller.Call(ctx, p.address, catalogueServiceName+".Fetch", &FetchArgs{Known: known}, &reply)
	return reply.Revision, reply.Body, reply.Newer, err
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

// asSource keeps a nil stream from becoming a non-nil interface.
func asSource(s *engine.Stream, err error) (relay.Source, error) {
	if err != nil {
		return nil, err
	}
	return s, nil
}

// prober asks application servers whether they take new work.
type prober struct{ client *service.Client }

// Ready implements membership.Prober.
func (p prober) Ready(ctx context.Context, b membership.Backend) (bool, error) {
	report, err := p.client.Load(ctx, b.Name, b.Address)
	return err == nil && !report.Draining, err
}
