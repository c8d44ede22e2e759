package routing

import "github.com/gooseberryslip/gooseberryslip/internal/entity"

// Proximity says how near two locations are; higher is nearer.
type Proximity int

const (
	// OtherRegion: the locations are in different regions.
	OtherRegion Proximity = iota
	// SameRegion: the locations are in different data centres of one region.
	SameRegion
	// SameDataCentre: the locations are in one data centre.
	SameDataCentre
)

// ProximityOf returns the proximity of two locations.
func ProximityOf(a, b entity.Location) Proximity {
	switch {
	case a.Region != b.Region:
		return OtherRegion
	case a.DataCentre != b.DataCentre:
		return SameRegion
	default:
		return SameDataCentre
	}
}

// Mix spreads the bits of a hash; it is the finaliser of SplitMix64.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
