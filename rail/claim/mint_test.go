package claim

import (
	"testing"
	"time"
)

// TestParseMintedKey guards against a minted key that changes when it is formatted and parsed, and against accepting a
// malformed one.
func TestParseMintedKey(t *testing.T) {
	minted := MintedKey{Owner: "ABC", Uptime: 1500 * time.Millisecond, Number: 7}
	if got, ok := ParseMintedKey(minted.String()); !ok || got != minted {
		t.Errorf("got %v (%t), want %v", got, ok, minted)
	}
	for _, key := range []string{"", "k", "comfrey.ABC.1500", "comfrey..1.1", "comfrey.ABC.-1.1", "comfrey.ABC.01.1", "comfrey.ABC.1.x", "comfrey.ABC.1.1.1"} {
		if got, ok := ParseMintedKey(key); ok {
			t.Errorf("got %v from %q, want no minted key", got, key)
		}
	}
}

// FuzzParseMintedKey guards against two texts for one minted key, which would be claimed separately.
func FuzzParseMintedKey(f *testing.F) {
	f.Add("comfrey.ABC.1500.7")
	f.Fuzz(func(t *testing.T, key string) {
		if minted, ok := ParseMintedKey(key); ok && minted.String() != key {
			t.Errorf("got %q from %q, want the same key", minted, key)
		}
	})
}
