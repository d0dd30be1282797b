package table

import "testing"

// TestMatchPath guards against a shorter prefix, or a route for all workspaces, that is preferred to a more specific
// route.
func TestMatchPath(t *testing.T) {
	tables := Tables{Routes: []Route{
		{Name: "all", Prefix: "/"},
		{Name: "holds", Prefix: "/holds"},
		{Name: "large", Prefix: "/holds", Workspaces: []string{"perth"}},
	}}
	tests := []struct {
		name, path, workspace, want string
	}{
		{"longest prefix", "/holds/1", "albany", "holds"},
		{"workspace preferred", "/holds/1", "perth", "large"},
		{"shorter prefix", "/loans", "perth", "all"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			route, _ := tables.MatchPath(test.path, test.workspace)
			if got := route.Name; got != test.want {
				t.Errorf("MatchPath(%q, %q) = %q, want %q", test.path, test.workspace, got, test.want)
			}
		})
	}
}
