package share

import (
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/pipeline"
)

var start = time.Unix(1_800_000_000, 0)

func tell(t *testing.T, s *Share, at time.Time, name string, uses map[string]pipeline.Use) {
	t.Helper()
	datagram, err := encode(name, uses)
	if err != nil {
		t.Fatal(err)
	}
	if err = s.hear(at, datagram); err != nil {
		t.Fatal(err)
	}
}

func TestOthers(t *testing.T) {
	tests := []struct {
		name   string
		after  time.Duration
		others int
		want   float64
		known  bool
	}{
		{"the sum of all that told", 0, 2, 3200, true},
		{"scaled to those that did not", 0, 4, 6400, true},
		{"nothing once they are silent", 2 * time.Second, 2, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(Config{Name: "me"})
			tell(t, s, start, "first", map[string]pipeline.Use{"engine": {Tokens: 640, Rate: 0.5}})
			tell(t, s, start, "first", map[string]pipeline.Use{"engine": {Tokens: 1280, Rate: 0.5}})
			tell(t, s, start, "second", map[string]pipeline.Use{"engine": {Tokens: 1920, Rate: 0.25}})
			got, known := s.Others(start.Add(test.after), test.others)("engine")
			if got.Tokens != test.want || known != test.known {
				t.Errorf("got %v tokens, known %v, want %v, %v", got.Tokens, known, test.want, test.known)
			}
		})
	}
}

func TestDatagramFitsOnePacket(t *testing.T) {
	uses := make(map[string]pipeline.Use)
	for i := range 2 * maxEngines {
		uses[string(rune('a'+i%26))+string(rune('a'+i/26))] = pipeline.Use{Tokens: 4e9, Rate: 60}
	}
	datagram, err := encode("an-instance-with-a-long-name-in-a-zone-1", uses)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(datagram); got > maxDatagram {
		t.Errorf("got %d bytes, want at most %d", got, maxDatagram)
	}
}

func FuzzHear(f *testing.F) {
	datagram, err := encode("peer", map[string]pipeline.Use{"engine": {Tokens: 1, Rate: 1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagram)
	f.Fuzz(func(t *testing.T, content []byte) {
		s := New(Config{Name: "me"})
		if err := s.hear(start, content); err == nil && len(s.heard) != 1 {
			t.Errorf("got %d reports from an accepted datagram, want 1", len(s.heard))
		}
	})
}
