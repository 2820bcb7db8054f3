package entry

const (
	retryShare   = 0.1 // retries for each first try
	retryReserve = 10  // retries that may be saved up
)

// retryBudget bounds retries to a share of first tries, so that retries can't
// become a flood of their own.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() retryBudget {
	return retryBudget{tokens: retryReserve}
}

func (b *retryBudget) firstTry() {
	b.tokens = min(b.tokens+retryShare, retryReserve)
}

func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
