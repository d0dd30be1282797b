package table

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// RowType is the type of a row.
type RowType string

const (
	// RouteRow is the type of a row of the table of routes.
	RouteRow RowType = "route"
	// PoolRow is the type of a row of the table of pools.
	PoolRow RowType = "pool"
	// ServerRow is the type of a backend server within a pool.
	ServerRow RowType = "server"
)

// RowKey identifies a route, a pool, or a backend server within a pool.
type RowKey struct {
	// Type is the type of the row.
	Type RowType `json:"sort"`
	// Pool is the name of the pool of a backend server; empty for other rows.
	Pool string `json:"pool,omitempty"`
	// Name is the name of the route, pool or backend server.
	Name string `json:"name"`
}

// String returns the row in the form "route bookings" or "server mill/m1".
func (r RowKey) String() string {
	if r.Type == ServerRow {
		return fmt.Sprintf("%s %s/%s", r.Type, r.Pool, r.Name)
	}
	return fmt.Sprintf("%s %s", r.Type, r.Name)
}

// Content is the content of one row. The field of the row's type is set, or none if the row does not exist.
type Content struct {
	// Route is the content of a row of type RouteRow.
	Route *Route `json:"route,omitempty"`
	// Pool is the content of a row of type PoolRow, with its backend servers.
	Pool *Pool `json:"pool,omitempty"`
	// Server is the content of a row of type ServerRow.
	Server *Server `json:"server,omitempty"`
}

// Version returns the version of the content, or zero if there is none.
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
	// Action is the kind of change.
	Action Action `json:"action"`
	// Row identifies the row.
	Row RowKey `json:"row"`
	// Version is the version that the row must have; zero means that it must not exist.
	Version uint64 `json:"version,omitempty"`
	// Content is the new content for Put.
	Content
}

// String returns the operation in the form used in summaries of edits, such as "put route bookings".
func (o Operation) String() string { return string(o.Action) + " " + o.Row.String() }

// PutRoute returns the operation that creates the route if version is zero, and otherwise replaces the row that has
// this version.
func PutRoute(route Route, version uint64) Operation {
	route.Version = 0
	return Operation{Action: Put, Row: RowKey{Type: RouteRow, Name: route.Name}, Version: version, Content: Content{Route: &route}}
}

// PutPool returns the operation that creates the pool if version is zero, and otherwise replaces the row that has this
// version.
func PutPool(pool Pool, version uint64) Operation {
	pool.Version = 0
	return Operation{Action: Put, Row: RowKey{Type: PoolRow, Name: pool.Name}, Version: version, Content: Content{Pool: &pool}}
}

// PutServer returns the operation that creates the backend server in the pool if version is zero, and otherwise
// replaces the row that has this version.
func PutServer(pool string, server Server, version uint64) Operation {
	server.Version = 0
	return Operation{Action: Put, Row: RowKey{Type: ServerRow, Pool: pool, Name: server.Name}, Version: version, Content: Content{Server: &server}}
}

// Edit is a set of operations that take effect together or not at all.
type Edit struct {
	// ID identifies the edit; it must not be reused for another one.
	ID string `json:"id"`
	// Author is the name of the operator.
	Author string `json:"author,omitempty"`
	// Operations lists the changes; each row occurs at most once.
	Operations []Operation `json:"operations"`
}

// RowConflict is a row that changed since the edit was made.
type RowConflict struct {
	// Row identifies the row.
	Row RowKey `json:"row"`
	// Expected is the version on which the edit was based.
	Expected uint64 `json:"expected"`
	// Found is the current version of the row, or zero if it does not exist.
	Found uint64 `json:"found"`
	// Yours is the content in the edit; it is empty unless the operation is a Put.
	Yours Content `json:"yours"`
	// Theirs is the current content of the row.
	Theirs Content `json:"theirs"`
}

// ConflictError is the error of an edit whose rows changed since it was made.
type ConflictError struct {
	// Rows lists the rows that changed.
	Rows []RowConflict `json:"rows"`
}

// Error lists the rows that changed with their versions.
func (e *ConflictError) Error() string {
	names := make([]string, 0, len(e.Rows))
	for _, conflict := range e.Rows {
		names = append(names, fmt.Sprintf("%s is at version %d, not %d", conflict.Row, conflict.Found, conflict.Expected))
	}
	return "rows changed meanwhile: " + strings.Join(names, "; ")
}

// ValidationError is the error of an edit that is malformed or would make the tables invalid.
type ValidationError struct {
	// Problems lists every problem found.
	Problems []Problem `json:"problems"`
}

// Error returns all problems on one line.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "; ")
}

// Apply returns the next generation of the tables with the edit applied. The error is a *ConflictError or a *ValidationError.
func Apply(tables *Tables, edit Edit) (*Tables, error) {
	next := tables.copyWithSortedRows()
	next.Generation++
	if problems := edit.staticProblems(); len(problems) > 0 {
		return nil, &ValidationError{Problems: problems}
	}
	if conflicts := next.conflicts(edit); len(conflicts) > 0 {
		return nil, &ConflictError{Rows: conflicts}
	}
	for _, operation := range edit.Operations {
		if problem := next.applyOperation(operation); problem != nil {
			return nil, &ValidationError{Problems: []Problem{*problem}}
		}
	}
	if problems := next.Validate(); len(problems) > 0 {
		return nil, &ValidationError{Problems: problems}
	}
	return next, nil
}

