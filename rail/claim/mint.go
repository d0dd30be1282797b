package claim

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// mintPrefix begins every minted key.
const mintPrefix = "comfrey"

// MintedKey is a key that an incarnation made; only that incarnation runs its request.
type MintedKey struct {
	// Owner is the incarnation that made the key.
	Owner string
	// Age is the time from the start of the incarnation to the making of the key.
	Age time.Duration
	// Number tells the keys of one incarnation apart.
	Number uint64
}

// String returns the key as callers send it.
func (m MintedKey) String() string {
	return fmt.Sprintf("%s.%s.%d.%d", mintPrefix, m.Owner, m.Age.Milliseconds(), m.Number)
}

// ParseMintedKey returns the parts of a minted key, or false if the key is a caller's own.
func ParseMintedKey(key string) (minted MintedKey, ok bool) {
	parts := strings.Split(key, ".")
	if len(parts) != 4 || parts[0] != mintPrefix || parts[1] == "" {
		return MintedKey{}, false
	}
	age, ageErr := strconv.ParseInt(parts[2], 10, 64)
	sequence, sequenceErr := strconv.ParseUint(parts[3], 10, 64)
	if ageErr != nil || sequenceErr != nil || age < 0 {
		return MintedKey{}, false
	}
	minted = MintedKey{Owner: parts[1], Age: time.Duration(age) * time.Millisecond, Number: sequence}
	return minted, minted.String() == key
}

// Mint returns a new key that needs no record in the platform's service.
func (b *Registry) Mint(now time.Time) MintedKey {
	b.minted++
	return MintedKey{Owner: b.config.Owner, Age: now.Sub(b.config.Started).Truncate(time.Millisecond), Number: b.minted}
}

// ClaimMinted claims a key that this incarnation minted; the verdict follows as after Claim.
//
// The incarnation remembers every request of a key for as long as it accepts the key, so no record is needed.
func (b *Registry) ClaimMinted(now time.Time, want Request, minted MintedKey) (handle uint64, actions Actions) {
	b.sequence++
	claimed := &held{sequence: b.sequence, want: want, asked: now, minted: true}
	age := now.Sub(b.config.Started)
	switch earlier, ok := b.latest[want.Key]; {
	case minted.Owner != b.config.Owner || minted.Age > age || minted.Number == 0 || minted.Number > b.minted:
		b.decide(claimed, Decision{Verdict: Mismatch})
	case age-minted.Age > b.config.Window:
		b.decide(claimed, Decision{Verdict: Expired})
	case ok && earlier.state != NotRun:
		b.follow(earlier, claimed)
	case len(b.claims) >= b.config.MaxClaims:
		b.decide(claimed, Decision{Verdict: Full})
	default:
		claimed.committed = true
		b.claims[claimed.sequence], b.latest[want.Key] = claimed, claimed
		b.decide(claimed, Decision{Verdict: Granted})
	}
	return claimed.sequence, b.take()
}
