package forward

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/route"
)

// Guards against an error response, or its head, in the middle of a stream that another server began, and against such a stream
// ending as a complete one.
func TestErrorResponseDoesNotReachBrokenStream(t *testing.T) {
	forEachBrokenStream(t, errorAnswers(), func(t *testing.T, first brokenStream, second wrongAnswer) {
		g, _ := newSequence(t, first.respond, second.respond)
		g.sendRaw(t, "/stream/").check(t, brokenAfter, false)
	})
}

// Guards against a response with status 200 that does not continue a stream being joined to it: foreign bytes, missing events,
// or an end that looks complete.
func TestForeignResponseDoesNotReachBrokenStream(t *testing.T) {
	forEachBrokenStream(t, foreignAnswers(), func(t *testing.T, first brokenStream, second wrongAnswer) {
		g, _ := newSequence(t, first.respond, second.respond)
		g.sendRaw(t, "/stream/").check(t, brokenAfter, false)
	})
}

// Guards against a stream ending broken off although the route and the retry budget allow another attempt after an error
// response to the resumed one.
func TestErrorResponseToResumedStreamIsRetried(t *testing.T) {
	for _, second := range append(errorAnswers(), foreignAnswers()...) {
		respond := []func(net.Conn, *http.Request, int){brokenStreams()[0].respond, second.respond, respondRest}
		t.Run(second.name, func(t *testing.T) {
			t.Parallel()
			checkRetried(t, newSequenceServers(t, respond), allowAttempts(len(respond)))
		})
		t.Run(second.name+", engines", func(t *testing.T) {
			t.Parallel()
			engines := newSequenceServers(t, respond)
			for _, engine := range engines {
				engine.card = "card"
			}
			checkRetried(t, engines, func(config *route.Config) {
				allowAttempts(len(respond))(config)
				useEngines(config)
			})
		})
	}
}

// checkRetried reports an error unless a stream is whole after one attempt at each server.
func checkRetried(t *testing.T, servers []*server, modify func(*route.Config)) {
	t.Helper()
	newGateway(t, modify, servers...).sendRaw(t, "/stream/").check(t, lastEvent, true)
	for _, s := range servers {
		if s.received() != 1 {
			t.Errorf("got %d requests at %s, want 1", s.received(), s.id)
		}
	}
}

// Guards against a second attempt at a stream that must not be resumed.
func TestBrokenSingleStreamIsNotResumed(t *testing.T) {
	for _, first := range brokenStreams() {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			g, servers := newSequence(t, first.respond, respondRest)
			g.sendRaw(t, "/single/").check(t, brokenAfter, false)
			if got := servers[0].received() + servers[1].received(); got != 1 {
				t.Errorf("got %d requests at the servers, want 1", got)
			}
		})
	}
}

// Guards against a missing or repeated event, and against a lost end, when a second server continues a stream.
func TestBrokenStreamIsContinued(t *testing.T) {
	tests := []struct {
		name    string
		respond func(net.Conn, *http.Request, int)
		last    int
	}{
		{"from the next event", respondRest, lastEvent},
		{"from the first event", writeAnswer(200, eventType+chunked, chunk(eventText(1, lastEvent))+lastChunk), lastEvent},
		{"with a parameter of the type", writeAnswer(200, "Content-Type: text/event-stream; charset=utf-8\r\n"+chunked, chunk(eventText(4, lastEvent))+lastChunk), lastEvent},
		{"with a comment", writeAnswer(200, eventType+chunked, chunk(": "+foreign+"\n\n"+eventText(4, lastEvent))+lastChunk), lastEvent},
		{"without a length", writeAnswer(200, eventType+toTheEnd, eventText(4, lastEvent)), lastEvent},
		{"after an interim response", writeContinue(respondRest), lastEvent},
		{"with no event left", writeAnswer(200, eventType+chunked, lastChunk), brokenAfter},
	}
	for _, first := range brokenStreams() {
		for _, second := range tests {
			t.Run(first.name+", then "+second.name, func(t *testing.T) {
				t.Parallel()
				g, _ := newSequence(t, first.respond, second.respond)
				g.sendRaw(t, "/stream/").check(t, second.last, true)
			})
		}
	}
}

// Guards against the events of two runs being joined although the events have no IDs that show where the first run broke off.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	const sent = "id: 1\ndata: 1\n\ndata: 2\n\n"
	g, servers := newSequence(t, writeStream(chunked, chunk(sent), false), writeStream(chunked, chunk(sent+"data: 3\n\n")+lastChunk, false))
	answer := g.sendRaw(t, "/stream/")
	if answer.body != sent || answer.complete {
		t.Errorf("got body %q, complete %v, want %q broken off", answer.body, answer.complete, sent)
	}
	if got := servers[0].received() + servers[1].received(); got != 1 {
		t.Errorf("got %d requests at the servers, want 1", got)
	}
}

