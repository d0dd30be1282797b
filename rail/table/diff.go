package table

import "slices"

// Diff returns the operations that turn one generation into another: first those on pools and backend servers, then
// those on routes. Deletions of pools, of routes, and of backend servers within a pool follow the puts of the same
// kind.
func Diff(from, to *Tables) []Operation {
	before, after := from.copyWithSortedRows(), to.copyWithSortedRows()
	var operations []Operation
	for _, pool := range after.Pools {
		old := before.Find(RowKey{Type: PoolRow, Name: pool.Name}).Pool
		switch {
		case old == nil:
			operations = append(operations, PutPool(pool, 0))
		case old.Kind != pool.Kind || old.Layers != pool.Layers:
			operations = append(operations, PutPool(pool, old.Version))
		default:
			// A pool that differs only in its servers gets one operation for each changed server, so that edits to
			// different servers do not conflict.
			operations = append(operations, diffServers(*old, pool)...)
		}
	}
	for _, pool := range before.Pools {
		if _, ok := after.poolIndex(pool.Name); !ok {
			operations = append(operations, Operation{Action: Delete, Row: RowKey{Type: PoolRow, Name: pool.Name}, Version: pool.Version})
		}
	}
	for _, route := range after.Routes {
		old := before.Find(RowKey{Type: RouteRow, Name: route.Name}).Route
		if old == nil {
			operations = append(operations, PutRoute(route, 0))
		} else if !sameRoute(*old, route) {
			operations = append(operations, PutRoute(route, old.Version))
		}
	}
	for _, route := range before.Routes {
		if _, ok := after.routeIndex(route.Name); !ok {
			operations = append(operations, Operation{Action: Delete, Row: RowKey{Type: RouteRow, Name: route.Name}, Version: route.Version})
		}
	}
	return operations
}

// diffServers returns the operations that turn the backend servers of one pool into those of another.
func diffServers(before, after Pool) []Operation {
	var operations []Operation
	previous := make(map[string]Server, len(before.Servers))
	for _, server := range before.Servers {
		previous[server.Name] = server
	}
	kept := make(map[string]bool, len(after.Servers))
	for _, server := range after.Servers {
		kept[server.Name] = true
		old := previous[server.Name]
		version := old.Version
		old.Version, server.Version = 0, 0
		if old != server {
			operations = append(operations, PutServer(before.Name, server, version))
		}
	}
	for _, server := range before.Servers {
		if !kept[server.Name] {
			row := RowKey{Type: ServerRow, Pool: before.Name, Name: server.Name}
			operations = append(operations, Operation{Action: Delete, Row: row, Version: server.Version})
		}
	}
	return operations
}

// sameRoute reports whether the routes, which have the same name, are equal apart from their versions.
func sameRoute(a, b Route) bool {
	return a.Model == b.Model && a.Prefix == b.Prefix && slices.Equal(a.Workspaces, b.Workspaces) &&
		a.Pool == b.Pool && a.Priority == b.Priority && a.Idempotent == b.Idempotent && a.TimeoutMS == b.TimeoutMS
}
