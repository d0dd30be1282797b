package settings

import (
	"strings"
	"testing"
)

func TestAdminCheck(t *testing.T) {
	token := strings.Repeat("ab", 32)
	tests := []struct {
		name  string
		admin Admin
		want  string
	}{
		{"loopback without a token", Admin{Listen: "127.0.0.1:8090"}, ""},
		{"other address without a token", Admin{Listen: "10.0.0.1:8090"}, "admin.listen"},
		{"every address without a token", Admin{Listen: ":8090"}, "admin.listen"},
		{"other address with a token", Admin{Listen: "10.0.0.1:8090", TokenSHA256: token}, ""},
		{"token itself in place of its hash", Admin{Listen: "127.0.0.1:8090", TokenSHA256: "secret"}, "admin.token_sha256"},
		{"reading token alone", Admin{Listen: "127.0.0.1:8090", ReadTokenSHA256: token}, "admin.token_sha256"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := ""
			test.admin.check(func(field string, _ any, _ string) { got += field })
			if got != test.want {
				t.Errorf("faulty fields: got %q, want %q", got, test.want)
			}
		})
	}
}
