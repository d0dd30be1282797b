package claim

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// mintedKeyPrefix is the first of the four parts of a minted key, which are separated by dots.
const mintedKeyPrefix = "comfrey"

// MintedKey is an idempotency key that an incarnation minted; only that incarnation runs its request.
type MintedKey struct {
	// Owner is the incarnation that minted the key.
	Owner string
	// Uptime is the uptime of the incarnation when it minted the key, in whole milliseconds; it does not grow with time.
	Uptime time.Duration
	// Number is the number of the key among those of the incarnation, from one.
	Number uint64
}

// String returns the key in the form in which callers send it.
func (m MintedKey) String() string {
	return fmt.Sprintf("%s.%s.%d.%d", mintedKeyPrefix, m.Owner, m.Uptime.Milliseconds(), m.Number)
}

// ParseMintedKey returns the parts of a minted key; ok is false if the key does not have the form of a minted key.
func ParseMintedKey(key string) (minted MintedKey, ok bool) {
	parts := strings.Split(key, ".")
	if len(parts) != 4 || parts[0] != mintedKeyPrefix || parts[1] == "" {
		return MintedKey{}, false
	}
	uptime, uptimeErr := strconv.ParseInt(parts[2], 10, 64)
	number, numberErr := strconv.ParseUint(parts[3], 10, 64)
	if uptimeErr != nil || numberErr != nil || uptime < 0 {
		return MintedKey{}, false
	}
	minted = MintedKey{Owner: parts[1], Uptime: time.Duration(uptime) * time.Millisecond, Number: number}
	return minted, minted.String() == key
}

// Mint returns a new key, whose claim needs no entry in a record.
func (r *Registry) Mint(now time.Time) MintedKey {
	r.lastMinted++
	return MintedKey{Owner: r.config.Owner, Uptime: now.Sub(r.config.StartedAt).Truncate(time.Millisecond), Number: r.lastMinted}
}

// ClaimMinted requests the claim of a key that this incarnation minted; decisions are returned as by Claim.
//
// The incarnation holds the claim of a key for as long as it accepts the key, so the claim needs no entry in a record.
func (r *Registry) ClaimMinted(now time.Time, request Request, minted MintedKey) (sequence uint64, actions Actions) {
	r.lastSequence++
	claim := &localClaim{sequence: r.lastSequence, request: request, requestedAt: now, minted: true}
	uptime := now.Sub(r.config.StartedAt)
	switch earlier, ok := r.latestByKey[request.Key]; {
	case minted.Owner != r.config.Owner || minted.Uptime > uptime || minted.Number == 0 || minted.Number > r.lastMinted:
		r.decide(claim, Decision{Verdict: Mismatch})
	case uptime-minted.Uptime > r.config.Window:
		r.decide(claim, Decision{Verdict: Expired})
	case ok && earlier.state != NotRun:
		r.handleDuplicate(earlier, claim)
	case len(r.claims) >= r.config.MaxClaims:
		r.decide(claim, Decision{Verdict: Full})
	default:
		claim.committed = true
		r.claims[claim.sequence], r.latestByKey[request.Key] = claim, claim
		r.decide(claim, Decision{Verdict: Granted})
	}
	return claim.sequence, r.takeActions()
}
