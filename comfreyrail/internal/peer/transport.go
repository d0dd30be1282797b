package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/member"
)

// Timeouts and limits of connections.
const (
	// protocol is the name of the application protocol in the TLS handshake (ALPN).
	protocol         = "comfreyrail"
	idleTimeout      = 30 * time.Second
	handshakeTimeout = 2 * time.Second
	// serveTimeout is the timeout for serving one call, and for reading the record of an instance that cannot be served as a guest.
	serveTimeout = 10 * time.Second
	// guestTimeout is the timeout for reading the record of an instance that can be served as a guest instead.
	guestTimeout = 500 * time.Millisecond
	// maxStreams is the maximum number of concurrent calls on one incoming connection.
	maxStreams = 64
	// maxIncoming is the maximum number of incoming connections.
	maxIncoming = 1024
)

// Error codes sent when a connection is closed.
const (
	closeNormal       quic.ApplicationErrorCode = 0
	closeUnauthorized quic.ApplicationErrorCode = 2
	closeFull         quic.ApplicationErrorCode = 3
)

// Handler serves one call from another instance. The body is CBOR; the Transport encodes the response.
type Handler func(ctx context.Context, from member.Member, body []byte) (response any, err error)

// Config configures a Transport.
type Config struct {
	// Listen is the UDP address, host:port, to listen on.
	Listen string
	// Identity is the key pair of this incarnation.
	Identity Identity
	// Resolve returns the record of the instance with the given name and fingerprint.
	Resolve func(ctx context.Context, name, fingerprint string) (member.Member, error)
	// Secret is shared by all instances. If it is not empty, an instance whose record cannot be resolved is admitted as
	// a guest if its certificate proves that it has the secret.
	Secret string
	// Log receives a warning for each connection that is refused because its instance could not be identified.
	Log *logrus.Entry
}

// Transport calls other instances and serves their calls. Its methods are safe for concurrent use, except Handle and HandleGuests.
type Transport struct {
	config     Config
	handlers   map[Kind]Handler
	guestKinds map[Kind]bool

	mu sync.Mutex
	// outgoing holds the connections that connect opened.
	outgoing      map[connectionKey]*quic.Conn
	incomingCount int
}

// connectionKey identifies an incarnation of an instance.
type connectionKey struct {
	name  string
	epoch uint64
}

// New returns a Transport. It does not listen until Serve is called.
func New(config Config) *Transport {
	return &Transport{
		config:     config,
		handlers:   make(map[Kind]Handler),
		guestKinds: make(map[Kind]bool),
		outgoing:   make(map[connectionKey]*quic.Conn),
	}
}

// Handle registers the handler for a kind. It must be called before Serve.
func (t *Transport) Handle(kind Kind, handler Handler) { t.handlers[kind] = handler }

// HandleGuests registers the handler for a kind that guests may call too. It must be called before Serve.
func (t *Transport) HandleGuests(kind Kind, handler Handler) {
	t.Handle(kind, handler)
	t.guestKinds[kind] = true
}

// quicConfig returns the configuration of all connections. They allow no incoming unidirectional streams, since each call
// uses a bidirectional one, and use neither datagrams nor QUIC connection migration.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: idleTimeout,
		MaxIncomingStreams: maxStreams, MaxIncomingUniStreams: -1,
		InitialStreamReceiveWindow: 64 << 10, InitialConnectionReceiveWindow: 128 << 10,
	}
}

// Serve accepts connections from other instances until the context is done. It always returns an error.
func (t *Transport) Serve(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "serve peers")
	address, err := net.ResolveUDPAddr("udp", t.config.Listen)
	if err != nil {
		return err
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return err
	}
	defer socket.Close()
	listener, err := quic.Listen(socket, t.serverTLS(), quicConfig())
	if err != nil {
		return err
	}
	defer listener.Close()
	for {
		connection, acceptErr := listener.Accept(ctx)
		if acceptErr != nil {
			return acceptErr
		}
		go t.serveConnection(ctx, connection)
	}
}

// serverTLS returns a configuration that requires a client certificate of any kind; serveConnection identifies its owner.
func (t *Transport) serverTLS() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{t.config.Identity.certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
	}
}

// clientTLS returns a configuration that accepts only the key with the fingerprint in the member's record.
//
// A member without a fingerprint is a seed, whose record is unknown. Its certificate must prove that its owner has the
// secret.
func (t *Transport) clientTLS(to member.Member) *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{t.config.Identity.certificate},
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocol},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the fingerprint or secret; there is no certificate authority.
		VerifyConnection: func(state tls.ConnectionState) error {
			return t.verifyServer(state.PeerCertificates, to.Fingerprint)
		},
	}
}

// verifyServer checks the certificate of a server against the fingerprint, or against the secret if the fingerprint is empty.
func (t *Transport) verifyServer(certificates []*x509.Certificate, want string) error {
	if len(certificates) != 1 {
		return fmt.Errorf("%d certificates instead of 1", len(certificates))
	}
	if want == "" {
		if !verifySecret(certificates[0], t.config.Secret) {
			return errors.New("the certificate does not prove that its owner has the secret")
		}
		return nil
	}
	if got := fingerprint(certificates[0]); got != want {
		return fmt.Errorf("fingerprint %q differs from the recorded %q", got, want)
	}
	return nil
}

