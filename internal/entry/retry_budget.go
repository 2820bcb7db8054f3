package entry

const (
	retriesPerRequest = 0.1
	maxRetryTokens    = 10
)

// retryBudget is a token bucket that limits retries to a share of all requests, so
// that retries can't overload the workers. Each retry takes a token.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() retryBudget {
	return retryBudget{tokens: maxRetryTokens}
}

func (b *retryBudget) addRequest() {
	b.tokens = min(b.tokens+retriesPerRequest, maxRetryTokens)
}

func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
