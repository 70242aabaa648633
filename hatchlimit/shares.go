package hatchlimit

// fairLevel returns the level at which the shares, cut off at it, add up to the total:
// weighted max-min fairness with equal weights. Whoever asks for less than the level gets
// all of it. It returns the largest share if all of them fit.
func fairLevel(shares []float64, total float64) float64 {
	level, rest, left := 0.0, total, len(shares)
	// The shares are in descending order, so that the smallest are served first.
	for i := len(shares) - 1; i >= 0; i-- {
		if each := rest / float64(left); shares[i] >= each {
			return each
		}
		rest -= shares[i]
		left--
		level = shares[i]
	}
	return level
}

// fillRanks returns the share of each rank's work that is admitted if the given share of
// all work is: the most urgent rank first, but of each rank at least the floor.
func fillRanks(work []float64, admitted, floor float64) []float64 {
	total := 0.0
	for _, rank := range work {
		total += rank
	}
	shares := make([]float64, len(work))
	left := admitted*total - floor*total
	for rank, offered := range work {
		if offered <= 0 {
			shares[rank] = 1
			continue
		}
		extra := min(max(left/offered, 0), 1-floor)
		shares[rank] = floor + extra
		left -= extra * offered
	}
	return shares
}
