package fakeengine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/engine"
)

func post(t *testing.T, address, path string, message any) {
	t.Helper()
	body, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	if got, want := response.StatusCode, http.StatusOK; got != want {
		t.Fatalf("status of %s = %d, want %d", path, got, want)
	}
}

// TestPrefillOncePerStage guards against a stage that prefills the prompt again for each token of a run.
func TestPrefillOncePerStage(t *testing.T) {
	var engines []*Server
	var stages []engine.Stage
	for i, name := range []string{"first", "second", "third"} {
		s := New(Config{Name: name, First: 2 * i, Last: 2*i + 2, Version: "v1"})
		t.Cleanup(s.Close)
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		engines = append(engines, s)
		stages = append(stages, engine.Stage{Server: name, Address: server.Listener.Addr().String(), First: 2 * i, Last: 2*i + 2})
	}
	for i, stage := range stages {
		post(t, stage.Address, engine.PathOpen, engine.Open{Stream: "s", Attempt: 1, Index: i, Stages: stages, Version: "v1"})
	}
	prompt := strings.Repeat("word ", 200)
	post(t, stages[2].Address, engine.PathRun, engine.Run{Stream: "s", Attempt: 1, Prompt: prompt, MaxTokens: 6})
	for i, s := range engines {
		if got, want := s.Prefilled(), engine.PromptTokens(prompt)-1; got != want {
			t.Errorf("tokens prefilled at stage %d = %d, want %d", i, got, want)
		}
	}
}
