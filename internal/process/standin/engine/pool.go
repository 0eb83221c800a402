package engine

// kvPool counts the free and reserved blocks of the KV cache. It does not track
// which sequence has reserved them.
type kvPool struct {
	blockTokens int
	capacity    int
	used        int
}

func newKVPool(capacityTokens, blockTokens int) *kvPool {
	return &kvPool{blockTokens: blockTokens, capacity: capacityTokens / blockTokens}
}

// blocksFor returns the number of blocks needed for the given number of tokens.
func (p *kvPool) blocksFor(tokens int) int {
	return (tokens + p.blockTokens - 1) / p.blockTokens
}

// fits reports whether a sequence of this many tokens fits into an empty pool.
func (p *kvPool) fits(tokens int) bool { return p.blocksFor(tokens) <= p.capacity }

// reserve reserves n blocks. If fewer are free, it reserves none and returns
// false.
func (p *kvPool) reserve(n int) bool {
	if p.used+n > p.capacity {
		return false
	}
	p.used += n
	return true
}

// release frees n reserved blocks.
func (p *kvPool) release(n int) {
	if n > p.used {
		panic("engine: more KV blocks released than reserved")
	}
	p.used -= n
}

// usedTokens returns the size of the reserved blocks in tokens.
func (p *kvPool) usedTokens() int { return p.used * p.blockTokens }