// serveConnection identifies the instance at the other end and serves its calls.
func (t *Transport) serveConnection(ctx context.Context, connection *quic.Conn) {
	if !t.acquireConnection() {
		_ = connection.CloseWithError(closeFull, "too many connections")
		return
	}
	defer t.releaseConnection()
	from, err := t.identify(ctx, connection)
	if err != nil {
		t.config.Log.WithError(err).Warn("refused a connection because the instance could not be identified")
		_ = connection.CloseWithError(closeUnauthorized, "unknown instance")
		return
	}
	for {
		stream, err := connection.AcceptStream(ctx)
		if err != nil {
			_ = connection.CloseWithError(closeNormal, "")
			return
		}
		go t.serveStream(ctx, from, connection, stream)
	}
}

// acquireConnection counts an incoming connection unless the limit is reached, and reports whether it did.
func (t *Transport) acquireConnection() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.incomingCount >= maxIncoming {
		return false
	}
	t.incomingCount++
	return true
}

func (t *Transport) releaseConnection() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incomingCount--
}

// identify returns the record of the instance at the other end. The record of a guest has epoch 0.
func (t *Transport) identify(ctx context.Context, connection *quic.Conn) (from member.Member, err error) {
	certificates := connection.ConnectionState().TLS.PeerCertificates
	if len(certificates) != 1 {
		return from, fmt.Errorf("%d certificates instead of 1", len(certificates))
	}
	timeout, guest := serveTimeout, verifySecret(certificates[0], t.config.Secret)
	if guest {
		timeout = guestTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	name := certificates[0].Subject.CommonName
	from, err = t.config.Resolve(ctx, name, fingerprint(certificates[0]))
	if err != nil && guest {
		return member.Member{Name: name}, nil
	}
	return from, err
}

// serveStream serves one call.
//
// If a guest makes a call that is not for guests, its connection is closed: it may have a record by now, and is identified
// again on its next connection.
func (t *Transport) serveStream(ctx context.Context, from member.Member, connection *quic.Conn, stream *quic.Stream) {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(serveTimeout))
	var req request
	if err := readFrame(stream, &req); err != nil {
		stream.CancelRead(0)
		return
	}
	if from.Epoch == 0 && !t.guestKinds[req.Kind] {
		_ = connection.CloseWithError(closeUnauthorized, "the call is not for guests")
		return
	}
	var resp response
	body, err := t.handle(ctx, from, req)
	if err == nil {
		resp.Body, err = cbor.Marshal(body)
	}
	if err != nil {
		resp.Error = err.Error()
	}
	_ = writeFrame(stream, resp)
}

// handle runs the handler for the kind of the request.
func (t *Transport) handle(ctx context.Context, from member.Member, req request) (any, error) {
	handler, ok := t.handlers[req.Kind]
	if !ok {
		return nil, fmt.Errorf("unknown kind %q", req.Kind)
	}
	return handler(ctx, from, req.Body)
}

// Call sends a request to an instance and decodes the response into result.
//
// After a timeout the next call opens a new connection, so that it does not wait on a connection without responses.
func (t *Transport) Call(ctx context.Context, to member.Member, kind Kind, message, result any) (err error) {
	defer errors.DeferredAnnotatef(&err, "call %s of %q", kind, to.Name)
	connection, err := t.connect(ctx, to)
	if err != nil {
		return err
	}
	err = exchange(ctx, connection, kind, message, result)
	if ctx.Err() != nil || connection.Context().Err() != nil {
		t.drop(to, connection)
	}
	return err
}

// exchange makes one call on a connection, on a stream of its own.
func exchange(ctx context.Context, connection *quic.Conn, kind Kind, message, result any) (err error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if err = writeFrame(stream, request{Kind: kind, Body: body}); err != nil {
		return err
	}
	if err = stream.Close(); err != nil {
		return err
	}
	var resp response
	if err = readFrame(stream, &resp); err != nil {
		return err
	}
	if resp.Error != "" {
		return errors.New(resp.Error)
	}
	return Decode(resp.Body, result)
}

// connect returns the open connection to an incarnation, or opens a new one.
//
// Each connection has its own UDP socket, so that a new connection works even if the network drops the packets of an
// earlier one.
func (t *Transport) connect(ctx context.Context, to member.Member) (connection *quic.Conn, err error) {
	key := connectionKey{to.Name, to.Epoch}
	t.mu.Lock()
	existing := t.outgoing[key]
	t.mu.Unlock()
	if existing != nil && existing.Context().Err() == nil {
		return existing, nil
	}
	connection, err = quic.DialAddr(ctx, to.Address, t.clientTLS(to), quicConfig())
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if concurrent := t.outgoing[key]; concurrent != nil && concurrent.Context().Err() == nil {
		// The goroutine needs its own variable because the return statement sets connection.
		redundant := connection
		go func() { _ = redundant.CloseWithError(closeNormal, "") }()
		return concurrent, nil
	}
	t.removeClosed()
	t.outgoing[key] = connection
	return connection, nil
}

// removeClosed removes closed connections from the map; the caller holds mu.
func (t *Transport) removeClosed() {
	for key, connection := range t.outgoing {
		if connection.Context().Err() != nil {
			delete(t.outgoing, key)
		}
	}
}

// drop removes a connection from the map, so that the next call opens a new one. Other calls on the connection continue, and it
// closes after the idle timeout.
func (t *Transport) drop(to member.Member, connection *quic.Conn) {
	key := connectionKey{to.Name, to.Epoch}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.outgoing[key] == connection {
		delete(t.outgoing, key)
	}
}
