package table

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Problem is one error found in the tables or in an edit.
type Problem struct {
	// Row names the invalid row, such as "route bookings", or is "tables" or "edit".
	Row string `json:"row"`
	// Field names the invalid field.
	Field string `json:"field"`
	// Message describes the problem and how to correct it.
	Message string `json:"message"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: %s", p.Row, p.Field, p.Message)
}

// Validate returns every problem found in the tables; valid tables have none.
func (t *Tables) Validate() []Problem {
	problems := t.sizeProblems()
	seenServers := make(map[string]Server)
	pools := make(map[string]Pool, len(t.Pools))
	for _, pool := range t.Pools {
		if _, ok := pools[pool.Name]; ok {
			problems = append(problems, Problem{"pool " + pool.Name, "name", "another pool has this name; rename one of them"})
		}
		pools[pool.Name] = pool
		problems = append(problems, pool.problems()...)
		problems = append(problems, pool.mismatchProblems(seenServers)...)
	}
	names := make(map[string]bool, len(t.Routes))
	matches := make(map[string]string, len(t.Routes))
	for _, route := range t.Routes {
		row := "route " + route.Name
		if names[route.Name] {
			problems = append(problems, Problem{row, "name", "another route has this name; rename one of them"})
		}
		names[route.Name] = true
		problems = append(problems, route.problems(pools)...)
		for _, key := range route.matchKeys() {
			if other, ok := matches[key]; ok && other != route.Name {
				problems = append(problems, Problem{row, "match", fmt.Sprintf("overlaps with route %q; narrow one of them", other)})
			}
			matches[key] = route.Name
		}
	}
	return problems
}

// sizeProblems returns a problem for each limit that the tables exceed.
func (t *Tables) sizeProblems() []Problem {
	var problems []Problem
	if len(t.Routes) > MaxRows || len(t.Pools) > MaxRows {
		problems = append(problems, Problem{"tables", "rows", fmt.Sprintf("%d routes and %d pools exceed %d each; remove some", len(t.Routes), len(t.Pools), MaxRows)})
	}
	report := func(row string, size int) {
		if !utf8.ValidString(row) {
			problems = append(problems, Problem{strconv.Quote(row), "name", "is not UTF-8; write it as UTF-8"})
		}
		if size > MaxRowBytes {
			problems = append(problems, Problem{row, "size", fmt.Sprintf("%d bytes exceed %d; split the row", size, MaxRowBytes)})
		}
	}
	for _, route := range t.Routes {
		report("route "+route.Name, route.maxEncodedSize())
	}
	for _, pool := range t.Pools {
		report("pool "+pool.Name, pool.maxEncodedSize())
	}
	return problems
}

// rowOverhead is an upper bound of the size of the numbers and field keys of an encoded row or list entry, in bytes.
const rowOverhead = 64

// maxEncodedSize returns an upper bound of the encoded size in bytes.
func (r Route) maxEncodedSize() int {
	size := rowOverhead + len(r.Name) + len(r.Model) + len(r.Prefix) + len(r.Pool)
	for _, workspace := range r.Workspaces {
		size += rowOverhead + len(workspace)
	}
	return size
}

// maxEncodedSize returns an upper bound of the encoded size in bytes.
func (p Pool) maxEncodedSize() int {
	size := rowOverhead + len(p.Name) + len(p.Kind)
	for _, server := range p.Servers {
		size += rowOverhead + len(server.Name) + len(server.Address) + len(server.Zone)
	}
	return size
}

// mismatchProblems returns a problem for each backend server that has another address or zone in an
// earlier pool, and adds the pool's backend servers to seenServers.
func (p Pool) mismatchProblems(seenServers map[string]Server) []Problem {
	var problems []Problem
	for _, server := range p.Servers {
		other, ok := seenServers[server.Name]
		if ok && (other.Address != server.Address || other.Zone != server.Zone) {
			message := fmt.Sprintf("%q is at %s in zone %q here and at %s in zone %q in another pool; give it one place or two names",
				server.Name, server.Address, server.Zone, other.Address, other.Zone)
			problems = append(problems, Problem{"pool " + p.Name, "servers", message})
		}
		seenServers[server.Name] = server
	}
	return problems
}

// matchKeys returns one key for each workspace to which the route is limited, or a single key if it is for all
// workspaces. Two routes overlap if they have a key in common.
func (r Route) matchKeys() []string {
	base := r.Model + "\x00" + r.Prefix + "\x00"
	if len(r.Workspaces) == 0 {
		return []string{base}
	}
	keys := make([]string, 0, len(r.Workspaces))
	for _, workspace := range r.Workspaces {
		keys = append(keys, base+workspace)
	}
	return keys
}

func (r Route) problems(pools map[string]Pool) []Problem {
	var problems []Problem
	row := "route " + r.Name
	report := func(field, format string, args ...any) {
		problems = append(problems, Problem{row, field, fmt.Sprintf(format, args...)})
	}
	if r.Name == "" {
		report("name", "is empty; give the route a name")
	}
	if (r.Model == "") == (r.Prefix == "") {
		report("match", "set exactly one of model and prefix")
	}
	seen := make(map[string]bool, len(r.Workspaces))
	for _, workspace := range r.Workspaces {
		if workspace == "" || seen[workspace] {
			report("workspaces", "name %q is empty or used twice; remove it", workspace)
		}
		seen[workspace] = true
	}
	if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
		report("prefix", "%q does not begin with a slash; write %q", r.Prefix, "/"+r.Prefix)
	}
	if r.Priority < 0 || r.Priority > MaxPriority {
		report("priority", "%d is out of range; use 0 to %d", r.Priority, MaxPriority)
	}
	if r.TimeoutMS < 0 {
		report("deadline_ms", "%d is negative; use 0 for the default", r.TimeoutMS)
	}
	pool, ok := pools[r.Pool]
	if !ok {
		report("pool", "pool %q does not exist; add it or name another", r.Pool)
		return problems
	}
	if (r.Model != "") != (pool.Kind == ModelPool) {
		report("pool", "pool %q is of kind %q, which does not serve this match", r.Pool, pool.Kind)
	}
	return problems
}

func (p Pool) problems() []Problem {
	var problems []Problem
	row := "pool " + p.Name
	report := func(field, format string, args ...any) {
		problems = append(problems, Problem{row, field, fmt.Sprintf(format, args...)})
	}
	if p.Name == "" {
		report("name", "is empty; give the pool a name")
	}
	if p.Kind != ModelPool && p.Kind != PlainPool {
		report("kind", "%q is unknown; use %q or %q", p.Kind, ModelPool, PlainPool)
	}
	if p.Kind == ModelPool && p.Layers <= 0 {
		report("layers", "%d is not positive; give the number of layers of the model", p.Layers)
	}
	names := make(map[string]bool, len(p.Servers))
	for _, server := range p.Servers {
		if server.Name == "" || names[server.Name] {
			report("servers", "name %q is empty or used twice", server.Name)
		}
		names[server.Name] = true
		if _, _, err := net.SplitHostPort(server.Address); err != nil {
			report("servers", "address %q of %q is not host:port", server.Address, server.Name)
		}
	}
	return problems
}
