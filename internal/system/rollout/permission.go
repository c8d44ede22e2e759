package rollout

// Permission says which servers a daemon sends new requests to.
type Permission uint8

const (
	// OldOnly: only to servers of the old versions.
	OldOnly Permission = iota + 1
	// OldFirst: to the new version if no server of the old ones is usable.
	OldFirst
	// CanaryOnly: to the new version within the canary's share.
	CanaryOnly
	// Rising: to the new version within the share that the leader states.
	Rising
	// NewOnly: only to the new version.
	NewOnly
)

// Permit returns the permission of a daemon that knows the stage. Stopped says that it knows the
// new version to be bad, heard that the leader has stated the stage a short time ago.
func Permit(stage Stage, stopped, heard bool) Permission {
	switch {
	case stopped || stage == RolledBack || stage == Unknown:
		return OldOnly
	case stage == Completed:
		return NewOnly
	case stage == Promoting && heard:
		return Rising
	case stage == Promoting:
		return OldFirst
	case heard:
		return CanaryOnly
	default:
		return OldOnly
	}
}
