package experiment

import "math"

// pipe is an edge of a flow graph.
type pipe struct {
	from, to int
	room     float64
}

// maxFlow returns the greatest flow from node 0 to the last node, by augmenting paths.
func maxFlow(nodes int, pipes []pipe) (flow float64) {
	room := make([][]float64, nodes)
	for i := range room {
		room[i] = make([]float64, nodes)
	}
	for _, p := range pipes {
		room[p.from][p.to] += p.room
	}
	for {
		before := path(room)
		if before[nodes-1] < 0 {
			return flow
		}
		least := math.Inf(1)
		for node := nodes - 1; node != 0; node = before[node] {
			least = min(least, room[before[node]][node])
		}
		for node := nodes - 1; node != 0; node = before[node] {
			room[before[node]][node] -= least
			room[node][before[node]] += least
		}
		flow += least
	}
}

// path returns for each node the one before it on a shortest path with room, and -1 where there is none.
func path(room [][]float64) (before []int) {
	before = make([]int, len(room))
	for i := range before {
		before[i] = -1
	}
	queue := []int{0}
	for len(queue) > 0 {
		node := queue[0]
		queue = queue[1:]
		for next, left := range room[node] {
			if next != 0 && before[next] < 0 && left > 1e-9 {
				before[next] = node
				queue = append(queue, next)
			}
		}
	}
	return before
}
