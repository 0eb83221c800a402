package membership

import "context"

// MaxConfirmationAge is the bound, for the tests of package membership_test.
const MaxConfirmationAge = maxConfirmationAge

// ExchangeOnce exchanges with the first seed.
func (g *Gossiper) ExchangeOnce(ctx context.Context) { g.exchange(ctx, g.opt.Seeds[0]) }
