package capacity

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// Guards against a value at the target that doesn't follow from the points, and
// against a cost over its budget that is reported as ok.
func TestFitAndVerdict(t *testing.T) {
	is := is.New(t)
	l := line{points: []point{{1, 5}, {2, 7}, {4, 11}}, target: 100}
	slope, offset := fitLine(l.points)
	is.True(math.Abs(slope-2) < 1e-9 && math.Abs(offset-3) < 1e-9)
	is.True(math.Abs(l.atTarget()-203) < 1e-6)
	l.target = 4
	is.Equal(l.atTarget(), 11.0)
	is.Equal(verdict(2, 1), "OVER")
	is.Equal(verdict(1, 1), "ok")
	is.Equal(verdict(1, 0), "part")
}
