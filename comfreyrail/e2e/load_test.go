package e2e

import (
	"bytes"
	"encoding/json"
	"os/exec"
	"path/filepath"
)

// load starts load on all processes; wait fails the test unless every request is done with the right answer.
func (f *fleet) load(extra ...string) (wait func()) {
	f.t.Helper()
	arguments := []string{"load", "--output", "json", "--strict", "--lag", "500ms", "--layers", "6", "--tokens", "20"}
	for _, p := range f.processes {
		arguments = append(arguments, "--instance", p.caller+"/"+p.admin)
	}
	for _, address := range f.addresses {
		arguments = append(arguments, "--service", address)
	}
	command := exec.Command(filepath.Join(f.bin, "railload"), append(arguments, extra...)...)
	var output, problems bytes.Buffer
	command.Stdout, command.Stderr = &output, &problems
	if err := command.Start(); err != nil {
		f.t.Fatal(err)
	}
	return func() {
		f.t.Helper()
		f.judge(command.Wait(), output.Bytes(), problems.String())
	}
}

// judge checks the report of a load that ended with the error.
func (f *fleet) judge(ended error, output []byte, problems string) {
	f.t.Helper()
	var report struct {
		Kinds []struct {
			Name     string
			Sent     int
			Verdicts map[string]int
		}
		Reasons  json.RawMessage
		Problems json.RawMessage
	}
	if err := json.Unmarshal(output, &report); err != nil {
		f.t.Fatalf("report: %v\n%s", err, problems)
	}
	for _, kind := range report.Kinds {
		f.t.Logf("%s: %d sent, %v", kind.Name, kind.Sent, kind.Verdicts)
		if kind.Verdicts["done"] == 0 {
			f.t.Errorf("no %s request is done", kind.Name)
		}
	}
	f.t.Logf("reasons %s", report.Reasons)
	if ended != nil {
		f.t.Errorf("%v: problems %s", ended, report.Problems)
	}
}
