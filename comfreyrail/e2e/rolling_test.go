package e2e

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestRollingRestart restarts every process under load from keep-alive callers.
func TestRollingRestart(t *testing.T) {
	f := newFleet(t, "comfreyrail", "comfreyctl", "railload")
	tables := f.tables(func(_ string, next http.Handler) http.Handler { return next })
	arguments := []string{
		"load", "--output", "json", "--strict", "--rate", "60", "--time", "20s", "--lag", "500ms", "--layers", "6", "--tokens", "20", "--keyed", "0.2",
	}
	for _, zone := range []string{"a", "b", "c"} {
		p := f.add(zone)
		arguments = append(arguments, "--instance", p.caller+"/"+p.admin)
	}
	for _, address := range f.addresses {
		arguments = append(arguments, "--service", address)
	}
	f.apply(tables)
	load := exec.Command(filepath.Join(f.bin, "railload"), arguments...)
	var output, problems bytes.Buffer
	load.Stdout, load.Stderr = &output, &problems
	if err := load.Start(); err != nil {
		t.Fatal(err)
	}
	for _, p := range f.processes {
		if code := f.stop(p); code != 0 {
			t.Errorf("%s exits with code %d, want 0", p.name, code)
		}
		f.start(p)
		f.eventually(p.name+" is ready again", func() bool { return f.get(p, "/ready") == http.StatusOK })
	}
	err := load.Wait()
	var report struct {
		Kinds []struct {
			Name     string
			Sent     int
			Verdicts map[string]int
		}
		Reasons  json.RawMessage
		Problems json.RawMessage
	}
	if decodeErr := json.Unmarshal(output.Bytes(), &report); decodeErr != nil {
		t.Fatalf("report: %v\n%s", decodeErr, problems.String())
	}
	for _, kind := range report.Kinds {
		t.Logf("%s: %d sent, %v", kind.Name, kind.Sent, kind.Verdicts)
		if kind.Verdicts["done"] == 0 {
			t.Errorf("no %s request is done", kind.Name)
		}
	}
	t.Logf("reasons %s", report.Reasons)
	if err != nil {
		t.Errorf("%v: problems %s", err, report.Problems)
	}
}
