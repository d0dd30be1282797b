package gossip

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/proptest"
)

// settleTime is the time within which every view must be right after the last fault.
const settleTime = 60 * time.Second

func TestProveMembership(t *testing.T) {
	proptest.Run(t, "membership", func(rt *rapid.T, tally *proptest.Tally) {
		size := rapid.IntRange(2, 14).Draw(rt, "size")
		f := newFleet(size, 3, rapid.Uint64().Draw(rt, "seed"))
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			tally.Operations++
			injectFault(rt, tally, f)
			f.run(time.Duration(rapid.IntRange(1, 30_000).Draw(rt, "pause")) * time.Millisecond)
			checkViews(rt, tally, f)
		}
		f.cut = false
		for _, h := range f.hosts {
			h.frozen = false
		}
		f.run(settleTime)
		if wrong := f.wrong(); wrong != 0 {
			tally.Failf(rt, "%d wrong members %v after the last fault", wrong, settleTime)
		}
	})
}

func injectFault(rt *rapid.T, tally *proptest.Tally, f *fleet) {
	h := f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(rt, "host")]
	kind := rapid.SampledFrom([]string{"kill", "restart", "freeze", "thaw", "leave", "partition", "heal"}).Draw(rt, "fault")
	switch {
	case kind == "partition" || kind == "heal":
		f.cut = kind == "partition"
	case kind == "restart" && !h.up:
		f.start(h)
	case !h.up:
		return
	case kind == "kill":
		h.up = false
	case kind == "freeze" || kind == "thaw":
		h.frozen = kind == "freeze"
	case kind == "leave" && !h.frozen:
		for _, beat := range h.node.Leave() {
			f.send(h, h.run, beat)
		}
		f.run(100 * time.Millisecond)
		h.up = false
	default:
		return
	}
	tally.CountFault(kind)
}

// checkViews asserts what must hold at every moment.
func checkViews(rt *rapid.T, tally *proptest.Tally, f *fleet) {
	for _, h := range f.hosts {
		if !h.up {
			continue
		}
		if got, most := len(h.node.Partners()), DefaultZoneRings+DefaultFleetRings; got > most {
			tally.Failf(rt, "%s has %d partners, want at most %d", h.name, got, most)
		}
		for _, known := range h.node.Members() {
			if newest := f.find(known.Name).epoch; known.Epoch > newest {
				tally.Failf(rt, "%s knows epoch %d of %s, newest is %d", h.name, known.Epoch, known.Name, newest)
			}
		}
	}
}

func TestPausedNodeGivesSuspectsTime(t *testing.T) {
	now := time.Unix(0, 0)
	other := member.Member{Name: "rail-1", Zone: "a", Epoch: 1}
	node := New(Config{Self: member.Member{Name: "rail-0", Zone: "a", Epoch: 2}})
	node.AddListed(now, []member.Member{other})
	node.Tick(now)
	for range maxFailures {
		node.HeartbeatFailed(now, other.Name, other.Epoch)
	}
	tests := []struct {
		name string
		wait time.Duration
		want State
	}{
		{"just suspected", 0, Suspect},
		{"own pause", time.Minute, Suspect},
		{"no refutation in time", DefaultInterval, Suspect},
		{"still none", DefaultInterval, Suspect},
		{"nor now", DefaultInterval, Suspect},
		{"suspicion is over", DefaultInterval, Dead},
	}
	for _, test := range tests {
		now = now.Add(test.wait)
		node.Tick(now)
		update, _ := node.Find(other.Name)
		if got := update.State; got != test.want {
			t.Errorf("%s: state = %v, want %v", test.name, got, test.want)
		}
	}
}

func TestHoldsNamesTheSameHoldersEverywhere(t *testing.T) {
	var members []member.Member
	for i, zone := range []string{"a", "b", "c", "a", "b", "c", "a", "a"} {
		members = append(members, member.Member{Name: string(rune('k' + i)), Zone: zone})
	}
	holders := make(map[string]int)
	for _, candidate := range members {
		if member.HasRole(candidate.Name, member.RoleWatch, 2, members) {
			holders[candidate.Zone]++
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		if got, want := holders[zone], 2; got != want {
			t.Errorf("holders in zone %s = %d, want %d", zone, got, want)
		}
	}
}
