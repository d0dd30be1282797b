package table

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
)

// testTables returns valid tables with the given number of routes and one plain pool of two backend servers.
func testTables(routes int) *Tables {
	tables := &Tables{Generation: 7, Pools: []Pool{{Name: "mill", Kind: PlainPool, Version: 3, Servers: []Server{
		{Name: "m1", Address: "127.0.0.1:1", Zone: "a", Version: 2},
		{Name: "m2", Address: "127.0.0.1:2", Zone: "b", Version: 3},
	}}}}
	for i := range routes {
		name := fmt.Sprintf("r%05d", i)
		tables.Routes = append(tables.Routes, Route{Name: name, Prefix: "/" + name, Pool: "mill", Version: 1})
	}
	return tables
}

// TestApply guards against an edit that is applied to changed rows or makes the tables invalid, and against a change of
// the given tables in place.
func TestApply(t *testing.T) {
	server := RowKey{Type: ServerRow, Pool: "mill", Name: "m1"}
	tests := []struct {
		name       string
		operations []Operation
		want       string
	}{
		{"put new route", []Operation{PutRoute(Route{Name: "new", Prefix: "/new", Pool: "mill"}, 0)}, "accepted"},
		{"put existing route without version", []Operation{PutRoute(Route{Name: "r00000", Prefix: "/x", Pool: "mill"}, 0)}, "conflict"},
		{"put with older version", []Operation{PutPool(Pool{Name: "mill", Kind: PlainPool}, 2)}, "conflict"},
		{"delete pool in use", []Operation{{Action: Delete, Row: RowKey{Type: PoolRow, Name: "mill"}, Version: 3}}, "refused"},
		{"route to missing pool", []Operation{PutRoute(Route{Name: "new", Prefix: "/new", Pool: "none"}, 0)}, "refused"},
		{"overlapping routes", []Operation{PutRoute(Route{Name: "new", Prefix: "/r00000", Pool: "mill"}, 0)}, "refused"},
		{"same row twice", []Operation{PutRoute(Route{Name: "n", Prefix: "/n", Pool: "mill"}, 0), PutRoute(Route{Name: "n", Prefix: "/m", Pool: "mill"}, 0)}, "refused"},
		{"leave", []Operation{{Action: Leave, Row: server, Version: 2}}, "accepted"},
		{"leave without version", []Operation{{Action: Leave, Row: server}}, "refused"},
		{"server and its pool", []Operation{{Action: Leave, Row: server, Version: 2}, PutPool(Pool{Name: "mill", Kind: PlainPool}, 3)}, "refused"},
		{"server in missing pool", []Operation{PutServer("none", Server{Name: "m9", Address: "127.0.0.1:9"}, 0)}, "refused"},
		{"delete last route and pool", []Operation{
			{Action: Delete, Row: RowKey{Type: RouteRow, Name: "r00000"}, Version: 1},
			{Action: Delete, Row: RowKey{Type: PoolRow, Name: "mill"}, Version: 3},
		}, "accepted"},
		{"unknown action", []Operation{{Action: "rename", Row: server, Version: 2}}, "refused"},
		{"no operation", nil, "refused"},
		{"not UTF-8", []Operation{PutRoute(Route{Name: "\xff", Prefix: "/n", Pool: "mill"}, 0)}, "refused"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tables := testTables(1)
			next, err := Apply(tables, Edit{ID: "e", Operations: test.operations})
			if got := applyOutcome(err); got != test.want {
				t.Fatalf("Apply = %q (%v), want %q", got, err, test.want)
			}
			if want := testTables(1); !reflect.DeepEqual(tables, want) {
				t.Errorf("tables changed in place: got %+v, want %+v", tables, want)
			}
			if err == nil && next.Generation != 8 {
				t.Errorf("generation: got %d, want 8", next.Generation)
			}
		})
	}
}

func applyOutcome(err error) string {
	var conflict *ConflictError
	var invalid *ValidationError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &invalid):
		return "refused"
	}
	return "error"
}

// TestApplyUpdatesVersions guards against a change of a backend server that leaves the version of its pool, or changes
// that of another server.
func TestApplyUpdatesVersions(t *testing.T) {
	edit := Edit{ID: "e", Operations: []Operation{{Action: Leave, Row: RowKey{Type: ServerRow, Pool: "mill", Name: "m2"}, Version: 3}}}
	next, err := Apply(testTables(0), edit)
	if err != nil {
		t.Fatal(err)
	}
	pool := next.Pools[0]
	got := []uint64{pool.Version, pool.Servers[0].Version, pool.Servers[1].Version}
	if want := []uint64{8, 2, 8}; !reflect.DeepEqual(got, want) {
		t.Errorf("versions of pool, m1, m2: got %v, want %v", got, want)
	}
	if !pool.Servers[1].Leaving {
		t.Error("leaving: got false, want true")
	}
}

// TestDiff guards against operations that do not turn the first tables into the second.
func TestDiff(t *testing.T) {
	changed := testTables(3)
	changed.Routes = append(changed.Routes[1:], Route{Name: "a", Prefix: "/a", Pool: "new"})
	changed.Routes[0].Priority = 4
	changed.Pools = append(changed.Pools, Pool{Name: "new", Kind: PlainPool})
	changed.Pools[0].Servers = []Server{{Name: "m1", Address: "127.0.0.1:1", Zone: "a", Leaving: true}, {Name: "m3", Address: "127.0.0.1:3"}}
	tests := []struct {
		name     string
		from, to *Tables
		want     []string
	}{
		{"equal tables", testTables(2), testTables(2), nil},
		{"from empty tables", &Tables{}, testTables(1), []string{"put pool mill", "put route r00000"}},
		{"to empty tables", testTables(1), &Tables{}, []string{"delete pool mill", "delete route r00000"}},
		{"several changes", testTables(3), changed, []string{"put server mill/m1", "put server mill/m3", "delete server mill/m2", "put pool new", "put route a", "put route r00001", "delete route r00000"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			operations := Diff(test.from, test.to)
			var got []string
			for _, operation := range operations {
				got = append(got, operation.String())
			}
			if !reflect.DeepEqual(got, test.want) {
				t.Fatalf("Diff: got %v, want %v", got, test.want)
			}
			if len(operations) == 0 {
				return
			}
			next, err := Apply(test.from, Edit{ID: "e", Operations: operations})
			if err != nil {
				t.Fatal(err)
			}
			if remaining := Diff(next, test.to); len(remaining) != 0 {
				t.Errorf("Diff after Apply: got %v, want none", remaining)
			}
		})
	}
}
