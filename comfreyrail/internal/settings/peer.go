package settings

import "net/netip"

// minSecretBytes is the minimum length of the secret that the instances share.
const minSecretBytes = 16

// validate reports the invalid fields. An unspecified listen address is invalid because other instances connect to this address.
func (p Peer) validate(report func(field string, value any, fix string)) {
	address, err := netip.ParseAddrPort(p.Listen)
	if err != nil || address.Addr().IsUnspecified() {
		report("peer.listen", p.Listen, "use the IP address and port at which the other instances reach this one")
	}
	for _, seed := range p.Seeds {
		if _, err = netip.ParseAddrPort(seed); err != nil {
			report("peer.seeds", seed, "use the IP address and port that another instance has as peer.listen")
		}
	}
	if p.Secret != "" && len(p.Secret) < minSecretBytes {
		report("peer.secret", "(hidden)", "use at least 16 bytes")
	}
	if len(p.Seeds) > 0 && p.Secret == "" {
		report("peer.secret", "", "set the secret that all instances share, or remove peer.seeds")
	}
}
