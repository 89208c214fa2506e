package wasabireplica

import "github.com/wasabiridge/wasabiridge"

// homeOf returns the replica at which all instances have a prompt computed while no
// other one is clearly better, or nil for prompts whose parts are not looked for. It
// is the one with the highest hash of replica and last shared part among those that
// may have the prompt, so few prompts have a new home when a replica comes or goes.
//
// The failure it guards against: instances do not know yet what the others have sent
// where, for milliseconds in the rush of a hot part, and for a second after all of
// them have restarted. Each has the part computed at another replica. It also finds
// parts again that the picture of a cache has lost and the replica still holds.
func (p *Placer) homeOf(now wasabiridge.Millis, pl *pool, q wasabiridge.PlaceQuery, pr *prompt) *replica {
	if !pr.isTracked() {
		return nil
	}
	var home *replica
	var most uint64
	part := uint64(pr.parts[len(pr.parts)-1])
	for _, r := range pl.replicas {
		if h := mix(r.seed ^ part); (home == nil || h > most) && p.eligible(now, r, q) {
			home, most = r, h
		}
	}
	return home
}
