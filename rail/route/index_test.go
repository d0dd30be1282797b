package route

import "testing"

func testIndex() *Index {
	return New(Config{
		Routes: []Route{
			{Name: "short", Host: "desk.example", Prefix: "/a/"},
			{Name: "long", Host: "desk.example", Prefix: "/a/b/"},
			{Name: "other", Host: "hall.example", Prefix: "/"},
		},
		Services:   []Service{{Name: "app"}},
		Workspaces: []Workspace{{Name: "mill", Keys: []string{"first", "second"}}},
	})
}

// TestMatch guards against a shorter prefix that wins over a longer one, and against hosts that do not match because of
// a port or upper case.
func TestMatch(t *testing.T) {
	tests := []struct{ host, path, want string }{
		{"desk.example", "/a/x", "short"},
		{"desk.example", "/a/b/x", "long"},
		{"desk.example:8080", "/a/b/x", "long"},
		{"DESK.example", "/a/b", "short"},
		{"desk.example", "/ab/x", ""},
		{"hall.example", "/a/x", "other"},
		{"unknown.example", "/a/x", ""},
	}
	for _, test := range tests {
		got := ""
		if found, ok := testIndex().Match(test.host, test.path); ok {
			got = found.Name
		}
		if got != test.want {
			t.Errorf("%s%s: got route %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

// TestWorkspace guards against a workspace that only one of its keys finds, and against access with an unknown or empty
// key.
func TestWorkspace(t *testing.T) {
	tests := []struct {
		key  string
		want bool
	}{{"first", true}, {"second", true}, {"third", false}, {"", false}}
	for _, test := range tests {
		if _, got := testIndex().Workspace(test.key); got != test.want {
			t.Errorf("key %q: got %v, want %v", test.key, got, test.want)
		}
	}
}

// TestPickFollowsTheWeights guards against requests to a service without weight, and against parts that differ from the
// weights.
func TestPickFollowsTheWeights(t *testing.T) {
	r := Route{Services: []WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	tests := []struct {
		random float64
		want   string
	}{{0, "a"}, {0.89, "a"}, {0.9, "b"}, {0.999, "b"}}
	for _, test := range tests {
		if got := r.Pick(test.random); got != test.want {
			t.Errorf("at %v: got %q, want %q", test.random, got, test.want)
		}
	}
	if got := (&Route{}).Pick(0.5); got != "" {
		t.Errorf("got %q, want none without services", got)
	}
}

// TestRepeatable guards against repeating a request that may run only once, or a stream that cannot be resumed.
func TestRepeatable(t *testing.T) {
	tests := []struct {
		route Route
		want  bool
	}{{Route{Kind: Idempotent}, true}, {Route{Kind: AtMostOnce}, false}, {Route{Kind: Stream}, false}, {Route{Kind: Stream, Resumable: true}, true}}
	for _, test := range tests {
		if got := test.route.Repeatable(); got != test.want {
			t.Errorf("%v: got %v, want %v", test.route.Kind, got, test.want)
		}
	}
}
