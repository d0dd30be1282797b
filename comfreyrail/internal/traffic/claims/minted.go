package claims

import (
	"context"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/claim"
	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// minting asks for a new key.
type minting struct{ reply chan<- string }

func (e minting) apply(c *Claims, now time.Time) claim.Actions {
	e.reply <- c.book.Mint(now).String()
	return claim.Actions{}
}

// wantedMinted asks for the claim of a minted key.
type wantedMinted struct {
	want   claim.Request
	minted claim.MintedKey
	reply  chan<- claim.Decision
}

func (e wantedMinted) apply(c *Claims, now time.Time) claim.Actions {
	handle, actions := c.book.ClaimMinted(now, e.want, e.minted)
	c.verdicts[handle] = e.reply
	return actions
}

// Mint returns a new idempotency key, whose request only this incarnation runs; no call to the service is needed.
func (c *Claims) Mint() (key string, err error) {
	reply := make(chan string, 1)
	if c.send(minting{reply: reply}) {
		select {
		case key = <-reply:
			return key, nil
		case <-c.stopped:
		}
	}
	return "", refused(outcome.CodeStopping, "the instance is stopping")
}

// Minter returns the instance that minted the key, and whether it is this one; ok is false if it is gone.
func (c *Claims) Minter(minted claim.MintedKey) (minter member.Member, self, ok bool) {
	if minted.Owner == c.config.Owner {
		return member.Member{}, true, true
	}
	minter, ok = c.member(minted.Owner)
	return minter, false, ok
}

// RunMinted runs the request of a key that this incarnation minted, at most once, and returns the answer of the run.
//
// The error is an outcome.Failure.
func (c *Claims) RunMinted(ctx context.Context, minted claim.MintedKey, request Request) (answer []byte, err error) {
	reply := make(chan claim.Decision, 1)
	want := claim.Request{Key: request.Key, Digest: request.Digest}
	if c.send(wantedMinted{want: want, minted: minted, reply: reply}) {
		select {
		case verdict := <-reply:
			return c.obey(ctx, verdict, request)
		case <-c.stopped:
		}
	}
	return nil, refused(outcome.CodeStopping, "the instance is stopping; this call was not run")
}
