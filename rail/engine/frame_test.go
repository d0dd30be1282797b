package engine

import (
	"encoding/json"
	"testing"
)

// FuzzDecodeFrame guards against a frame that changes when it is encoded and decoded again.
func FuzzDecodeFrame(f *testing.F) {
	f.Add([]byte(`{"stream":"s","attempt":1,"position":0,"token":"a"}`))
	f.Add([]byte(`{"stream":"s","attempt":1,"position":0,"tok`))
	f.Add([]byte(`{"stream":"s","attempt":1,"position":0}{"stream":"s","attempt":1,"position":1}`))
	f.Add([]byte(`{"attempt":-1}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		frame, err := DecodeFrame(line)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(frame)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeFrame(encoded)
		if err == nil && (decoded.Stream != frame.Stream || decoded.Position != frame.Position || decoded.Token != frame.Token) {
			t.Errorf("frame changed from %+v to %+v", frame, decoded)
		}
	})
}

// TestDecodeFrameInvalid guards against accepting a line that is not exactly one valid frame.
func TestDecodeFrameInvalid(t *testing.T) {
	tests := []struct{ name, line string }{
		{"empty", ""},
		{"truncated", `{"stream":"s","attempt":1,"posi`},
		{"two frames", `{"stream":"s","attempt":1}{"stream":"s","attempt":1}`},
		{"no attempt", `{"stream":"s","position":1}`},
		{"negative position", `{"stream":"s","attempt":1,"position":-1}`},
		{"too long", `{"stream":"s","attempt":1,"token":"` + string(make([]byte, MaxFrameBytes)) + `"}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if frame, err := DecodeFrame([]byte(test.line)); err == nil {
				t.Errorf("got %+v, want an error", frame)
			}
		})
	}
}
