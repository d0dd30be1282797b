package table

import "fmt"

// Limits of an edit.
const (
	// MaxOperations is the greatest number of operations in one edit.
	MaxOperations = 20000
	// MaxIDBytes is the greatest length of the id of an edit.
	MaxIDBytes = 64
	// MaxAuthorBytes is the greatest length of the name of an operator.
	MaxAuthorBytes = 64
)

// problems returns the faults of the edit that do not depend on the tables.
func (e Edit) problems() []Problem {
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
	seen := make(map[Row]bool, len(e.Operations))
	for _, operation := range e.Operations {
		if seen[operation.Row] || seen[operation.pool()] {
			report(operation.Row.String(), "operations", "occurs twice in the edit; join the operations into one")
		}
		seen[operation.Row] = true
		if message := operation.fault(); message != "" {
			report(operation.Row.String(), "operations", "%s", message)
		}
	}
	return append(problems, e.split()...)
}

// pool returns the row of the pool that an operation on a backend server lies within, or the row itself.
func (o Operation) pool() Row {
	if o.Row.Type != ServerRow {
		return o.Row
	}
	return Row{Type: PoolRow, Name: o.Row.Pool}
}

// split returns a problem for each backend server that precedes an operation on its whole pool.
func (e Edit) split() []Problem {
	var problems []Problem
	within := make(map[string]bool)
	for _, operation := range e.Operations {
		if operation.Row.Type == ServerRow {
			within[operation.Row.Pool] = true
		}
		if operation.Row.Type == PoolRow && within[operation.Row.Name] {
			problems = append(problems, Problem{operation.Row.String(), "operations", "the edit changes the pool and a server in it; join the operations into one"})
		}
	}
	return problems
}

// fault says what is wrong with the form of the operation, empty if nothing is.
func (o Operation) fault() string {
	switch o.Row.Type {
	case RouteRow, PoolRow, ServerRow:
	default:
		return fmt.Sprintf("sort %q is unknown; use %q, %q or %q", o.Row.Type, RouteRow, PoolRow, ServerRow)
	}
	switch o.Action {
	case Put:
		return o.putFault()
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

// putFault says what is wrong with the content of a put.
func (o Operation) putFault() string {
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
