package command

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/comfreyrail/comfreyrail/rail/table"
)

// fetchTables returns the tables in force at the instance.
func (s *session) fetchTables() (*table.Tables, error) {
	tables := new(table.Tables)
	return tables, s.client.get("/tables", nil, tables)
}

// findRow returns the content and version of a row in force; the version is zero if the row does not exist.
func (s *session) findRow(row table.RowKey) (content table.Content, version uint64, err error) {
	tables, err := s.fetchTables()
	if err != nil {
		return content, 0, err
	}
	content = tables.Find(row)
	return content, content.Version(), nil
}

// deleteRow submits an edit that deletes the row at the version in force.
func (s *session) deleteRow(row table.RowKey) error {
	_, version, err := s.findRow(row)
	if err != nil {
		return err
	}
	if version == 0 {
		return exitErrorf(ExitAbsent, "%s does not exist; nothing was changed", row)
	}
	return s.submit([]table.Operation{{Action: table.Delete, Row: row, Version: version}}, false)
}

// expectedVersion returns the version given with the flag --version, or the one in force without the flag.
func expectedVersion(command *cobra.Command, given, inForce uint64) uint64 {
	if command.Flags().Changed("version") {
		return given
	}
	return inForce
}

func (s *session) routeCommand() *cobra.Command {
	command := &cobra.Command{Use: "route", Short: "Show, write or delete routes"}
	command.AddCommand(&cobra.Command{
		Use: "get [NAME]", Short: "Show one route or all", Args: cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, names []string) error { return s.getRoutes(names) },
	}, s.routeSetCommand(), &cobra.Command{
		Use: "delete NAME", Short: "Delete a route", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, names []string) error {
			return s.deleteRow(table.RowKey{Type: table.RouteRow, Name: names[0]})
		},
	})
	return command
}

func (s *session) getRoutes(names []string) error {
	tables, err := s.fetchTables()
	if err != nil {
		return err
	}
	routes := tables.Routes
	if len(names) > 0 {
		found := tables.Find(table.RowKey{Type: table.RouteRow, Name: names[0]}).Route
		if found == nil {
			return exitErrorf(ExitAbsent, "route %q does not exist; comfreyctl route get lists all", names[0])
		}
		routes = []table.Route{*found}
	}
	return s.printValue(routes, func() {
		s.printRow("NAME", "VERSION", "MATCH", "WORKSPACES", "POOL", "PRIORITY", "IDEMPOTENT", "DEADLINE")
		for _, route := range routes {
			s.printRow(route.Name, fmt.Sprint(route.Version), "model="+route.Model+" prefix="+route.Prefix, strings.Join(route.Workspaces, ","),
				route.Pool, fmt.Sprint(route.Priority), fmt.Sprint(route.Idempotent), route.Timeout().String())
		}
	})
}

func (s *session) routeSetCommand() *cobra.Command {
	var (
		fromFlags table.Route
		timeout   time.Duration
		version   uint64
	)
	command := &cobra.Command{
		Use: "set NAME", Short: "Write a route; fields whose flags are not given stay unchanged", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, names []string) error {
			content, inForce, err := s.findRow(table.RowKey{Type: table.RouteRow, Name: names[0]})
			if err != nil {
				return err
			}
			fromFlags.TimeoutMS = int(timeout.Milliseconds())
			route := table.Route{Name: names[0]}
			if content.Route != nil {
				route = *content.Route
			}
			mergeRoute(command, &route, fromFlags)
			return s.submit([]table.Operation{table.PutRoute(route, expectedVersion(command, version, inForce))}, false)
		},
	}
	flags := command.Flags()
	flags.StringVar(&fromFlags.Model, "model", "", "model that the route matches")
	flags.StringVar(&fromFlags.Prefix, "prefix", "", "path prefix that the route matches")
	flags.StringSliceVar(&fromFlags.Workspaces, "workspace", nil, "workspace that the route is limited to (repeatable)")
	flags.StringVar(&fromFlags.Pool, "pool", "", "pool that serves the route")
	flags.IntVar(&fromFlags.Priority, "priority", 0, "priority from 0 to 9; 9 is the most urgent")
	flags.BoolVar(&fromFlags.Idempotent, "idempotent", false, "repeating a request has no further effect")
	flags.DurationVar(&timeout, "deadline", 0, "maximum time for a request, 0 for the default")
	flags.Uint64Var(&version, "version", 0, "version that the row must have (default: the one in force)")
	return command
}