// Guards against a complete stream without a length or chunks counting as broken: the end of its connection is how such a stream
// ends, so that one whose connection ends between two events cannot be distinguished from it.
func TestUnframedStreamEndsWithItsConnection(t *testing.T) {
	g, servers := newSequence(t, writeStream(toTheEnd, eventText(1, brokenAfter), false), respondRest)
	g.sendRaw(t, "/stream/").check(t, brokenAfter, true)
	if got := servers[0].received() + servers[1].received(); got != 1 {
		t.Errorf("got %d requests at the servers, want 1", got)
	}
}

// Guards against a second attempt at the server that broke off within an event.
func TestResumedStreamAvoidsFirstServer(t *testing.T) {
	for _, first := range brokenStreams() {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			for range 8 {
				var once sync.Once
				respond := func(conn net.Conn, request *http.Request, n int) {
					respondNext := respondRest
					once.Do(func() { respondNext = first.respond })
					respondNext(conn, request, n)
				}
				a, b := newServer(t, "first", respond), newServer(t, "second", respond)
				newGateway(t, nil, a, b).sendRaw(t, "/stream/").check(t, lastEvent, true)
				if a.received() != 1 || b.received() != 1 {
					t.Fatalf("got %d and %d requests at the servers, want one at each", a.received(), b.received())
				}
			}
		})
	}
}

// Guards against a stream that broke off before its first event ending without any response, and against parts of two responses: its
// caller has nothing yet and gets the whole error response of the second server, or that of the gateway if that server did not run
// the request or its status would tell the caller that no server has run it.
func TestErrorResponseBeforeFirstEvent(t *testing.T) {
	status := map[string]int{
		"500 with a length": 500, "500 that ends with its connection": 500, "500 with events": 500, "503 not run": 502, "503": 502, "421": 502,
		"429": 502, "204": 204, "304": 304, "206": 206, "redirect": 302, "100 and 500": 500,
	}
	for _, second := range errorAnswers() {
		t.Run(second.name, func(t *testing.T) {
			t.Parallel()
			g, _ := newSequence(t, writeStream(chunked, "", true), second.respond)
			response, body, complete := g.send(t, "/stream/", "")
			if response.StatusCode != status[second.name] || !complete {
				t.Errorf("got status %d, complete %v, body %q, want %d", response.StatusCode, complete, body, status[second.name])
			}
			if fromServer := response.Header.Get("Server-Name") == foreign; fromServer != (response.StatusCode != http.StatusBadGateway) {
				t.Errorf("got headers of the second server %v with status %d", fromServer, response.StatusCode)
			}
		})
	}
}

// Guards against the caller of a broken stream waiting until its deadline although each plain server has failed it.
func TestBrokenStreamEndsWithoutServers(t *testing.T) {
	for _, second := range []wrongAnswer{errorAnswers()[0], foreignAnswers()[0]} {
		t.Run(second.name, func(t *testing.T) {
			t.Parallel()
			servers := newSequenceServers(t, []func(net.Conn, *http.Request, int){brokenStreams()[0].respond, second.respond})
			start := time.Now()
			newGateway(t, allowAttempts(len(servers)+1), servers...).sendRaw(t, "/stream/").check(t, brokenAfter, false)
			if took, want := time.Since(start), 3*time.Second; took > want {
				t.Errorf("got the end after %v, want it within %v", took, want)
			}
		})
	}
}

// Guards against a gap in the IDs of a resumed stream, and against taking IDs that are not consecutive for one.
func TestSequenceSkips(t *testing.T) {
	tests := []struct {
		ids  string
		next int
		want bool
	}{
		{"1 2", 3, false}, {"1 2", 4, true}, {"3 6 9", 12, false}, {"3 6 9", 11, false}, {"3 6 9", 15, true},
		{"1", 5, false}, {"", 5, false}, {"1 4 5", 9, false}, {"1 2 x", 9, false}, {"5 4", 9, false},
	}
	for _, test := range tests {
		var ids sequence
		for _, id := range strings.Fields(test.ids) {
			ids.add(id)
		}
		if got := ids.skips(test.next); got != test.want {
			t.Errorf("%d after %q: got %v, want %v", test.next, test.ids, got, test.want)
		}
	}
}

// Guards against bytes of an event being lost or repeated where empty lines separate events, no matter how the bytes arrive.
func TestEventsAreWrittenUnchanged(t *testing.T) {
	const text = "\n\n\nid: 1\ndata: a\n\n\n: comment\n\nid: 2\ndata: b\n\n\n\n"
	for size := 1; size <= len(text); size++ {
		recorder := httptest.NewRecorder()
		out := newEventWriter(recorder, "", nil)
		if err := out.beginAttempt(http.StatusOK, http.Header{}); err != nil {
			t.Fatal(err)
		}
		for rest := text; rest != ""; rest = rest[min(size, len(rest)):] {
			if err := out.write([]byte(rest[:min(size, len(rest))])); err != nil {
				t.Fatal(err)
			}
		}
		if err := out.finish(); err != nil {
			t.Errorf("%d bytes at a time: %v", size, err)
		}
		if got := recorder.Body.String(); got != text || out.lastID != "2" {
			t.Errorf("%d bytes at a time: got %q up to %q, want %q up to 2", size, got, out.lastID, text)
		}
	}
}
