package relay

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/claims"
	"github.com/comfreyrail/comfreyrail/rail/claim"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// KeyHeader is the header by which a caller names a request over its repeats.
const KeyHeader = "Idempotency-Key"

// maxKeyBytes is the greatest length of an idempotency key.
const maxKeyBytes = 255

// runKeyed runs the request under the claim of its key.
func (r *Relay) runKeyed(ctx context.Context, key string, request Request) (answer Response, err error) {
	if len(key) > maxKeyBytes || len(request.Header.Values(KeyHeader)) != 1 {
		return Response{}, outcome.NotRunf(outcome.CodeInvalid, "%s must be given once with at most %d bytes", KeyHeader, maxKeyBytes)
	}
	if minted, ok := claim.ParseMintedKey(key); ok {
		return r.runMinted(ctx, minted, request)
	}
	return decoded(r.claims.Run(ctx, r.claimed(key, request)))
}

// claimed returns the request in the form in which it runs under a claim.
func (r *Relay) claimed(key string, request Request) claims.Request {
	return claims.Request{
		Key:    claim.NewKey(request.Workspace, request.Route.Name, key),
		Digest: claim.NewDigest(request.Method, request.Path, request.Body),
		Run: func(ctx context.Context) ([]byte, error) {
			ran, err := r.dispatch(ctx, request)
			if err != nil {
				return nil, err
			}
			return cbor.Marshal(ran)
		},
	}
}

// decoded returns the answer that a claim keeps.
func decoded(encoded []byte, err error) (answer Response, _ error) {
	if err != nil {
		return Response{}, outcome.FromError(err)
	}
	if err = cbor.Unmarshal(encoded, &answer); err != nil {
		return Response{}, outcome.Unknownf(outcome.CodeClaimed, "the kept answer is malformed: %v", err)
	}
	return answer, nil
}
