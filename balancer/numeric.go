package balancer

// Numbers: hashes, the seeded random source, means and fits. No decision
// stands here.

import "math"

// splitmix is the finalizer of splitmix64, used as a hash.
func splitmix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (b *Balancer) random() float64 {
	b.rng ^= b.rng << 13
	b.rng ^= b.rng >> 7
	b.rng ^= b.rng << 17
	return float64(b.rng>>11) / (1 << 53)
}

func updateMean(m *float64, v float64) {
	if *m == 0 {
		*m = v
	}
	*m += learnRate * (v - *m)
}

// boolToFloat is 1 for true.
func boolToFloat(v bool) float64 {
	if v {
		return 1
	}
	return 0
}

func unitFloat(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// linearFit is a fading least-squares line.
type linearFit struct{ n, x, y, xx, xy float64 }

func (f *linearFit) add(x, y float64) {
	const keep = 1 - learnRate/4
	f.n, f.x, f.y = f.n*keep+1, f.x*keep+x, f.y*keep+y
	f.xx, f.xy = f.xx*keep+x*x, f.xy*keep+x*y
}

// predict is the line's value, no less than half the mean; 0 before it has points.
func (f *linearFit) predict(x float64) float64 {
	if f.n < 4 {
		return 0
	}
	return math.Max(f.y/f.n/2, f.y/f.n+f.slope()*(x-f.x/f.n))
}

// mean is the mean of what was added; 0 before the line has points.
func (f *linearFit) mean() float64 {
	if f.n < 4 {
		return 0
	}
	return f.y / f.n
}

// slope is the line's slope, 0 or more.
func (f *linearFit) slope() float64 {
	my, mx := f.y/f.n, f.x/f.n
	if v := f.xx/f.n - mx*mx; v > 1 {
		return math.Max(0, (f.xy/f.n-mx*my)/v)
	}
	return 0
}

// packLog packs a value from 0 to 2^21 in steps of 6 percent; unpackLog unpacks it.

func packLog(v float64) byte { return byte(math.Min(255, math.Round(12*math.Log2(1+v)))) }

func unpackLog(c byte) float64 { return math.Exp2(float64(c)/12) - 1 }
