package health

import "sync"

// Budget bounds the retries that failures of each backend server may cause, so
// that a failing fleet does not get more load than a healthy one.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	reserve float64
	left    map[string]float64
}

// budgetCapFactor bounds what successes can save up, in multiples of the reserve.
const budgetCapFactor = 10

// NewBudget allows ratio retries for each success and reserve retries without any.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, left: make(map[string]float64)}
}

// Success adds to the budget of a backend server.
func (b *Budget) Success(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left[name] = min(b.of(name)+b.ratio, b.reserve*budgetCapFactor)
}

// Allow takes one retry from the budget of the backend server that failed.
func (b *Budget) Allow(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.of(name)
	if left < 1 {
		return false
	}
	b.left[name] = left - 1
	return true
}

func (b *Budget) of(name string) float64 {
	if left, ok := b.left[name]; ok {
		return left
	}
	return b.reserve
}
