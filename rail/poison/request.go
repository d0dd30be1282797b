package poison

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
)

// digestBytes is the number of bytes of a hash that a digest holds.
const digestBytes = 12

// Request is what distinguishes a request from others under which servers may crash.
type Request struct {
	// Digest is the digest of the whole request, empty if it is not known.
	Digest string
	// Parts identifies the parts of the prompt that other requests may have too, empty if the request has no prompt.
	Parts []string
}

// IsEmpty reports whether nothing is known of the request.
func (r Request) IsEmpty() bool { return r.Digest == "" && len(r.Parts) == 0 }

// Cause is why a request is blocked: one of the fields is set.
type Cause struct {
	// Part is the poisoned part of the prompt.
	Part string
	// Digest is the digest of the request if it is poisoned as a whole.
	Digest string
}

// Digest returns a short text that is the same for requests of one caller with the same method, host, target (path and query) and
// body, and differs for all others.
func Digest(method, host, target, caller string, body []byte) string {
	hash := sha256.New()
	var length [8]byte
	for _, field := range [][]byte{[]byte(method), []byte(host), []byte(target), []byte(caller), body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(field)
	}
	return base64.RawURLEncoding.EncodeToString(hash.Sum(nil)[:digestBytes])
}
