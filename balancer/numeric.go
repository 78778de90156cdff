package balancer

import "math"

// Hash functions, the seeded random source, moving averages and linear fits.

// splitmix hashes x with one step of splitmix64.
func splitmix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// random returns a pseudo-random number in [0, 1), by xorshift64.
func (b *Balancer) random() float64 {
	b.rng ^= b.rng << 13
	b.rng ^= b.rng >> 7
	b.rng ^= b.rng << 17
	return unitFloat(b.rng)
}

// unitFloat maps a hash to a number in [0, 1).
func unitFloat(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// updateMean adds a sample to an exponential moving average with weight learnRate. An
// average of 0 is first set to the sample.
func updateMean(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += learnRate * (sample - *mean)
}

func boolToFloat(v bool) float64 {
	if v {
		return 1
	}
	return 0
}

// linearFit is a least-squares line through points with exponentially decaying weights,
// stored as weighted sums.
type linearFit struct{ n, x, y, xx, xy float64 }

// minFitPoints is the weighted number of points that a linearFit requires.
const minFitPoints = 4

// add adds a point and decays the weights of earlier points.
func (f *linearFit) add(x, y float64) {
	const keep = 1 - learnRate/4
	f.n, f.x, f.y = f.n*keep+1, f.x*keep+x, f.y*keep+y
	f.xx, f.xy = f.xx*keep+x*x, f.xy*keep+x*y
}

// predict returns the line's value at x, at least half the mean of y; 0 without enough
// points.
func (f *linearFit) predict(x float64) float64 {
	if f.n < minFitPoints {
		return 0
	}
	return math.Max(f.y/f.n/2, f.y/f.n+f.slope()*(x-f.x/f.n))
}

// mean returns the weighted mean of y; 0 without enough points.
func (f *linearFit) mean() float64 {
	if f.n < minFitPoints {
		return 0
	}
	return f.y / f.n
}

// slope returns the line's slope, or 0 if it is negative or the x values hardly differ.
func (f *linearFit) slope() float64 {
	meanY, meanX := f.y/f.n, f.x/f.n
	if variance := f.xx/f.n - meanX*meanX; variance > 1 {
		return math.Max(0, (f.xy/f.n-meanX*meanY)/variance)
	}
	return 0
}

// logStepsPerDoubling is the resolution of packLog: 12 steps per doubling are 6 percent each.
const logStepsPerDoubling = 12

// packLog encodes a value from 0 to 2^21 in one byte, on a logarithmic scale.
func packLog(v float64) byte {
	return byte(math.Min(math.MaxUint8, math.Round(logStepsPerDoubling*math.Log2(1+v))))
}

// unpackLog decodes a value encoded by packLog.
func unpackLog(c byte) float64 { return math.Exp2(float64(c)/logStepsPerDoubling) - 1 }
