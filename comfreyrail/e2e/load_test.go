package e2e

import (
	"bytes"
	"encoding/json"
	"os/exec"
	"path/filepath"
)

// startLoad starts railload against all instances. The returned function waits for its end and fails the test unless every request
// has the outcome done and the right answer.
func (f *fleet) startLoad(extra ...string) (wait func()) {
	f.t.Helper()
	arguments := []string{"load", "--output", "json", "--strict", "--lag", "500ms", "--layers", "6", "--tokens", "20"}
	for _, inst := range f.instances {
		arguments = append(arguments, "--instance", inst.callerAddress+"/"+inst.adminAddress)
	}
	for _, address := range f.serviceAddresses {
		arguments = append(arguments, "--service", address)
	}
	command := exec.Command(filepath.Join(f.dir, "railload"), append(arguments, extra...)...)
	var output, problems bytes.Buffer
	command.Stdout, command.Stderr = &output, &problems
	if err := command.Start(); err != nil {
		f.t.Fatal(err)
	}
	return func() {
		f.t.Helper()
		f.checkReport(command.Wait(), output.Bytes(), problems.String())
	}
}

// checkReport checks the report of railload. exitErr is the error with which it exited, or nil.
func (f *fleet) checkReport(exitErr error, output []byte, problems string) {
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
			f.t.Errorf("no %s request has the outcome done", kind.Name)
		}
	}
	f.t.Logf("reasons %s", report.Reasons)
	if exitErr != nil {
		f.t.Errorf("%v: problems %s", exitErr, report.Problems)
	}
}
