package chain

import "sort"

// segment is a range of layers that one backend server can run as a stage; it begins at the boundary that lists it.
type segment struct {
	// server is the index of the backend server in Picker.servers.
	server int
	// end is the index in graph.boundaries of the boundary where the segment ends.
	end int
}

// graph holds the segments of one model version; Picker.Update describes when it is rebuilt.
type graph struct {
	version string
	// boundaries contains the layers at which stages can begin or end, in ascending order.
	boundaries []int
	// segmentsFrom lists the segments by the index of the boundary where they begin; each is part of a path from the
	// first boundary to the last.
	segmentsFrom [][]segment
}

// newGraph returns the graph of the usable servers with the version, and false if no chain covers every layer.
func newGraph(servers []*serverState, version string, layers int) (g *graph, ok bool) {
	g = &graph{version: version, boundaries: findBoundaries(servers, version, layers)}
	index := make(map[int]int, len(g.boundaries))
	for i, layer := range g.boundaries {
		index[layer] = i
	}
	g.segmentsFrom = make([][]segment, len(g.boundaries))
	for i, server := range servers {
		if server.usable && server.version == version {
			g.addServer(i, server, index)
		}
	}
	g.prune()
	return g, len(g.segmentsFrom[0]) > 0
}

// findBoundaries returns 0, layers and the layers where the range of a usable server with the version begins or ends.
func findBoundaries(servers []*serverState, version string, layers int) []int {
	seen := map[int]bool{0: true, layers: true}
	for _, server := range servers {
		if server.usable && server.version == version && server.last <= layers {
			seen[server.first], seen[server.last] = true, true
		}
	}
	boundaries := make([]int, 0, len(seen))
	for layer := range seen {
		boundaries = append(boundaries, layer)
	}
	sort.Ints(boundaries)
	return boundaries
}

// addServer adds the segments that the server can run: its whole range and, if its engine runs parts of the range, each
// part between two boundaries.
func (g *graph) addServer(i int, server *serverState, index map[int]int) {
	first, ok := index[server.first]
	last, found := index[server.last]
	if !ok || !found || first >= last {
		return
	}
	if !server.partial {
		g.segmentsFrom[first] = append(g.segmentsFrom[first], segment{server: i, end: last})
		return
	}
	for begin := first; begin < last; begin++ {
		for end := begin + 1; end <= last; end++ {
			g.segmentsFrom[begin] = append(g.segmentsFrom[begin], segment{server: i, end: end})
		}
	}
}

// prune removes the segments that are not part of a path from the first boundary to the last.
func (g *graph) prune() {
	last := len(g.boundaries) - 1
	reachesEnd := make([]bool, len(g.boundaries))
	reachesEnd[last] = true
	for i := last - 1; i >= 0; i-- {
		g.filter(i, func(s segment) bool { return reachesEnd[s.end] })
		reachesEnd[i] = len(g.segmentsFrom[i]) > 0
	}
	reachable := make([]bool, len(g.boundaries))
	reachable[0] = true
	for i := range g.segmentsFrom {
		g.filter(i, func(segment) bool { return reachable[i] })
		for _, s := range g.segmentsFrom[i] {
			reachable[s.end] = true
		}
	}
}

// filter keeps the segments from boundary i for which keep returns true.
func (g *graph) filter(i int, keep func(segment) bool) {
	kept := g.segmentsFrom[i][:0]
	for _, s := range g.segmentsFrom[i] {
		if keep(s) {
			kept = append(kept, s)
		}
	}
	g.segmentsFrom[i] = kept
}

// isWholeRange reports whether the segment is the whole range of its server.
func (g *graph) isWholeRange(server *serverState, boundary int, s segment) bool {
	return g.boundaries[boundary] == server.first && g.boundaries[s.end] == server.last
}