// mergeRoute copies the fields whose flags are given from fromFlags to route.
func mergeRoute(command *cobra.Command, route *table.Route, fromFlags table.Route) {
	changes := []struct {
		flag  string
		apply func()
	}{
		{"model", func() { route.Model = fromFlags.Model }},
		{"prefix", func() { route.Prefix = fromFlags.Prefix }},
		{"workspace", func() { route.Workspaces = fromFlags.Workspaces }},
		{"pool", func() { route.Pool = fromFlags.Pool }},
		{"priority", func() { route.Priority = fromFlags.Priority }},
		{"idempotent", func() { route.Idempotent = fromFlags.Idempotent }},
		{"deadline", func() { route.TimeoutMS = fromFlags.TimeoutMS }},
	}
	for _, change := range changes {
		if command.Flags().Changed(change.flag) {
			change.apply()
		}
	}
}

func (s *session) poolCommand() *cobra.Command {
	command := &cobra.Command{Use: "pool", Short: "Show, write or delete pools"}
	command.AddCommand(&cobra.Command{
		Use: "get [NAME]", Short: "Show one pool or all", Args: cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, names []string) error { return s.getPools(names) },
	}, s.poolSetCommand(), &cobra.Command{
		Use: "delete NAME", Short: "Delete a pool", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, names []string) error {
			return s.deleteRow(table.RowKey{Type: table.PoolRow, Name: names[0]})
		},
	})
	return command
}

func (s *session) getPools(names []string) error {
	tables, err := s.fetchTables()
	if err != nil {
		return err
	}
	pools := tables.Pools
	if len(names) > 0 {
		found := tables.Find(table.RowKey{Type: table.PoolRow, Name: names[0]}).Pool
		if found == nil {
			return exitErrorf(ExitAbsent, "pool %q does not exist; comfreyctl pool get lists all", names[0])
		}
		pools = []table.Pool{*found}
	}
	return s.printValue(pools, func() {
		s.printRow("NAME", "VERSION", "KIND", "LAYERS", "SERVER", "ADDRESS", "ZONE", "LEAVING")
		for _, pool := range pools {
			s.printRow(pool.Name, fmt.Sprint(pool.Version), string(pool.Kind), fmt.Sprint(pool.Layers))
			for _, server := range pool.Servers {
				s.printRow("", fmt.Sprint(server.Version), "", "", server.Name, server.Address, server.Zone, fmt.Sprint(server.Leaving))
			}
		}
	})
}

func (s *session) poolSetCommand() *cobra.Command {
	var (
		kind    string
		layers  int
		version uint64
		add     []string
		remove  []string
	)
	command := &cobra.Command{
		Use: "set NAME", Short: "Write a pool; fields whose flags are not given stay unchanged", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, names []string) error {
			content, inForce, err := s.findRow(table.RowKey{Type: table.PoolRow, Name: names[0]})
			if err != nil {
				return err
			}
			pool := table.Pool{Name: names[0], Kind: table.ModelPool}
			if content.Pool != nil {
				pool = *content.Pool
			}
			if command.Flags().Changed("kind") {
				pool.Kind = table.PoolKind(kind)
			}
			if command.Flags().Changed("layers") {
				pool.Layers = layers
			}
			if pool.Servers, err = updateServers(pool.Servers, add, remove); err != nil {
				return err
			}
			return s.submit([]table.Operation{table.PutPool(pool, expectedVersion(command, version, inForce))}, false)
		},
	}
	flags := command.Flags()
	flags.StringVar(&kind, "kind", "", "model or plain")
	flags.IntVar(&layers, "layers", 0, "number of layers of the model")
	flags.StringArrayVar(&add, "server", nil, "backend server to add or replace, as NAME=HOST:PORT@ZONE (repeatable)")
	flags.StringArrayVar(&remove, "remove", nil, "name of a backend server to remove (repeatable)")
	flags.Uint64Var(&version, "version", 0, "version that the row must have (default: the one in force)")
	return command
}

// updateServers returns the backend servers without those named in remove, and with those in add, which replace servers of the
// same name. The format of add is NAME=HOST:PORT@ZONE; any other is an ExitUsage error.
func updateServers(servers []table.Server, add, remove []string) (changed []table.Server, err error) {
	excluded := make(map[string]bool)
	for _, name := range remove {
		excluded[name] = true
	}
	var added []table.Server
	for _, spec := range add {
		name, rest, hasAddress := strings.Cut(spec, "=")
		address, zone, hasZone := strings.Cut(rest, "@")
		if !hasAddress || !hasZone {
			return nil, exitErrorf(ExitUsage, "server %q is not NAME=HOST:PORT@ZONE", spec)
		}
		excluded[name] = true
		added = append(added, table.Server{Name: name, Address: address, Zone: zone})
	}
	for _, server := range servers {
		if !excluded[server.Name] {
			changed = append(changed, server)
		}
	}
	return append(changed, added...), nil
}
