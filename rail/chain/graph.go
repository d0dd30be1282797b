package chain

import "sort"

// segment is a range of layers that one backend server can run as a stage.
type segment struct {
	// server is the index of the backend server in the Picker.
	server int
	// to is the index of the boundary where the segment ends.
	to int
}

// graph holds the segments of one model version; it changes only with ranges, versions and usability.
type graph struct {
	version string
	// bounds are the layers at which stages can begin or end, in order.
	bounds []int
	// from lists the segments by the boundary where they begin; each lies on a chain that covers every layer.
	from [][]segment
}

// newGraph returns the graph of the servers that hold the version, and false if no chain covers every layer.
func newGraph(servers []*state, version string, layers int) (g *graph, ok bool) {
	g = &graph{version: version, bounds: boundaries(servers, version, layers)}
	index := make(map[int]int, len(g.bounds))
	for i, bound := range g.bounds {
		index[bound] = i
	}
	g.from = make([][]segment, len(g.bounds))
	for i, server := range servers {
		if server.usable && server.version == version {
			g.add(i, server, index)
		}
	}
	g.prune()
	return g, len(g.from[0]) > 0
}

// boundaries returns the layers where a usable server of the version begins or ends, with 0 and layers.
func boundaries(servers []*state, version string, layers int) []int {
	seen := map[int]bool{0: true, layers: true}
	for _, server := range servers {
		if server.usable && server.version == version && server.last <= layers {
			seen[server.first], seen[server.last] = true, true
		}
	}
	bounds := make([]int, 0, len(seen))
	for bound := range seen {
		bounds = append(bounds, bound)
	}
	sort.Ints(bounds)
	return bounds
}

// add adds the segments that the server can run: its whole range, and parts of it if its engine runs parts.
func (g *graph) add(i int, server *state, index map[int]int) {
	first, ok := index[server.first]
	last, found := index[server.last]
	if !ok || !found || first >= last {
		return
	}
	if !server.partial {
		g.from[first] = append(g.from[first], segment{server: i, to: last})
		return
	}
	for begin := first; begin < last; begin++ {
		for end := begin + 1; end <= last; end++ {
			g.from[begin] = append(g.from[begin], segment{server: i, to: end})
		}
	}
}

// prune drops the segments from which the last layer cannot be reached, or which no chain reaches.
func (g *graph) prune() {
	last := len(g.bounds) - 1
	reaches := make([]bool, len(g.bounds))
	reaches[last] = true
	for i := last - 1; i >= 0; i-- {
		g.keep(i, func(s segment) bool { return reaches[s.to] })
		reaches[i] = len(g.from[i]) > 0
	}
	reached := make([]bool, len(g.bounds))
	reached[0] = true
	for i := range g.from {
		g.keep(i, func(segment) bool { return reached[i] })
		for _, s := range g.from[i] {
			reached[s.to] = true
		}
	}
}

func (g *graph) keep(i int, wanted func(segment) bool) {
	kept := g.from[i][:0]
	for _, s := range g.from[i] {
		if wanted(s) {
			kept = append(kept, s)
		}
	}
	g.from[i] = kept
}

// undivided reports whether the segment is the whole range of its server.
func (g *graph) undivided(server *state, begin int, s segment) bool {
	return g.bounds[begin] == server.first && g.bounds[s.to] == server.last
}
