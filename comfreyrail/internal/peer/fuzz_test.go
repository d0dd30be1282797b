package peer

import (
	"bytes"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyrail/comfreyrail/rail/drain"
	"github.com/comfreyrail/comfreyrail/rail/gossip"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

// FuzzReadFrame reads arbitrary bytes as a frame. A frame that can be read must be the same after it is written and read again.
func FuzzReadFrame(f *testing.F) {
	var whole bytes.Buffer
	if err := writeFrame(&whole, request{Kind: "heartbeat", Body: cbor.RawMessage{0xa0}}); err != nil {
		f.Fatal(err)
	}
	f.Add(whole.Bytes())
	f.Add(whole.Bytes()[:whole.Len()-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, content []byte) {
		var got request
		if readFrame(bytes.NewReader(content), &got) != nil {
			return
		}
		var again bytes.Buffer
		if err := writeFrame(&again, got); err != nil {
			t.Fatal(err)
		}
		var want request
		if err := readFrame(&again, &want); err != nil || got.Kind != want.Kind || !bytes.Equal(got.Body, want.Body) {
			t.Errorf("frame %v reads back as %v, error %v", got, want, err)
		}
	})
}

// FuzzHeartbeat decodes arbitrary bytes as a heartbeat and passes it to a gossip node. The heartbeat must neither change the
// node's own record nor give the node more partners than it has rings.
func FuzzHeartbeat(f *testing.F) {
	seeds := []gossip.Message{
		{From: "rail-2", Epoch: 2, Offer: gossip.Offer{Generation: 1, Hash: "00"}},
		{From: "rail-2", Epoch: 2, FullSync: true, Updates: []gossip.Update{{Member: member.Member{Name: "rail-1", Epoch: 1}, State: gossip.Dead}}},
		{From: "rail-3", Updates: []gossip.Update{{Member: member.Member{Name: "rail-2", Epoch: 9}, State: 200, Refutations: 1 << 63}}},
		{Marks: []drain.Mark{{Server: "e1", Source: drain.SourceList, Observer: "o", Sequence: 1}}},
	}
	for _, seed := range seeds {
		content, err := cbor.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		var message gossip.Message
		if Decode(content, &message) != nil {
			return
		}
		now := time.Unix(0, 0)
		self := member.Member{Name: "rail-1", Zone: "a", Epoch: 1}
		node := gossip.New(gossip.Config{Self: self})
		node.AddListed(now, []member.Member{{Name: "rail-2", Zone: "b", Epoch: 2}})
		node.Receive(now, message)
		node.Tick(now.Add(time.Second))
		node.Receive(now.Add(time.Minute), message)
		if got, want := node.Self(), self; got != want {
			t.Errorf("own record = %+v, want %+v", got, want)
		}
		if got, most := len(node.Partners()), gossip.DefaultZoneRings+gossip.DefaultFleetRings; got > most {
			t.Errorf("partners = %d, want at most %d", got, most)
		}
	})
}
