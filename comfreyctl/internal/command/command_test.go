package command

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// fakeInstance responds to each method and path with a status and a body; a status of zero aborts the connection.
type fakeInstance map[string]struct {
	status int
	body   string
}

func (f fakeInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	resp := f[r.Method+" "+r.URL.Path]
	if resp.status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(resp.status)
	_, _ = fmt.Fprint(w, resp.body)
}

// TestExecute guards against a wrong exit code and against a message without the cause or the next step.
func TestExecute(t *testing.T) {
	const tables = `{"generation":4,"routes":[{"name":"r","prefix":"/r","pool":"p","version":3}],"pools":[{"name":"p","kind":"plain","servers":[],"version":2}]}`
	const file = "[[routes]]\nname = \"r\"\nprefix = \"/r\"\npool = \"p\"\n[[pools]]\nname = \"p\"\nkind = \"plain\"\nservers = []\n"
	directory := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	valid, broken := write("valid.toml", file), write("broken.toml", "[[routes]]\nnme = \"r\"\n")
	older := write("older.toml", "generation = 2\n"+strings.Replace(file, "/r", "/other", 1))
	deleted := write("deleted.toml", "generation = 2\n"+strings.Replace(file, "pool = \"p\"\n", "pool = \"p\"\nversion = 2\n", 1))
	invalid := write("invalid.toml", "[[routes]]\nname = \"r\"\nprefix = \"/r\"\npool = \"none\"\n")
	tests := []struct {
		name       string
		args       []string
		editStatus int // response to POST /edits
		editBody   string
		code       int
		want       string
	}{
		{"accepted", []string{"route", "set", "r", "--priority", "2"}, 200, `{"state":"accepted","generation":5}`, ExitOK, "generation 5"},
		{"accepted as JSON", []string{"route", "set", "r", "-o", "json"}, 200, `{"state":"accepted","generation":5}`, ExitOK, `"state": "accepted"`},
		{"conflict", []string{"route", "set", "r"}, 409, `{"state":"conflict","rows":[{"row":{"sort":"route","name":"r"},"expected":3,"found":4,"theirs":{"route":{"name":"r","pool":"q"}}}]}`, ExitConflict, "theirs: {\"name\":\"r\",\"pool\":\"q\""},
		{"refused", []string{"route", "set", "r"}, 422, `{"state":"refused","problems":[{"row":"route r","field":"pool","message":"does not exist"}]}`, ExitRefused, "route r: pool: does not exist"},
		{"not accepted", []string{"route", "delete", "r"}, 503, `{"state":"notaccepted"}`, ExitNotAccepted, "never will be"},
		{"unknown", []string{"pool", "set", "p"}, 504, `{"state":"unknown","id":"e1"}`, ExitUnknown, "next: comfreyctl edit e1"},
		{"response lost", []string{"pool", "set", "p"}, 0, "", ExitUnknown, "check with comfreyctl edit"},
		{"lagging", []string{"route", "set", "r", "--wait", "--timeout", "1ms"}, 200, `{"state":"accepted","generation":9}`, ExitLagging, "kl-2 (generation 8), kl-3 (no answer)"},
		{"nothing differs", []string{"apply", valid}, 0, "", ExitOK, "nothing differs"},
		{"row absent", []string{"route", "delete", "none"}, 0, "", ExitAbsent, "does not exist"},
		{"row changed since export", []string{"apply", older}, 0, "", ExitConflict, "route r: changed at generation 3"},
		{"row deleted since export", []string{"apply", deleted}, 0, "", ExitConflict, "route r: deleted since"},
		{"export", []string{"export"}, 0, "", ExitOK, "version = 3"},
		{"unknown key in file", []string{"apply", broken}, 0, "", ExitUsage, "nme"},
		{"invalid file", []string{"apply", invalid}, 0, "", ExitRefused, "pool \"none\" does not exist"},
		{"bad flag", []string{"apply", "--nothing"}, 0, "", ExitUsage, "unknown flag"},
		{"bad output", []string{"status", "-o", "xml"}, 0, "", ExitUsage, "use text or json"},
		{"bad server", []string{"pool", "set", "p", "--server", "m1"}, 0, "", ExitUsage, "NAME=HOST:PORT@ZONE"},
		{"edit absent", []string{"edit", "e1"}, 0, "", ExitAbsent, "--withdraw"},
		{"denied", []string{"dump"}, 0, "", ExitDenied, "--token-file"},
		{"unreachable", []string{"status", "--address", "127.0.0.1:1"}, 0, "", ExitUnreachable, "nothing was sent"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			operations := "[]"
			switch test.args[len(test.args)-1] {
			case older:
				operations = `[{"action":"put","row":{"sort":"route","name":"r"},"version":3,"route":{"name":"r"}}]`
			case deleted:
				operations = `[{"action":"put","row":{"sort":"route","name":"r"},"route":{"name":"r"}}]`
			}
			server := httptest.NewServer(fakeInstance{
				"GET /tables":   {200, tables},
				"POST /edits":   {test.editStatus, test.editBody},
				"POST /diff":    {200, `{"operations":` + operations + `}`},
				"GET /edits/e1": {404, `{"id":"e1","state":"absent"}`},
				"GET /dump":     {401, `{"error":"send a token"}`},
				"GET /status":   {200, `{"generation":9,"members":[{"name":"kl-1","generation":9},{"name":"kl-2","generation":8},{"name":"kl-3"}]}`},
			})
			defer server.Close()
			var output bytes.Buffer
			args := append([]string{"--address", strings.TrimPrefix(server.URL, "http://")}, test.args...)
			if got := Execute(args, &output, &output); got != test.code {
				t.Errorf("exit code: got %d, want %d; output %s", got, test.code, &output)
			}
			if got := output.String(); !strings.Contains(got, test.want) {
				t.Errorf("output: got %s, want it to contain %s", got, test.want)
			}
		})
	}
}
