package table

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// RowType names the table that a row belongs to.
type RowType string

const (
	// RouteRow is the sort of a row of the table of routes.
	RouteRow RowType = "route"
	// PoolRow is the sort of a row of the table of pools.
	PoolRow RowType = "pool"
	// ServerRow is the sort of one backend server within a pool.
	ServerRow RowType = "server"
)

// Row names a route, a pool, or a backend server within a pool.
type Row struct {
	// Type tells what the row is.
	Type RowType `json:"sort"`
	// Pool names the pool of a backend server; empty for other rows.
	Pool string `json:"pool,omitempty"`
	// Name is the name of the row.
	Name string `json:"name"`
}

// String returns the row as people write it, such as "route bookings" or "server mill/m1".
func (r Row) String() string {
	if r.Type == ServerRow {
		return fmt.Sprintf("%s %s/%s", r.Type, r.Pool, r.Name)
	}
	return fmt.Sprintf("%s %s", r.Type, r.Name)
}

// Content is the content of one row; the field of the row's sort is set, or none if the row does not exist.
type Content struct {
	// Route is the content of a route.
	Route *Route `json:"route,omitempty"`
	// Pool is the content of a pool with its backend servers.
	Pool *Pool `json:"pool,omitempty"`
	// Server is the content of a backend server within a pool.
	Server *Server `json:"server,omitempty"`
}

// Version returns the version of the content, zero if there is none.
func (c Content) Version() uint64 {
	switch {
	case c.Route != nil:
		return c.Route.Version
	case c.Pool != nil:
		return c.Pool.Version
	case c.Server != nil:
		return c.Server.Version
	}
	return 0
}

// Action is what an operation does to its row.
type Action string

const (
	// Put creates or replaces the row.
	Put Action = "put"
	// Delete removes the row.
	Delete Action = "delete"
	// Leave marks a backend server as leaving.
	Leave Action = "leave"
)

// Operation is a change to one row.
type Operation struct {
	// Action is what happens to the row.
	Action Action `json:"action"`
	// Row names the row.
	Row Row `json:"row"`
	// Version is the version that the row must have; zero means that it must not exist.
	Version uint64 `json:"version,omitempty"`
	// Content is the new content for Put.
	Content
}

// String returns the operation as history shows it.
func (o Operation) String() string { return string(o.Action) + " " + o.Row.String() }

// PutRoute returns the operation that writes a route over the version of its row.
func PutRoute(route Route, version uint64) Operation {
	route.Version = 0
	return Operation{Action: Put, Row: Row{Type: RouteRow, Name: route.Name}, Version: version, Content: Content{Route: &route}}
}

// PutPool returns the operation that writes a pool over the version of its row.
func PutPool(pool Pool, version uint64) Operation {
	pool.Version = 0
	return Operation{Action: Put, Row: Row{Type: PoolRow, Name: pool.Name}, Version: version, Content: Content{Pool: &pool}}
}

// PutServer returns the operation that writes a backend server of a pool over the version of its entry.
func PutServer(pool string, server Server, version uint64) Operation {
	server.Version = 0
	return Operation{Action: Put, Row: Row{Type: ServerRow, Pool: pool, Name: server.Name}, Version: version, Content: Content{Server: &server}}
}

// Edit is a set of operations that take effect together or not at all.
type Edit struct {
	// ID identifies the edit and is never used for another one.
	ID string `json:"id"`
	// Author names the operator.
	Author string `json:"author,omitempty"`
	// Operations are the changes; each row occurs once.
	Operations []Operation `json:"operations"`
}

// RowConflict is a row that changed since the edit was made.
type RowConflict struct {
	// Row names the row.
	Row Row `json:"row"`
	// Expected is the version that the edit was made for.
	Expected uint64 `json:"expected"`
	// Found is the version of the row now, zero if it does not exist.
	Found uint64 `json:"found"`
	// Yours is the content that the edit wanted, empty for a deletion.
	Yours Content `json:"yours"`
	// Theirs is the content of the row now.
	Theirs Content `json:"theirs"`
}

// ConflictError is the error of an edit whose rows changed since it was made.
type ConflictError struct {
	// Rows lists the rows that changed.
	Rows []RowConflict `json:"rows"`
}

// Error names the rows that changed.
func (c *ConflictError) Error() string {
	names := make([]string, 0, len(c.Rows))
	for _, clash := range c.Rows {
		names = append(names, fmt.Sprintf("%s is at version %d, not %d", clash.Row, clash.Found, clash.Expected))
	}
	return "rows changed meanwhile: " + strings.Join(names, "; ")
}

// ValidationError is the error of an edit that would leave invalid tables.
type ValidationError struct {
	// Problems lists every fault.
	Problems []Problem `json:"problems"`
}

// Error returns every fault on one line.
func (r *ValidationError) Error() string {
	lines := make([]string, 0, len(r.Problems))
	for _, problem := range r.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "; ")
}