// copyWithSortedRows returns a copy with sorted rows. The slices of rows are copied; the slices within the rows are shared.
func (t *Tables) copyWithSortedRows() *Tables {
	next := &Tables{Generation: t.Generation, Routes: slices.Clone(t.Routes), Pools: slices.Clone(t.Pools)}
	slices.SortStableFunc(next.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(next.Pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	return next
}

// conflicts returns the rows whose versions differ from those on which the edit was based.
func (t *Tables) conflicts(edit Edit) []RowConflict {
	var found []RowConflict
	for _, operation := range edit.Operations {
		current := t.Find(operation.Row)
		if current.Version() != operation.Version {
			found = append(found, RowConflict{
				Row: operation.Row, Expected: operation.Version, Found: current.Version(),
				Yours: operation.Content, Theirs: current,
			})
		}
	}
	return found
}

// Find returns the content of the row, or an empty Content if it does not exist. The rows and the servers of each pool must be
// sorted by name.
func (t *Tables) Find(row RowKey) Content {
	switch row.Type {
	case RouteRow:
		if i, ok := t.routeIndex(row.Name); ok {
			return Content{Route: &t.Routes[i]}
		}
	case PoolRow:
		if i, ok := t.poolIndex(row.Name); ok {
			return Content{Pool: &t.Pools[i]}
		}
	case ServerRow:
		if i, ok := t.poolIndex(row.Pool); ok {
			if j, found := serverIndex(t.Pools[i].Servers, row.Name); found {
				return Content{Server: &t.Pools[i].Servers[j]}
			}
		}
	}
	return Content{}
}

// routeIndex returns the index of the route, or the index at which to insert it, and whether it exists.
func (t *Tables) routeIndex(name string) (index int, ok bool) {
	return slices.BinarySearchFunc(t.Routes, name, func(r Route, name string) int { return cmp.Compare(r.Name, name) })
}

// poolIndex returns the index of the pool, or the index at which to insert it, and whether it exists.
func (t *Tables) poolIndex(name string) (index int, ok bool) {
	return slices.BinarySearchFunc(t.Pools, name, func(p Pool, name string) int { return cmp.Compare(p.Name, name) })
}

// serverIndex returns the index of the backend server, or the index at which to insert it, and whether it exists.
func serverIndex(servers []Server, name string) (index int, ok bool) {
	return slices.BinarySearchFunc(servers, name, func(s Server, name string) int { return cmp.Compare(s.Name, name) })
}

// applyOperation changes one row in place; the caller has checked the row's version.
func (t *Tables) applyOperation(operation Operation) *Problem {
	name := operation.Row.Name
	switch operation.Row.Type {
	case RouteRow:
		i, ok := t.routeIndex(name)
		if operation.Action == Delete {
			t.Routes = slices.Delete(t.Routes, i, i+1)
			return nil
		}
		route := *operation.Route
		route.Workspaces = slices.Clone(route.Workspaces)
		route.Version = t.Generation
		t.Routes = putAt(t.Routes, i, ok, route)
	case PoolRow:
		i, ok := t.poolIndex(name)
		if operation.Action == Delete {
			t.Pools = slices.Delete(t.Pools, i, i+1)
			return nil
		}
		t.Pools = putAt(t.Pools, i, ok, sortedWithVersion(*operation.Pool, t.Generation))
	case ServerRow:
		return t.applyServerOperation(operation)
	}
	return nil
}

// applyServerOperation changes one backend server and sets the version of its pool to the new generation.
func (t *Tables) applyServerOperation(operation Operation) *Problem {
	p, ok := t.poolIndex(operation.Row.Pool)
	if !ok {
		return &Problem{operation.Row.String(), "pool", fmt.Sprintf("pool %q does not exist; add it first", operation.Row.Pool)}
	}
	pool := &t.Pools[p]
	pool.Servers = slices.Clone(pool.Servers)
	pool.Version = t.Generation
	i, ok := serverIndex(pool.Servers, operation.Row.Name)
	switch operation.Action {
	case Delete:
		pool.Servers = slices.Delete(pool.Servers, i, i+1)
	case Leave:
		pool.Servers[i].Leaving = true
		pool.Servers[i].Version = t.Generation
	case Put:
		server := *operation.Server
		server.Version = t.Generation
		pool.Servers = putAt(pool.Servers, i, ok, server)
	}
	return nil
}

// putAt replaces the value at the index if replace is true, and otherwise inserts it there.
func putAt[T any](values []T, index int, replace bool, value T) []T {
	if replace {
		values[index] = value
		return values
	}
	return slices.Insert(values, index, value)
}

// sortedWithVersion returns a copy of the pool with sorted backend servers, with all versions set to the generation.
func sortedWithVersion(pool Pool, generation uint64) Pool {
	pool.Version = generation
	pool.Servers = slices.Clone(pool.Servers)
	slices.SortStableFunc(pool.Servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	for i := range pool.Servers {
		pool.Servers[i].Version = generation
	}
	return pool
}
