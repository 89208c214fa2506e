package wasabiridge

// Features are the optional parts of the router that the platform asks for in a
// deployment. The zero value asks for none.
type Features struct {
	// Sharing reports that callers are ranked, and pools shared among client accounts,
	// while a pool is short of capacity.
	Sharing bool
	// Rollouts reports that operators order rollouts of software versions.
	Rollouts bool
}