// Apply returns the next generation of the tables with the edit in it; the error is a ConflictError or a ValidationError.
func Apply(tables *Tables, edit Edit) (*Tables, error) {
	next := tables.clone()
	next.Generation++
	if problems := edit.problems(); len(problems) > 0 {
		return nil, &ValidationError{Problems: problems}
	}
	if clashes := next.clashes(edit); len(clashes) > 0 {
		return nil, &ConflictError{Rows: clashes}
	}
	for _, operation := range edit.Operations {
		if problem := next.perform(operation); problem != nil {
			return nil, &ValidationError{Problems: []Problem{*problem}}
		}
	}
	if problems := next.Validate(); len(problems) > 0 {
		return nil, &ValidationError{Problems: problems}
	}
	return next, nil
}

// clone returns a copy whose rows are sorted and may be replaced; the backend servers within are shared.
func (t *Tables) clone() *Tables {
	next := &Tables{Generation: t.Generation, Routes: slices.Clone(t.Routes), Pools: slices.Clone(t.Pools)}
	slices.SortStableFunc(next.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(next.Pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	return next
}

// clashes returns the rows of the edit that have other versions than it expects.
func (t *Tables) clashes(edit Edit) []RowConflict {
	var clashes []RowConflict
	for _, operation := range edit.Operations {
		theirs := t.Find(operation.Row)
		if theirs.Version() != operation.Version {
			clashes = append(clashes, RowConflict{
				Row: operation.Row, Expected: operation.Version, Found: theirs.Version(),
				Yours: operation.Content, Theirs: theirs,
			})
		}
	}
	return clashes
}

// Find returns the content of the row in sorted tables, empty if it does not exist.
func (t *Tables) Find(row Row) Content {
	switch row.Type {
	case RouteRow:
		if i, ok := t.findRoute(row.Name); ok {
			return Content{Route: &t.Routes[i]}
		}
	case PoolRow:
		if i, ok := t.findPool(row.Name); ok {
			return Content{Pool: &t.Pools[i]}
		}
	case ServerRow:
		if i, ok := t.findPool(row.Pool); ok {
			if j, found := findServer(t.Pools[i].Servers, row.Name); found {
				return Content{Server: &t.Pools[i].Servers[j]}
			}
		}
	}
	return Content{}
}

func (t *Tables) findRoute(name string) (index int, ok bool) {
	return slices.BinarySearchFunc(t.Routes, name, func(r Route, name string) int { return cmp.Compare(r.Name, name) })
}

func (t *Tables) findPool(name string) (index int, ok bool) {
	return slices.BinarySearchFunc(t.Pools, name, func(p Pool, name string) int { return cmp.Compare(p.Name, name) })
}

func findServer(servers []Server, name string) (index int, ok bool) {
	return slices.BinarySearchFunc(servers, name, func(s Server, name string) int { return cmp.Compare(s.Name, name) })
}

// perform changes one row, whose version has been checked.
func (t *Tables) perform(operation Operation) *Problem {
	name := operation.Row.Name
	switch operation.Row.Type {
	case RouteRow:
		i, ok := t.findRoute(name)
		if operation.Action == Delete {
			t.Routes = slices.Delete(t.Routes, i, i+1)
			return nil
		}
		route := *operation.Route
		route.Workspaces = slices.Clone(route.Workspaces)
		route.Version = t.Generation
		t.Routes = place(t.Routes, i, ok, route)
	case PoolRow:
		i, ok := t.findPool(name)
		if operation.Action == Delete {
			t.Pools = slices.Delete(t.Pools, i, i+1)
			return nil
		}
		t.Pools = place(t.Pools, i, ok, renewed(*operation.Pool, t.Generation))
	case ServerRow:
		return t.performServer(operation)
	}
	return nil
}

// performServer changes one backend server and so the version of its pool.
func (t *Tables) performServer(operation Operation) *Problem {
	p, ok := t.findPool(operation.Row.Pool)
	if !ok {
		return &Problem{operation.Row.String(), "pool", fmt.Sprintf("pool %q does not exist; add it first", operation.Row.Pool)}
	}
	pool := &t.Pools[p]
	pool.Servers = slices.Clone(pool.Servers)
	pool.Version = t.Generation
	i, ok := findServer(pool.Servers, operation.Row.Name)
	switch operation.Action {
	case Delete:
		pool.Servers = slices.Delete(pool.Servers, i, i+1)
	case Leave:
		pool.Servers[i].Leaving = true
		pool.Servers[i].Version = t.Generation
	case Put:
		server := *operation.Server
		server.Version = t.Generation
		pool.Servers = place(pool.Servers, i, ok, server)
	}
	return nil
}

// place replaces the value at the index, or inserts it there.
func place[T any](values []T, index int, replace bool, value T) []T {
	if replace {
		values[index] = value
		return values
	}
	return slices.Insert(values, index, value)
}

// renewed returns a copy of the pool with sorted backend servers, all of the generation.
func renewed(pool Pool, generation uint64) Pool {
	pool.Version = generation
	pool.Servers = slices.Clone(pool.Servers)
	slices.SortStableFunc(pool.Servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	for i := range pool.Servers {
		pool.Servers[i].Version = generation
	}
	return pool
}
