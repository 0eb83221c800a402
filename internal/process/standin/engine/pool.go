package engine

// kvPool counts the blocks of the KV cache. It does not know who holds them.
type kvPool struct {
	blockTokens int
	capacity    int
	used        int
}

func newKVPool(capacityTokens, blockTokens int) *kvPool {
	return &kvPool{blockTokens: blockTokens, capacity: capacityTokens / blockTokens}
}

// blocksFor returns the number of blocks that hold the given number of tokens.
func (p *kvPool) blocksFor(tokens int) int {
	return (tokens + p.blockTokens - 1) / p.blockTokens
}

// fits reports whether a single sequence of this many tokens can ever be held.
func (p *kvPool) fits(tokens int) bool { return p.blocksFor(tokens) <= p.capacity }

// take reserves n blocks, or none if fewer are free.
func (p *kvPool) take(n int) bool {
	if p.used+n > p.capacity {
		return false
	}
	p.used += n
	return true
}

// release returns n blocks.
func (p *kvPool) release(n int) {
	if n > p.used {
		panic("engine: more KV blocks released than taken")
	}
	p.used -= n
}

// usedTokens returns the size of the blocks in use in tokens.
func (p *kvPool) usedTokens() int { return p.used * p.blockTokens }
