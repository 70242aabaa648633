package dragonflyhatch

// revisionBits is the number of low bits of a version that hold the revision. The rest holds the
// era, which leaves the versions of the first 8,192 eras exact in a float64.
const revisionBits = 40

// StoreVersion returns the version of a revision that the platform's store counts within an era.
// Revisions of different eras are not comparable; versions are ordered by era and then by revision.
// It returns false if one of the numbers is too large. A store without eras has era 0.
func StoreVersion(era, revision uint64) (uint64, bool) {
	version := era<<revisionBits | revision
	return version, EraOf(version) == era && RevisionOf(version) == revision
}

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 { return version >> revisionBits }

// RevisionOf returns the revision of a version within its era.
func RevisionOf(version uint64) uint64 { return version & (1<<revisionBits - 1) }
