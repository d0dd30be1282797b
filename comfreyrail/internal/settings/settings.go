package settings

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	stderrors "errors"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/sirupsen/logrus"
)

// Settings holds the settings of the router mode (command run); Gateway holds those of the gateway mode (command gateway).
type Settings struct {
	// Name is the unique name of the instance in the fleet.
	Name string `toml:"name"`
	// Zone is the availability zone of the instance.
	Zone string `toml:"zone"`
	// Caller configures the listener for callers.
	Caller Caller `toml:"caller"`
	// Admin configures the listener for operators.
	Admin Admin `toml:"admin"`
	// Peer configures the listener for other instances.
	Peer Peer `toml:"peer"`
	// Platform configures the access to the platform's store.
	Platform Platform `toml:"platform"`
	// InstanceList configures the use of the platform's list of instances.
	InstanceList InstanceList `toml:"list"`
	// Stop configures the graceful shutdown of the instance.
	Stop Stop `toml:"stop"`
	// Log configures the log.
	Log Log `toml:"log"`
}

// Caller configures the listener for callers in router mode.
type Caller struct {
	// Listen is the host:port to listen on.
	Listen string `toml:"listen"`
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxRunning is the maximum number of requests in progress for each pool.
	MaxRunning int `toml:"max_concurrent"`
	// MaxQueued is the maximum number of queued requests for each pool.
	MaxQueued int `toml:"max_queued"`
}

// Admin configures the listener for operators in router mode.
type Admin struct {
	// Listen is the host:port to listen on.
	Listen string `toml:"listen"`
	// TokenSHA256 is the SHA-256 of the operators' bearer token in hexadecimal. If it is empty, every request is allowed, and the
	// listener must be on a loopback address.
	TokenSHA256 string `toml:"token_sha256"`
	// ReadTokenSHA256 is the SHA-256 of a token that allows only reading; empty means that there is none.
	ReadTokenSHA256 string `toml:"read_token_sha256"`
}

// Peer configures the listener for other instances in router mode.
type Peer struct {
	// Listen is the UDP IP:port to listen on, which is also the address at which other instances reach this one.
	Listen string `toml:"listen"`
	// Secret is shared by all instances. With it a new instance can get the configuration tables from Seeds while the
	// platform's store is unavailable.
	Secret string `toml:"secret"`
	// Seeds lists the UDP addresses of some instances. They are contacted only until this instance is registered.
	Seeds []string `toml:"seeds"`
}

// Platform configures the access to the platform's store in router mode; Store does so in gateway mode.
type Platform struct {
	// Address is the host:port of the platform's store.
	Address string `toml:"address"`
}

// Log configures the log in both modes.
type Log struct {
	// Level is the lowest severity that is logged.
	Level string `toml:"level"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Caller:       Caller{MaxBodyBytes: 1 << 20, MaxRunning: 1024, MaxQueued: 256},
		InstanceList: defaultInstanceList(),
		Stop:         defaultStop(),
		Log:          Log{Level: "info"},
	}
}

// Load reads and validates the settings file.
func Load(path string) (loaded Settings, err error) {
	defer errors.DeferredAnnotatef(&err, "settings %s", path)
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(content)
}

// Parse parses and validates settings written in TOML. Fields that are not set get their defaults.
func Parse(content []byte) (parsed Settings, err error) {
	parsed = Defaults()
	if err = decode(content, &parsed); err != nil {
		return Settings{}, err
	}
	return parsed, joinProblems(parsed.problems())
}

// decode decodes TOML and returns an error for unknown keys.
func decode(content []byte, into any) error {
	if err := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields().Decode(into); err != nil {
		return explainDecodeError(err)
	}
	return nil
}

// joinProblems returns the problems as one error, or nil if there are none.
func joinProblems(problems []string) error {
	if len(problems) == 0 {
		return nil
	}
	return errors.New(strings.Join(problems, "; "))
}

// formatProblem returns the message for an invalid field, with its value and how to correct it.
func formatProblem(field string, value any, fix string) string {
	return fmt.Sprintf("%s = %q: %s", field, fmt.Sprint(value), fix)
}

// explainDecodeError adds the position to a syntax error, and lists unknown keys with their lines.
func explainDecodeError(err error) error {
	var unknown *toml.StrictMissingError
	if stderrors.As(err, &unknown) {
		keys := make([]string, 0, len(unknown.Errors))
		for _, field := range unknown.Errors {
			row, _ := field.Position()
			keys = append(keys, fmt.Sprintf("line %d: unknown key %q; remove it or correct its name", row, strings.Join(field.Key(), ".")))
		}
		return joinProblems(keys)
	}
	var syntax *toml.DecodeError
	if stderrors.As(err, &syntax) {
		row, column := syntax.Position()
		return fmt.Errorf("line %d, column %d: %w", row, column, err)
	}
	return err
}

// problems returns a message for each invalid field, with its value and how to correct it.
func (s Settings) problems() []string {
	var problems []string
	report := func(field string, value any, fix string) {
		problems = append(problems, formatProblem(field, value, fix))
	}
	if s.Name == "" {
		report("name", s.Name, "give the instance a name that no other instance has")
	}
	if s.Zone == "" {
		report("zone", s.Zone, "give the availability zone of the instance")
	}
	addresses := []struct{ field, value string }{
		{"caller.listen", s.Caller.Listen},
		{"admin.listen", s.Admin.Listen},
		{"platform.address", s.Platform.Address},
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			report(address.field, address.value, "write it as host:port")
		}
	}
	s.Admin.validate(report)
	s.Peer.validate(report)
	if s.Caller.MaxBodyBytes <= 0 {
		report("caller.max_body_bytes", s.Caller.MaxBodyBytes, "use a positive number of bytes")
	}
	if s.Caller.MaxRunning <= 0 {
		report("caller.max_concurrent", s.Caller.MaxRunning, "use a positive number of requests")
	}
	if s.Caller.MaxQueued <= 0 {
		report("caller.max_queued", s.Caller.MaxQueued, "use a positive number of requests")
	}
	s.validateTimes(report)
	if _, err := logrus.ParseLevel(s.Log.Level); err != nil {
		report("log.level", s.Log.Level, "use debug, info, warn or error")
	}
	return problems
}

// validate reports the invalid fields. Without a token the listener must be on a loopback address.
func (a Admin) validate(report func(field string, value any, fix string)) {
	tokens := []struct{ field, value string }{
		{"admin.token_sha256", a.TokenSHA256},
		{"admin.read_token_sha256", a.ReadTokenSHA256},
	}
	for _, token := range tokens {
		if digits, err := hex.DecodeString(token.value); err != nil || len(digits) != 0 && len(digits) != sha256.Size {
			report(token.field, token.value, "give the 64 hexadecimal digits that sha256sum prints for the token")
		}
	}
	if a.TokenSHA256 == "" && a.ReadTokenSHA256 != "" {
		report("admin.token_sha256", a.TokenSHA256, "set it too, or remove admin.read_token_sha256")
	}
	host, _, err := net.SplitHostPort(a.Listen)
	if err != nil || a.TokenSHA256 != "" {
		return
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		report("admin.listen", a.Listen, "set admin.token_sha256, or listen on 127.0.0.1")
	}
}
