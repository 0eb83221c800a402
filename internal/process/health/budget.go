package health

import "sync"

// Budget limits the retries caused by failures of each backend server, so that retries
// don't put more load on a failing fleet than on a healthy one. It is safe for
// concurrent use.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	reserve float64
	left    map[string]float64
}

// budgetCapFactor limits the retries that successes can accumulate, as a multiple of
// the reserve.
const budgetCapFactor = 10

// NewBudget returns a budget that starts with reserve retries for each backend server
// and adds ratio retries for each success.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, left: make(map[string]float64)}
}

// Success adds to a backend server's budget after a successful call.
func (b *Budget) Success(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left[name] = min(b.balance(name)+b.ratio, b.reserve*budgetCapFactor)
}

// Allow consumes one retry from the budget of the backend server that failed. It
// returns false if the budget is used up.
func (b *Budget) Allow(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.balance(name)
	if left < 1 {
		return false
	}
	b.left[name] = left - 1
	return true
}

func (b *Budget) balance(name string) float64 {
	if left, ok := b.left[name]; ok {
		return left
	}
	return b.reserve
}
