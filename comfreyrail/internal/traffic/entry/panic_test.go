package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/emicklei/go-restful/v3"
)

// Guards against a streamed answer that looks complete although its handler panicked in the middle of it.
func TestPanicBreaksBegunAnswer(t *testing.T) {
	s := newCallerServer(t)
	broken := new(restful.WebService).Path("/broken")
	broken.Route(broken.GET("").To(func(_ *restful.Request, w *restful.Response) {
		_, _ = io.WriteString(w, "data: begun\n\n")
		_ = http.NewResponseController(w).Flush()
		panic("planted")
	}))
	s.container.Add(broken)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	response, err := http.Get(server.URL + "/broken") //nolint:noctx // a test
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if body, err := io.ReadAll(response.Body); err == nil {
		t.Errorf("got status %d and the complete body %q, want it to break off", response.StatusCode, body)
	}
}
