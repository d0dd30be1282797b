package fakemodel

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// HashContext returns the state before the first layer for the token after the prompt and earlier tokens.
func HashContext(prompt string, tokens []string) uint64 {
	digest := xxhash.New()
	writeString(digest, prompt)
	for _, token := range tokens {
		writeString(digest, token)
	}
	return digest.Sum64()
}

// writeString adds the length of s and s itself, so that no two sequences of strings collide by their borders.
func writeString(digest *xxhash.Digest, s string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(s)
}

// Apply runs the layers from first up to, but without, last on a state.
func Apply(state uint64, first, last int) uint64 {
	var block [16]byte
	for layer := first; layer < last; layer++ {
		binary.LittleEndian.PutUint64(block[:8], state)
		binary.LittleEndian.PutUint64(block[8:], uint64(layer))
		state = xxhash.Sum64(block[:])
	}
	return state
}

// Token returns the text of the token that the state after the last layer stands for.
func Token(state uint64) string {
	return fmt.Sprintf("%08x ", uint32(state))
}

// stopMark begins the part of a prompt that tells after how many tokens the model stops.
const stopMark = "[stop "

// StopAfter returns the number of tokens after which the model ends its answer to the prompt, at most limit.
func StopAfter(prompt string, limit int) int {
	at := strings.LastIndex(prompt, stopMark)
	if at < 0 {
		return limit
	}
	number, _, found := strings.Cut(prompt[at+len(stopMark):], "]")
	stop, err := strconv.Atoi(number)
	if !found || err != nil || stop < 0 {
		return limit
	}
	return min(stop, limit)
}

// Completion returns the whole answer to the prompt, of at most that many tokens.
func Completion(prompt string, layers, tokens int) []string {
	answer := make([]string, 0, tokens)
	for range StopAfter(prompt, tokens) {
		answer = append(answer, Token(Apply(HashContext(prompt, answer), 0, layers)))
	}
	return answer
}
