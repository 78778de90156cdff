package subset

// mix64 is the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashString returns the FNV-1a hash of a text, finalized by mix64.
func hashString(text string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * fnvPrime
	}
	return mix64(h)
}

// unitInterval maps a hash to [0, 1).
func unitInterval(h uint64) float64 { return float64(h>>11) / (1 << 53) }
