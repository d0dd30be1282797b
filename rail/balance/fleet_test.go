package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// ending is a request that runs at a server until a time.
type ending struct {
	at       time.Duration
	server   int
	instance int
}

// endings is a heap of requests, the first to end at its top.
type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Orders that may run only once and must be answered within a fraction of a second meet few servers with few slots behind many
// instances, each of which sends too little to see the others' requests. A server must hardly ever get more requests than it
// has slots, although every instance decides alone.
func TestUrgentOrdersOfManyInstances(t *testing.T) {
	tests := []struct {
		name                      string
		instances, servers, slots int
		perSecond                 float64
		service                   time.Duration
	}{
		{"80 instances, 3 servers, 33 orders a second", 80, 3, 6, 33, 15 * time.Millisecond},
		{"195 instances, 5 servers, 59 orders a second", 195, 5, 6, 59, 60 * time.Millisecond},
	}
	const requests, zones = 20000, 3
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 7))
			var servers []backend.Server
			for i := range test.servers {
				servers = append(servers, backend.Server{ID: fmt.Sprint(i), Zone: fmt.Sprint(i % zones), Slots: test.slots})
			}
			balancers := make([]*Balancer, test.instances)
			for i := range balancers {
				balancers[i] = New(Config{Random: random.Float64})
			}
			running, busy := make([]int, test.servers), &endings{}
			now, start, queued := time.Duration(0), time.Unix(0, 0), 0
			for range requests {
				now += time.Duration(random.ExpFloat64() / test.perSecond * float64(time.Second))
				for busy.Len() > 0 && (*busy)[0].at <= now {
					ended := heap.Pop(busy).(ending)
					running[ended.server]--
					balancers[ended.instance].Ended(servers[ended.server].ID)
					balancers[ended.instance].UpdateLoad(start.Add(ended.at), servers[ended.server].ID, running[ended.server])
				}
				i := random.IntN(test.instances)
				chosen, ok := balancers[i].Choose(start.Add(now), servers, fmt.Sprint(i%zones), nil)
				if !ok {
					t.Fatal("got no server, want one")
				}
				var server int
				if _, err := fmt.Sscan(chosen.ID, &server); err != nil {
					t.Fatal(err)
				}
				balancers[i].Started(chosen.ID)
				running[server]++
				if running[server] > test.slots {
					queued++
				}
				heap.Push(busy, ending{at: now + test.service, server: server, instance: i})
			}
			if got, want := float64(queued)/requests, 0.01; got > want {
				t.Errorf("got %.3f of the orders behind others, want at most %.3f", got, want)
			}
		})
	}
}
