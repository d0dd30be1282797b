package relay

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/claims"
	"github.com/comfreyrail/comfreyrail/rail/claim"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// KeyHeader is the header that holds the idempotency key, which is the same for a request and its repeats.
const KeyHeader = "Idempotency-Key"

// maxKeyBytes is the maximum length of an idempotency key in bytes.
const maxKeyBytes = 255

// runKeyed runs the request under the claim of its key.
func (r *Relay) runKeyed(ctx context.Context, key string, request Request) (response Response, err error) {
	if len(key) > maxKeyBytes || len(request.Header.Values(KeyHeader)) != 1 {
		return Response{}, outcome.NotRunf(outcome.CodeInvalid, "%s must be given once with at most %d bytes", KeyHeader, maxKeyBytes)
	}
	if minted, ok := claim.ParseMintedKey(key); ok {
		return r.runMinted(ctx, minted, request)
	}
	return decodeResponse(r.claims.Run(ctx, r.newClaimsRequest(key, request)))
}

// newClaimsRequest returns the claims.Request for a request; its Run dispatches the request and encodes the response as
// CBOR.
func (r *Relay) newClaimsRequest(key string, request Request) claims.Request {
	return claims.Request{
		Key:    claim.NewKey(request.Workspace, request.Route.Name, key),
		Digest: claim.NewDigest(request.Method, request.Path, request.Body),
		Run: func(ctx context.Context) ([]byte, error) {
			response, err := r.dispatch(ctx, request)
			if err != nil {
				return nil, err
			}
			return cbor.Marshal(response)
		},
	}
}

// decodeResponse decodes the response that Run of newClaimsRequest encoded; the error is an *outcome.Failure.
func decodeResponse(encoded []byte, err error) (response Response, _ error) {
	if err != nil {
		return Response{}, outcome.FromError(err)
	}
	if err = cbor.Unmarshal(encoded, &response); err != nil {
		return Response{}, outcome.Unknownf(outcome.CodeClaimed, "the kept answer is malformed: %v", err)
	}
	return response, nil
}
