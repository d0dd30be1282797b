package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Exit codes of the program.
const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitFailure means that the command was not carried out.
	ExitFailure = 1
)

// Execute runs the command line and returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{Use: "comfreyctl", Short: "Edit routes and pools", SilenceUsage: true, SilenceErrors: true}
	root.SetArgs(args)
	root.SetOut(stdout)
	address := root.PersistentFlags().String("address", "127.0.0.1:8090", "administration address of an instance")
	root.AddCommand(&cobra.Command{
		Use:   "apply FILE",
		Short: "Replace both tables by those in a TOML file",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			return apply(*address, files[0], stdout)
		},
	})
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintf(stderr, "comfreyctl: %v\n", err)
		return ExitFailure
	}
	return ExitOK
}

func apply(address, path string, stdout io.Writer) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var tables table.Tables
	decoder := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields()
	if err = decoder.Decode(&tables); err != nil {
		return err
	}
	body, err := json.Marshal(tables)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPut, "http://"+address+"/tables", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", response.StatusCode, answer)
	}
	_, err = stdout.Write(answer)
	return err
}
