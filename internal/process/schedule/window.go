package schedule

import (
	"time"

	"persimmonwing/internal/version/catalogue"
)

const (
	windowSlices = 20
	sliceLength  = 500 * time.Millisecond
)

// window is a sliding window that sums the granted work of the last 10 s in slices of
// 500 ms.
type window struct {
	slices [windowSlices]windowSlice
	total  windowSlice
	head   int64
	first  time.Time
}

// windowSlice holds, by class, the tokens that count towards the background floor and
// the number of all grants.
type windowSlice struct {
	tokens [2]float64
	grants [2]int
}

// advance moves the window to now and clears the slices that are no longer in it.
func (w *window) advance(now time.Time) {
	if w.first.IsZero() {
		w.first = now
	}
	head := now.UnixNano() / int64(sliceLength)
	if head <= w.head {
		return
	}
	for i := max(w.head+1, head-windowSlices+1); i <= head; i++ {
		w.slices[i%windowSlices] = windowSlice{}
	}
	w.head = head
	w.total = windowSlice{}
	for i := range w.slices {
		for c := range 2 {
			w.total.tokens[c] += w.slices[i].tokens[c]
			w.total.grants[c] += w.slices[i].grants[c]
		}
	}
}

// add records a grant. Its tokens count towards the background floor if counted is set.
func (w *window) add(now time.Time, class catalogue.Class, tokens float64, counted bool) {
	w.advance(now)
	c := classIndex(class)
	slice := &w.slices[w.head%windowSlices]
	slice.grants[c]++
	w.total.grants[c]++
	if counted {
		slice.tokens[c] += tokens
		w.total.tokens[c] += tokens
	}
}

// tokens returns the counted tokens of urgent and background work.
func (w *window) tokens(now time.Time) (urgent, background float64) {
	w.advance(now)
	return w.total.tokens[0], w.total.tokens[1]
}

// rates returns the grants per second of urgent and background work.
func (w *window) rates(now time.Time) (urgent, background float64) {
	w.advance(now)
	span := min(now.Sub(w.first), windowSlices*sliceLength)
	seconds := max(span, sliceLength).Seconds()
	return float64(w.total.grants[0]) / seconds, float64(w.total.grants[1]) / seconds
}
