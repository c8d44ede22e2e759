package provider

// A table service that is restored from a backup loses its newest writes, and gives the
// versions of the lost writes to others. It therefore counts its restores, and the
// count is its generation. Versions in this package are composed of the generation and
// of the number that the service gave, so that they rise across a restore and a
// condition on a row of an earlier generation never holds by accident.

const (
	// versionBits is the number of bits of a version that hold the service's number.
	versionBits = 40
	// maxVersionNumber is the largest number of the service that a version can hold.
	maxVersionNumber = 1<<versionBits - 1
)

// ComposeVersion returns the version with a number of the service in one of its
// generations. 0, which stands for no row, is the same in all generations.
func ComposeVersion(generation, number uint64) uint64 {
	if number == 0 {
		return 0
	}
	return generation<<versionBits | number&maxVersionNumber
}

// SplitVersion returns the parts of a version.
func SplitVersion(version uint64) (generation, number uint64) {
	return version >> versionBits, version & maxVersionNumber
}

// Generation returns the table service's generation in which a version was given.
func Generation(version uint64) uint64 { return version >> versionBits }
