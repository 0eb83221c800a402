package loadgen

import (
	"fmt"
	"strconv"
	"strings"
)

// bytesPerToken is the length of prompt text that counts as one token.
const bytesPerToken = 4

// prompt builds the input of a generation. The common prefix comes first; the
// id then makes the rest of the text unique, so that it is never cached.
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

// fill repeats word until the text has the given length in bytes.
func fill(b *strings.Builder, word string, size int) {
	for b.Len() < size {
		b.WriteString(word[:min(len(word), size-b.Len())])
	}
}
