package claims

import (
	"context"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/claim"
	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// mintRequested is the event of a request for a new key.
type mintRequested struct{ reply chan<- string }

func (e mintRequested) apply(c *Claims, now time.Time) claim.Actions {
	e.reply <- c.registry.Mint(now).String()
	return claim.Actions{}
}

// mintedClaimRequested is the event of a request for the claim of a minted key.
type mintedClaimRequested struct {
	request claim.Request
	minted  claim.MintedKey
	reply   chan<- claim.Decision
}

func (e mintedClaimRequested) apply(c *Claims, now time.Time) claim.Actions {
	sequence, actions := c.registry.ClaimMinted(now, e.request, e.minted)
	c.decisions[sequence] = e.reply
	return actions
}

// Mint returns a new idempotency key; the error is an *outcome.Failure. Only this incarnation runs the request of the
// key, so minting and claiming it need no call to the platform's store.
func (c *Claims) Mint() (key string, err error) {
	reply := make(chan string, 1)
	if c.send(mintRequested{reply: reply}) {
		select {
		case key = <-reply:
			return key, nil
		case <-c.stopped:
		}
	}
	return "", newRefusal(outcome.CodeStopping, "the instance is stopping")
}

// Minter reports in self whether this incarnation minted the key. If not, it returns the instance that did; ok is false
// if that instance is no longer a member.
func (c *Claims) Minter(minted claim.MintedKey) (minter member.Member, self, ok bool) {
	if minted.Owner == c.config.Owner {
		return member.Member{}, true, true
	}
	minter, ok = c.member(minted.Owner)
	return minter, false, ok
}

// RunMinted runs the request of a key that this incarnation minted, at most once, and returns the response of that run.
//
// The error wraps an *outcome.Failure.
func (c *Claims) RunMinted(ctx context.Context, minted claim.MintedKey, request Request) (response []byte, err error) {
	reply := make(chan claim.Decision, 1)
	claimRequest := claim.Request{Key: request.Key, Digest: request.Digest}
	if c.send(mintedClaimRequested{request: claimRequest, minted: minted, reply: reply}) {
		select {
		case decision := <-reply:
			return c.handleDecision(ctx, decision, request)
		case <-c.stopped:
		}
	}
	return nil, newRefusal(outcome.CodeStopping, "the instance is stopping; this call was not run")
}
