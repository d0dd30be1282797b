package fakemodel

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// HashContext returns the model's state before the first layer for the token that follows the prompt and the given tokens.
func HashContext(prompt string, tokens []string) uint64 {
	digest := xxhash.New()
	writeString(digest, prompt)
	for _, token := range tokens {
		writeString(digest, token)
	}
	return digest.Sum64()
}

// writeString adds the length of s and then s, so that sequences of strings with the same concatenation have different digests.
func writeString(digest *xxhash.Digest, s string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(s)
}

// Apply returns the state after the layers from first up to, but not including, last.
func Apply(state uint64, first, last int) uint64 {
	var block [16]byte
	for layer := first; layer < last; layer++ {
		binary.LittleEndian.PutUint64(block[:8], state)
		binary.LittleEndian.PutUint64(block[8:], uint64(layer))
		state = xxhash.Sum64(block[:])
	}
	return state
}

// Token returns the text of the token for the state after the last layer.
func Token(state uint64) string {
	return fmt.Sprintf("%08x ", uint32(state))
}

// stopPrefix precedes the number of tokens after which the model stops, in a prompt that contains "[stop N]".
const stopPrefix = "[stop "

// StopAfter returns the number of tokens after which the model ends its answer to the prompt, at most limit. The last "[stop N]"
// in the prompt sets the number; without a valid one it is limit.
func StopAfter(prompt string, limit int) int {
	index := strings.LastIndex(prompt, stopPrefix)
	if index < 0 {
		return limit
	}
	number, _, found := strings.Cut(prompt[index+len(stopPrefix):], "]")
	stop, err := strconv.Atoi(number)
	if !found || err != nil || stop < 0 {
		return limit
	}
	return min(stop, limit)
}

// Completion returns the complete answer of a model with the given number of layers to the prompt, with at most maxTokens
// tokens.
func Completion(prompt string, layers, maxTokens int) []string {
	answer := make([]string, 0, maxTokens)
	for range StopAfter(prompt, maxTokens) {
		answer = append(answer, Token(Apply(HashContext(prompt, answer), 0, layers)))
	}
	return answer
}
