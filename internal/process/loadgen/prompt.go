package loadgen

import (
	"fmt"
	"strconv"
	"strings"
)

// bytesPerToken is the number of bytes of prompt text that count as one token.
const bytesPerToken = 4

// prompt builds the input of a generation: the common prefix, the markers with the id
// and the number of output tokens, tail, and filler up to the prompt's length. The id
// makes the text after the prefix unique, so that it is never served from a cache.
func prompt(id string, a arrival, prefixTokens int, tail string) string {
	var b strings.Builder
	size := a.prompt * bytesPerToken
	b.Grow(size + prefixTokens*bytesPerToken)
	if a.prefix >= 0 {
		fill(&b, "common text "+strconv.Itoa(a.prefix)+" ", min(size, prefixTokens*bytesPerToken))
	}
	fmt.Fprintf(&b, "#id=%s #tokens=%d %s ", id, a.output, tail)
	fill(&b, "text of "+id+" ", size)
	return b.String()
}

// fill appends word repeatedly until the text is size bytes long.
func fill(b *strings.Builder, word string, size int) {
	for b.Len() < size {
		b.WriteString(word[:min(len(word), size-b.Len())])
	}
}
