package gossip

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/proptest"
)

// settleTime is the time within which every view must be correct after the last fault.
const settleTime = 60 * time.Second

// TestProveMembership checks under random faults that no instance has too many partners, or a later epoch of a member
// than the member itself, and that every list of members is correct settleTime after the last fault.
func TestProveMembership(t *testing.T) {
	proptest.Run(t, "membership", func(rt *rapid.T, tally *proptest.Tally) {
		size := rapid.IntRange(2, 14).Draw(rt, "size")
		f := newFleet(size, 3, rapid.Uint64().Draw(rt, "seed"))
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			tally.Operations++
			injectFault(rt, tally, f)
			f.advance(time.Duration(rapid.IntRange(1, 30_000).Draw(rt, "pause")) * time.Millisecond)
			checkViews(rt, tally, f)
		}
		f.partitioned = false
		for _, h := range f.hosts {
			h.frozen = false
		}
		f.advance(settleTime)
		if wrong := f.wrongMembers(); wrong != 0 {
			tally.Failf(rt, "%d wrong members %v after the last fault", wrong, settleTime)
		}
	})
}

func injectFault(rt *rapid.T, tally *proptest.Tally, f *fleet) {
	h := f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(rt, "host")]
	fault := rapid.SampledFrom([]string{"kill", "restart", "freeze", "thaw", "leave", "partition", "heal"}).Draw(rt, "fault")
	switch {
	case fault == "partition" || fault == "heal":
		f.partitioned = fault == "partition"
	case fault == "restart" && !h.up:
		f.restart(h)
	case !h.up:
		return
	case fault == "kill":
		h.up = false
	case fault == "freeze" || fault == "thaw":
		h.frozen = fault == "freeze"
	case fault == "leave" && !h.frozen:
		for _, heartbeat := range h.node.Leave() {
			f.send(h, h.runs, heartbeat)
		}
		f.advance(100 * time.Millisecond)
		h.up = false
	default:
		return
	}
	tally.Count(fault)
}

// checkViews checks the number of partners, and that no view has a later epoch than the member itself.
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
				tally.Failf(rt, "%s has epoch %d of %s, want at most %d", h.name, known.Epoch, known.Name, newest)
			}
		}
	}
}

// TestPauseRestartsSuspicionTimeout guards against a pause of the process that counts as time in which a suspected
// member failed to refute.
func TestPauseRestartsSuspicionTimeout(t *testing.T) {
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
		{"just suspected", 0, Suspected},
		{"after a pause of the process", time.Minute, Suspected},
		{"1 interval after the pause", DefaultInterval, Suspected},
		{"2 intervals after the pause", DefaultInterval, Suspected},
		{"3 intervals after the pause", DefaultInterval, Suspected},
		{"4 intervals after the pause", DefaultInterval, Dead},
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

// TestRoleHoldersPerZone guards against a zone in which member.HasRole gives a role to more or fewer members than
// required, with zones of different sizes.
func TestRoleHoldersPerZone(t *testing.T) {
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
