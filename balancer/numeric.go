package balancer

import "math"

// Hashes, the seeded random source, means and fits.

// splitmix is the finalizer of splitmix64, used as a hash.
func splitmix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// random draws from 0 up to 1, by xorshift64.
func (b *Balancer) random() float64 {
	b.rng ^= b.rng << 13
	b.rng ^= b.rng >> 7
	b.rng ^= b.rng << 17
	return unitFloat(b.rng)
}

// unitFloat maps a hash to a number from 0 up to 1.
func unitFloat(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// updateMean moves a slow average by a sample. It starts from the first sample.
func updateMean(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += learnRate * (sample - *mean)
}

// boolToFloat is 1 for true, 0 for false.
func boolToFloat(v bool) float64 {
	if v {
		return 1
	}
	return 0
}

// linearFit is a decaying least-squares line, by the sums over its points.
type linearFit struct{ n, x, y, xx, xy float64 }

// minFitPoints is the number of points from which a linearFit has values.
const minFitPoints = 4

// add adds a point and lets the earlier ones decay.
func (f *linearFit) add(x, y float64) {
	const keep = 1 - learnRate/4
	f.n, f.x, f.y = f.n*keep+1, f.x*keep+x, f.y*keep+y
	f.xx, f.xy = f.xx*keep+x*x, f.xy*keep+x*y
}

// predict is the line's value at x, no less than half the mean; 0 without enough points.
func (f *linearFit) predict(x float64) float64 {
	if f.n < minFitPoints {
		return 0
	}
	return math.Max(f.y/f.n/2, f.y/f.n+f.slope()*(x-f.x/f.n))
}

// mean is the mean of y; 0 without enough points.
func (f *linearFit) mean() float64 {
	if f.n < minFitPoints {
		return 0
	}
	return f.y / f.n
}

// slope is the line's slope, 0 or more.
func (f *linearFit) slope() float64 {
	meanY, meanX := f.y/f.n, f.x/f.n
	if variance := f.xx/f.n - meanX*meanX; variance > 1 {
		return math.Max(0, (f.xy/f.n-meanX*meanY)/variance)
	}
	return 0
}

// logSteps is the number of packLog's steps for each doubling: steps of 6 percent.
const logSteps = 12

// packLog packs a value from 0 to 2^21 on a log scale; unpackLog unpacks it.
func packLog(v float64) byte {
	return byte(math.Min(math.MaxUint8, math.Round(logSteps*math.Log2(1+v))))
}

// unpackLog unpacks a value that packLog has packed.
func unpackLog(c byte) float64 { return math.Exp2(float64(c)/logSteps) - 1 }
