package experiment

import "math"

// edge is a directed edge of a flow graph.
type edge struct {
	from, to int
	capacity float64
}

// maxFlow returns the maximum flow from node 0 to the last node. It augments along shortest paths (Edmonds-Karp).
func maxFlow(nodes int, edges []edge) (flow float64) {
	residual := make([][]float64, nodes)
	for i := range residual {
		residual[i] = make([]float64, nodes)
	}
	for _, e := range edges {
		residual[e.from][e.to] += e.capacity
	}
	for {
		predecessors := shortestPath(residual)
		if predecessors[nodes-1] < 0 {
			return flow
		}
		bottleneck := math.Inf(1)
		for node := nodes - 1; node != 0; node = predecessors[node] {
			bottleneck = min(bottleneck, residual[predecessors[node]][node])
		}
		for node := nodes - 1; node != 0; node = predecessors[node] {
			residual[predecessors[node]][node] -= bottleneck
			residual[node][predecessors[node]] += bottleneck
		}
		flow += bottleneck
	}
}

// shortestPath returns for each node its predecessor on a shortest path from node 0 with residual capacity, or -1 if the
// node has no such path or is node 0. Capacities up to 1e-9 count as zero, to absorb rounding errors.
func shortestPath(residual [][]float64) (predecessors []int) {
	predecessors = make([]int, len(residual))
	for i := range predecessors {
		predecessors[i] = -1
	}
	queue := []int{0}
	for len(queue) > 0 {
		node := queue[0]
		queue = queue[1:]
		for next, capacity := range residual[node] {
			if next != 0 && predecessors[next] < 0 && capacity > 1e-9 {
				predecessors[next] = node
				queue = append(queue, next)
			}
		}
	}
	return predecessors
}
