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

func TestEveryStageReplaysThePromptOnce(t *testing.T) {
	var engines []*Server
	var hops []engine.Hop
	for i, name := range []string{"first", "second", "third"} {
		one := New(Config{Name: name, First: 2 * i, Last: 2*i + 2, Version: "v1"})
		t.Cleanup(one.Close)
		server := httptest.NewServer(one)
		t.Cleanup(server.Close)
		engines = append(engines, one)
		hops = append(hops, engine.Hop{Server: name, Address: server.Listener.Addr().String(), First: 2 * i, Last: 2*i + 2})
	}
	for i, hop := range hops {
		post(t, hop.Address, engine.PathOpen, engine.Open{Stream: "s", Attempt: 1, Index: i, Hops: hops, Version: "v1"})
	}
	prompt := strings.Repeat("word ", 200)
	post(t, hops[2].Address, engine.PathRun, engine.Run{Stream: "s", Attempt: 1, Prompt: prompt, MaxTokens: 6})
	for i, one := range engines {
		if got, want := one.Prefilled(), engine.PromptTokens(prompt)-1; got != want {
			t.Errorf("tokens replayed at stage %d = %d, want %d", i, got, want)
		}
	}
}
