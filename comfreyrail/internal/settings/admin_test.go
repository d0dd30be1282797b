package settings

import (
	"strings"
	"testing"
)

// TestAdminValidate guards against a listener for operators that other hosts can reach without a token, and against malformed
// token hashes.
func TestAdminValidate(t *testing.T) {
	token := strings.Repeat("ab", 32)
	tests := []struct {
		name  string
		admin Admin
		want  string
	}{
		{"loopback without a token", Admin{Listen: "127.0.0.1:8090"}, ""},
		{"other address without a token", Admin{Listen: "10.0.0.1:8090"}, "admin.listen"},
		{"all addresses without a token", Admin{Listen: ":8090"}, "admin.listen"},
		{"other address with a token", Admin{Listen: "10.0.0.1:8090", TokenSHA256: token}, ""},
		{"token instead of its hash", Admin{Listen: "127.0.0.1:8090", TokenSHA256: "secret"}, "admin.token_sha256"},
		{"only a read token", Admin{Listen: "127.0.0.1:8090", ReadTokenSHA256: token}, "admin.token_sha256"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := ""
			test.admin.validate(func(field string, _ any, _ string) { got += field })
			if got != test.want {
				t.Errorf("invalid fields: got %q, want %q", got, test.want)
			}
		})
	}
}
