package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/upstream"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/limit"
)

// relayBufferBytes is the size in bytes of the buffer through which a body is passed on.
const relayBufferBytes = 4 << 10

// heldResponse is a backend server's response that has been read up to limit.HeldBytes. Exactly one of deliver and discard
// must be called.
type heldResponse struct {
	meta     call.Response
	response *upstream.Response
	body     *limit.Buffer
	complete bool              // whether body is the whole body
	ended    func()            // called once the response has been delivered or discarded
	beganAt  time.Time         // when the headers had arrived
	relayed  func(error) error // called with the error of the body's end if that was relayed, and returns the error to report; may be nil
}

// hold reads a response up to limit.HeldBytes, or less if no memory is left for more. If it fails, it discards the response.
func (f *Forwarder) hold(response *upstream.Response, meta call.Response, ended func()) (held *heldResponse, err error) {
	held = &heldResponse{beganAt: time.Now(), meta: meta, response: response, body: limit.NewBuffer(f.config.ResponseMemory, limit.HeldBytes), ended: ended}
	if held.complete, err = held.body.Fill(response); err != nil {
		held.body.Release()
		response.Discard()
		return nil, err
	}
	return held, nil
}

// succeeded reports whether the server ran the request and returned a status below 500.
func (h *heldResponse) succeeded() bool {
	return !h.meta.NotRun && h.response.Status < http.StatusInternalServerError
}

// discard releases a response that is not delivered; h may be nil. Its connection is reused if the whole response was read.
func (h *heldResponse) discard() {
	if h != nil && h.response != nil {
		h.release(h.complete)
	}
}

// deliver sends the response to the caller. If the body breaks off, it returns an error, after which the response to the
// caller must be aborted.
func (h *heldResponse) deliver(ctx context.Context, w http.ResponseWriter) (err error) {
	defer func() { h.release(err == nil) }()
	copyHeader(w.Header(), h.response.Header)
	switch {
	case h.complete:
		w.Header().Set("Content-Length", strconv.Itoa(len(h.body.Bytes())))
	case h.response.Length >= 0:
		w.Header().Set("Content-Length", strconv.FormatInt(h.response.Length, 10))
	}
	w.WriteHeader(h.response.Status)
	if _, err = w.Write(h.body.Bytes()); err != nil || h.complete {
		return err
	}
	h.body.Release()
	return h.relayRest(ctx, w)
}

// relayRest passes on what has not been read of the body.
func (h *heldResponse) relayRest(ctx context.Context, w io.Writer) (err error) {
	var buffer [relayBufferBytes]byte
	for {
		n, readErr := h.response.Read(buffer[:])
		if n > 0 {
			if _, err = w.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if readErr != nil {
			return errors.Annotate(h.endRelay(readErr), "relay body")
		}
		if err = ctx.Err(); err != nil {
			return err
		}
	}
}

// endRelay returns the error of a body that has ended with the given one, nil if it is whole.
func (h *heldResponse) endRelay(err error) error {
	if errors.Is(err, io.EOF) {
		err = nil
	}
	if h.relayed == nil {
		return err
	}
	return h.relayed(err)
}

// release ends the use of the response and of its memory; the connection may be reused if the whole body was read.
func (h *heldResponse) release(whole bool) {
	h.body.Release()
	if whole {
		h.response.Close()
	} else {
		h.response.Discard()
	}
	h.response = nil
	h.ended()
}
