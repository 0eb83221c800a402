package membership

import "context"

// MaxConfirmationAge exports maxConfirmationAge to package membership_test.
const MaxConfirmationAge = maxConfirmationAge

// ExchangeOnce performs one exchange with the first seed.
func (g *Gossiper) ExchangeOnce(ctx context.Context) { g.exchange(ctx, g.opt.Seeds[0]) }
