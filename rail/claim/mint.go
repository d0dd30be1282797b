package claim

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// mintPrefix begins every minted key.
const mintPrefix = "comfrey"

// Minted is a key that an incarnation made; only that incarnation runs its request.
type Minted struct {
	// Owner is the incarnation that made the key.
	Owner string
	// Age is the time from the start of the incarnation to the making of the key.
	Age time.Duration
	// Sequence tells the keys of one incarnation apart.
	Sequence uint64
}

// String returns the key as callers send it.
func (m Minted) String() string {
	return fmt.Sprintf("%s.%s.%d.%d", mintPrefix, m.Owner, m.Age.Milliseconds(), m.Sequence)
}

// ParseMinted returns the parts of a minted key, or false if the key is a caller's own.
func ParseMinted(key string) (minted Minted, ok bool) {
	parts := strings.Split(key, ".")
	if len(parts) != 4 || parts[0] != mintPrefix || parts[1] == "" {
		return Minted{}, false
	}
	age, ageErr := strconv.ParseInt(parts[2], 10, 64)
	sequence, sequenceErr := strconv.ParseUint(parts[3], 10, 64)
	if ageErr != nil || sequenceErr != nil || age < 0 {
		return Minted{}, false
	}
	minted = Minted{Owner: parts[1], Age: time.Duration(age) * time.Millisecond, Sequence: sequence}
	return minted, minted.String() == key
}

// Mint returns a new key that needs no record in the platform's service.
func (b *Book) Mint(now time.Time) Minted {
	b.minted++
	return Minted{Owner: b.config.Owner, Age: now.Sub(b.config.Started).Truncate(time.Millisecond), Sequence: b.minted}
}

// ClaimMinted claims a key that this incarnation minted; the verdict follows as after Claim.
//
// The incarnation remembers every request of a key for as long as it accepts the key, so no record is needed.
func (b *Book) ClaimMinted(now time.Time, want Call, minted Minted) (handle uint64, actions Actions) {
	b.sequence++
	claimed := &held{sequence: b.sequence, want: want, asked: now, minted: true}
	age := now.Sub(b.config.Started)
	switch earlier, ok := b.latest[want.Key]; {
	case minted.Owner != b.config.Owner || minted.Age > age || minted.Sequence == 0 || minted.Sequence > b.minted:
		b.decide(claimed, Verdict{Decision: Mismatch})
	case age-minted.Age > b.config.Window:
		b.decide(claimed, Verdict{Decision: Expired})
	case ok && earlier.state != NotRun:
		b.follow(earlier, claimed)
	case len(b.claims) >= b.config.MaxClaims:
		b.decide(claimed, Verdict{Decision: Full})
	default:
		claimed.committed = true
		b.claims[claimed.sequence], b.latest[want.Key] = claimed, claimed
		b.decide(claimed, Verdict{Decision: Won})
	}
	return claimed.sequence, b.take()
}
