package command

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/comfreyrail/comfreyrail/rail/table"
)

// tables reads the tables in force.
func (s *session) tables() (*table.Tables, error) {
	tables := new(table.Tables)
	return tables, s.client.get("/tables", nil, tables)
}

// find reads a row in force; its content is empty if there is none.
func (s *session) find(row table.Row) (content table.Content, version uint64, err error) {
	tables, err := s.tables()
	if err != nil {
		return content, 0, err
	}
	content = tables.Find(row)
	return content, content.Version(), nil
}

// remove deletes a row at the version that is in force.
func (s *session) remove(row table.Row) error {
	_, version, err := s.find(row)
	if err != nil {
		return err
	}
	if version == 0 {
		return failf(ExitAbsent, "%s does not exist; nothing was changed", row)
	}
	return s.submit([]table.Operation{{Action: table.Delete, Row: row, Version: version}}, false)
}

// expected returns the version that the operator gave, or the one in force.
func expected(command *cobra.Command, given, inForce uint64) uint64 {
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
	}, s.routeSet(), &cobra.Command{
		Use: "delete NAME", Short: "Delete a route", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, names []string) error {
			return s.remove(table.Row{Type: table.RouteRow, Name: names[0]})
		},
	})
	return command
}

func (s *session) getRoutes(names []string) error {
	tables, err := s.tables()
	if err != nil {
		return err
	}
	routes := tables.Routes
	if len(names) > 0 {
		found := tables.Find(table.Row{Type: table.RouteRow, Name: names[0]}).Route
		if found == nil {
			return failf(ExitAbsent, "route %q does not exist; comfreyctl route get lists all", names[0])
		}
		routes = []table.Route{*found}
	}
	return s.show(routes, func() {
		s.row("NAME", "VERSION", "MATCH", "WORKSPACES", "POOL", "PRIORITY", "IDEMPOTENT", "DEADLINE")
		for _, route := range routes {
			s.row(route.Name, fmt.Sprint(route.Version), "model="+route.Model+" prefix="+route.Prefix, strings.Join(route.Workspaces, ","),
				route.Pool, fmt.Sprint(route.Priority), fmt.Sprint(route.Idempotent), route.Deadline().String())
		}
	})
}

func (s *session) routeSet() *cobra.Command {
	var (
		wanted   table.Route
		deadline time.Duration
		version  uint64
	)
	command := &cobra.Command{
		Use: "set NAME", Short: "Write a route; flags that are not given keep their values", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, names []string) error {
			content, inForce, err := s.find(table.Row{Type: table.RouteRow, Name: names[0]})
			if err != nil {
				return err
			}
			wanted.DeadlineMS = int(deadline.Milliseconds())
			route := table.Route{Name: names[0]}
			if content.Route != nil {
				route = *content.Route
			}
			mergeRoute(command, &route, wanted)
			return s.submit([]table.Operation{table.PutRoute(route, expected(command, version, inForce))}, false)
		},
	}
	flags := command.Flags()
	flags.StringVar(&wanted.Model, "model", "", "model that the route matches")
	flags.StringVar(&wanted.Prefix, "prefix", "", "path prefix that the route matches")
	flags.StringSliceVar(&wanted.Workspaces, "workspace", nil, "workspace that the route is limited to (repeatable)")
	flags.StringVar(&wanted.Pool, "pool", "", "pool that serves the route")
	flags.IntVar(&wanted.Priority, "priority", 0, "priority, 9 the highest")
	flags.BoolVar(&wanted.Idempotent, "idempotent", false, "repeating a request has no further effect")
	flags.DurationVar(&deadline, "deadline", 0, "longest time of a request, 0 for the default")
	flags.Uint64Var(&version, "version", 0, "version that the row must have (default: the one in force)")
	return command
}

// mergeRoute takes over the fields whose flags are given.
func mergeRoute(command *cobra.Command, route *table.Route, wanted table.Route) {
	changes := []struct {
		flag string
		take func()
	}{
		{"model", func() { route.Model = wanted.Model }},
		{"prefix", func() { route.Prefix = wanted.Prefix }},
		{"workspace", func() { route.Workspaces = wanted.Workspaces }},
		{"pool", func() { route.Pool = wanted.Pool }},
		{"priority", func() { route.Priority = wanted.Priority }},
		{"idempotent", func() { route.Idempotent = wanted.Idempotent }},
		{"deadline", func() { route.DeadlineMS = wanted.DeadlineMS }},
	}
	for _, change := range changes {
		if command.Flags().Changed(change.flag) {
			change.take()
		}
	}
}

func (s *session) poolCommand() *cobra.Command {
	command := &cobra.Command{Use: "pool", Short: "Show, write or delete pools"}
	command.AddCommand(&cobra.Command{
		Use: "get [NAME]", Short: "Show one pool or all", Args: cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, names []string) error { return s.getPools(names) },
	}, s.poolSet(), &cobra.Command{
		Use: "delete NAME", Short: "Delete a pool", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, names []string) error {
			return s.remove(table.Row{Type: table.PoolRow, Name: names[0]})
		},
	})
	return command
}

func (s *session) getPools(names []string) error {
	tables, err := s.tables()
	if err != nil {
		return err
	}
	pools := tables.Pools
	if len(names) > 0 {
		found := tables.Find(table.Row{Type: table.PoolRow, Name: names[0]}).Pool
		if found == nil {
			return failf(ExitAbsent, "pool %q does not exist; comfreyctl pool get lists all", names[0])
		}
		pools = []table.Pool{*found}
	}
	return s.show(pools, func() {
		s.row("NAME", "VERSION", "KIND", "LAYERS", "SERVER", "ADDRESS", "ZONE", "LEAVING")
		for _, pool := range pools {
			s.row(pool.Name, fmt.Sprint(pool.Version), string(pool.Kind), fmt.Sprint(pool.Layers))
			for _, server := range pool.Servers {
				s.row("", fmt.Sprint(server.Version), "", "", server.Name, server.Address, server.Zone, fmt.Sprint(server.Leaving))
			}
		}
	})
}

func (s *session) poolSet() *cobra.Command {
	var (
		kind    string
		layers  int
		version uint64
		add     []string
		remove  []string
	)
	command := &cobra.Command{
		Use: "set NAME", Short: "Write a pool; flags that are not given keep their values", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, names []string) error {
			content, inForce, err := s.find(table.Row{Type: table.PoolRow, Name: names[0]})
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
			if pool.Servers, err = changeServers(pool.Servers, add, remove); err != nil {
				return err
			}
			return s.submit([]table.Operation{table.PutPool(pool, expected(command, version, inForce))}, false)
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

// changeServers returns the backend servers with some added or replaced and some removed.
func changeServers(servers []table.Server, add, remove []string) (changed []table.Server, err error) {
	gone := make(map[string]bool)
	for _, name := range remove {
		gone[name] = true
	}
	var added []table.Server
	for _, text := range add {
		name, rest, ok := strings.Cut(text, "=")
		address, zone, found := strings.Cut(rest, "@")
		if !ok || !found {
			return nil, failf(ExitUsage, "server %q is not NAME=HOST:PORT@ZONE", text)
		}
		gone[name] = true
		added = append(added, table.Server{Name: name, Address: address, Zone: zone})
	}
	for _, server := range servers {
		if !gone[server.Name] {
			changed = append(changed, server)
		}
	}
	return append(changed, added...), nil
}
