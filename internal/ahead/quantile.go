package ahead

// Quantile estimates a quantile of a stream of positive samples, without keeping them. It follows
// changes of the stream within some tens of samples.
type Quantile struct {
	share float64
	value float64
}

// quantileStep is the largest relative change of the estimate by one sample.
const quantileStep = 0.1

// NewQuantile returns an estimate of the quantile below which a share of the samples lies, with a
// first guess.
func NewQuantile(share, guess float64) Quantile { return Quantile{share, guess} }

// Value returns the estimate.
func (q Quantile) Value() float64 { return q.value }

// Add adds a sample.
func (q *Quantile) Add(sample float64) {
	// The steps up and down balance if the share of samples below the value is q.share.
	up, down := quantileStep*q.share, quantileStep*(1-q.share)
	if most := max(up, down); most > 0 {
		up, down = float64(up/most)*quantileStep, float64(down/most)*quantileStep
	}
	if sample > q.value {
		q.value *= 1 + up
	} else {
		q.value /= 1 + down
	}
}
