package table

import "fmt"

// Limits of an edit.
const (
	// MaxOperations is the maximum number of operations in one edit.
	MaxOperations = 20000
	// MaxIDBytes is the maximum length of the ID of an edit in bytes.
	MaxIDBytes = 64
	// MaxAuthorBytes is the maximum length of the name of an operator in bytes.
	MaxAuthorBytes = 64
)

// staticProblems returns the problems of the edit that do not depend on the tables.
func (e Edit) staticProblems() []Problem {
	var problems []Problem
	report := func(row, field, format string, args ...any) {
		problems = append(problems, Problem{row, field, fmt.Sprintf(format, args...)})
	}
	if e.ID == "" || len(e.ID) > MaxIDBytes {
		report("edit", "id", "has %d bytes; use 1 to %d", len(e.ID), MaxIDBytes)
	}
	if len(e.Author) > MaxAuthorBytes {
		report("edit", "author", "has %d bytes; use at most %d", len(e.Author), MaxAuthorBytes)
	}
	if len(e.Operations) == 0 || len(e.Operations) > MaxOperations {
		report("edit", "operations", "has %d operations; use 1 to %d", len(e.Operations), MaxOperations)
	}
	seen := make(map[RowKey]bool, len(e.Operations))
	for _, operation := range e.Operations {
		if seen[operation.Row] || seen[operation.enclosingRow()] {
			report(operation.Row.String(), "operations", "occurs twice in the edit; join the operations into one")
		}
		seen[operation.Row] = true
		if message := operation.staticProblem(); message != "" {
			report(operation.Row.String(), "operations", "%s", message)
		}
	}
	return append(problems, e.poolAndServerProblems()...)
}

// enclosingRow returns the row of the pool that contains the operation's backend server, or the operation's row if that
// is a route or a pool.
func (o Operation) enclosingRow() RowKey {
	if o.Row.Type != ServerRow {
		return o.Row
	}
	return RowKey{Type: PoolRow, Name: o.Row.Pool}
}

// poolAndServerProblems returns a problem for each operation on a pool that follows an operation on one of its backend servers.
func (e Edit) poolAndServerProblems() []Problem {
	var problems []Problem
	poolsOfChangedServers := make(map[string]bool)
	for _, operation := range e.Operations {
		if operation.Row.Type == ServerRow {
			poolsOfChangedServers[operation.Row.Pool] = true
		}
		if operation.Row.Type == PoolRow && poolsOfChangedServers[operation.Row.Name] {
			problems = append(problems, Problem{operation.Row.String(), "operations", "the edit changes the pool and a server in it; join the operations into one"})
		}
	}
	return problems
}

// staticProblem returns what is wrong with the operation regardless of the tables, or an empty string.
func (o Operation) staticProblem() string {
	switch o.Row.Type {
	case RouteRow, PoolRow, ServerRow:
	default:
		return fmt.Sprintf("sort %q is unknown; use %q, %q or %q", o.Row.Type, RouteRow, PoolRow, ServerRow)
	}
	switch o.Action {
	case Put:
		return o.contentProblem()
	case Delete:
	case Leave:
		if o.Row.Type != ServerRow {
			return "only a backend server can be marked as leaving"
		}
	default:
		return fmt.Sprintf("action %q is unknown; use %q, %q or %q", o.Action, Put, Delete, Leave)
	}
	if o.Version == 0 {
		return "the row does not exist, or the edit does not give its version; read the row first"
	}
	return ""
}

// contentProblem returns what is wrong with the content of a put, or an empty string.
func (o Operation) contentProblem() string {
	name, count := "", 0
	if o.Route != nil && o.Row.Type == RouteRow {
		name, count = o.Route.Name, count+1
	}
	if o.Pool != nil && o.Row.Type == PoolRow {
		name, count = o.Pool.Name, count+1
	}
	if o.Server != nil && o.Row.Type == ServerRow {
		name, count = o.Server.Name, count+1
	}
	if count == 0 {
		return fmt.Sprintf("a put of a %s needs its content", o.Row.Type)
	}
	if name != o.Row.Name {
		return fmt.Sprintf("the content has the name %q; delete the row and put another to rename it", name)
	}
	return ""
}
