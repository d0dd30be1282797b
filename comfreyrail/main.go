// Comfreyrail routes requests from callers to chains of model engines and to
// plain services; operators steer it with comfreyctl.
package main

import (
	"os"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/command"
)

func main() {
	os.Exit(command.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
