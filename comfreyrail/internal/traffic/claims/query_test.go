package claims

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/claim"
	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// Guards against a repeat that gets no answer before its caller leaves, because the owner of the claim doesn't respond and the repeat
// waits for it beyond its own deadline.
func TestRepeatIsAnsweredAtDeadlineWhenOwnerIsSilent(t *testing.T) {
	const deadline, slack = 100 * time.Millisecond, 500 * time.Millisecond
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := New(Config{
		Owner: "self", Log: logrus.NewEntry(log), Members: func() []member.Member { return []member.Member{{Incarnation: "owner"}} },
		QueryOwner: func(ctx context.Context, _ member.Member, _ StatusQuery) (status claim.Status, err error) {
			<-ctx.Done()
			return status, ctx.Err()
		},
	})
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	start := time.Now()
	_, err := repeatResult(c.queryStatus(ctx, claim.Entry{Owner: "owner", Sequence: 1, State: claim.Running}))
	if took := time.Since(start); took > deadline+slack {
		t.Errorf("got a result after %v, want one at the deadline of %v", took, deadline)
	}
	if got, want := outcome.FromError(err).Outcome, outcome.Unknown; got != want {
		t.Errorf("got outcome %q, want %q", got, want)
	}
}
