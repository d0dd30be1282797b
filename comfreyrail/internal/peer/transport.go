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

// Times and limits of connections.
const (
	protocol         = "comfreyrail"
	idleTimeout      = 30 * time.Second
	handshakeTimeout = 2 * time.Second
	serveTimeout     = 10 * time.Second
	// guestTimeout is the longest wait for the record of an instance that may be served as a guest.
	guestTimeout   = 500 * time.Millisecond
	maxStreams     = 64
	maxConnections = 1024
)

// Codes with which a connection is closed.
const (
	closeNormal  quic.ApplicationErrorCode = 0
	closeUnknown quic.ApplicationErrorCode = 2
	closeFull    quic.ApplicationErrorCode = 3
)

// Handler answers one request of another instance.
type Handler func(ctx context.Context, from member.Member, body []byte) (answer any, err error)

// Config configures a Transport.
type Config struct {
	// Listen is the UDP host and port to listen on.
	Listen string
	// Identity is the key pair of this incarnation.
	Identity Identity
	// Resolve returns the record of the instance with the name and fingerprint.
	Resolve func(ctx context.Context, name, fingerprint string) (member.Member, error)
	// Secret is known to every instance; it admits one that has no record yet as a guest, if it is not empty.
	Secret string
	// Log receives the log.
	Log *logrus.Entry
}

// Transport calls other instances and serves their calls; its methods may be called concurrently.
type Transport struct {
	config   Config
	handlers map[Kind]Handler
	guests   map[Kind]bool

	mu          sync.Mutex
	connections map[connectionKey]*quic.Conn
	served      int
}

// connectionKey names one incarnation.
type connectionKey struct {
	name  string
	epoch uint64
}

// New returns a Transport that serves after Serve is called.
func New(config Config) *Transport {
	return &Transport{
		config:      config,
		handlers:    make(map[Kind]Handler),
		guests:      make(map[Kind]bool),
		connections: make(map[connectionKey]*quic.Conn),
	}
}

// Handle sets the handler for a kind; it must be called before Serve.
func (t *Transport) Handle(kind Kind, handler Handler) { t.handlers[kind] = handler }

// HandleGuests sets the handler for a kind that guests may ask for too; it must be called before Serve.
func (t *Transport) HandleGuests(kind Kind, handler Handler) {
	t.Handle(kind, handler)
	t.guests[kind] = true
}

// settings are the settings of all connections; the library's own datagrams and migration stay unused.
func settings() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: idleTimeout,
		MaxIncomingStreams: maxStreams, MaxIncomingUniStreams: -1,
		InitialStreamReceiveWindow: 64 << 10, InitialConnectionReceiveWindow: 128 << 10,
	}
}

// Serve listens for other instances until the context ends.
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
	listener, err := quic.Listen(socket, t.serverTLS(), settings())
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

// serverTLS asks for a certificate; serveConnection checks whose it is.
func (t *Transport) serverTLS() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{t.config.Identity.certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
	}
}

// clientTLS accepts only the key whose fingerprint the member's record bears.
//
// A member without a fingerprint is one whose record could not be read; its key must be proved by the secret.
func (t *Transport) clientTLS(to member.Member) *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{t.config.Identity.certificate},
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocol},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the fingerprint; there is no authority.
		VerifyConnection: func(state tls.ConnectionState) error {
			return t.checkServer(state.PeerCertificates, to.Fingerprint)
		},
	}
}

func (t *Transport) checkServer(certificates []*x509.Certificate, want string) error {
	if len(certificates) != 1 {
		return fmt.Errorf("%d certificates instead of 1", len(certificates))
	}
	if want == "" {
		if !knowsSecret(certificates[0], t.config.Secret) {
			return errors.New("the instance does not prove that it knows the secret")
		}
		return nil
	}
	if got := fingerprint(certificates[0]); got != want {
		return fmt.Errorf("fingerprint %q differs from the recorded %q", got, want)
	}
	return nil
}

// serveConnection answers the calls of one instance after checking who it is.
func (t *Transport) serveConnection(ctx context.Context, connection *quic.Conn) {
	if !t.enter() {
		_ = connection.CloseWithError(closeFull, "too many connections")
		return
	}
	defer t.exit()
	from, err := t.identify(ctx, connection)
	if err != nil {
		t.config.Log.WithError(err).Warn("refused a connection of an unknown instance")
		_ = connection.CloseWithError(closeUnknown, "unknown instance")
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

func (t *Transport) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.served >= maxConnections {
		return false
	}
	t.served++
	return true
}

func (t *Transport) exit() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served--
}

// identify returns the record of the instance at the other end; a guest has no epoch.
func (t *Transport) identify(ctx context.Context, connection *quic.Conn) (from member.Member, err error) {
	certificates := connection.ConnectionState().TLS.PeerCertificates
	if len(certificates) != 1 {
		return from, fmt.Errorf("%d certificates instead of 1", len(certificates))
	}
	limit, guest := serveTimeout, knowsSecret(certificates[0], t.config.Secret)
	if guest {
		limit = guestTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	name := certificates[0].Subject.CommonName
	from, err = t.config.Resolve(ctx, name, fingerprint(certificates[0]))
	if err != nil && guest {
		return member.Member{Name: name}, nil
	}
	return from, err
}

// serveStream answers one call.
//
// A guest who asks for more may have a record by now: its connection is closed, so that the next one is identified anew.
func (t *Transport) serveStream(ctx context.Context, from member.Member, connection *quic.Conn, stream *quic.Stream) {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(serveTimeout))
	var received request
	if err := readFrame(stream, &received); err != nil {
		stream.CancelRead(0)
		return
	}
	if from.Epoch == 0 && !t.guests[received.Kind] {
		_ = connection.CloseWithError(closeUnknown, "the call is not for guests")
		return
	}
	var sent answer
	body, err := t.handle(ctx, from, received)
	if err == nil {
		sent.Body, err = cbor.Marshal(body)
	}
	if err != nil {
		sent.Error = err.Error()
	}
	_ = writeFrame(stream, sent)
}

func (t *Transport) handle(ctx context.Context, from member.Member, received request) (any, error) {
	handler, ok := t.handlers[received.Kind]
	if !ok {
		return nil, fmt.Errorf("unknown kind %q", received.Kind)
	}
	return handler(ctx, from, received.Body)
}

// Call sends a request to an instance and decodes its answer into result.
//
// After a call that timed out the next one opens a new connection, so that it does not wait on a silent one.
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

// exchange makes one call on a connection.
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
	var received answer
	if err = readFrame(stream, &received); err != nil {
		return err
	}
	if received.Error != "" {
		return errors.New(received.Error)
	}
	return Decode(received.Body, result)
}

// connect returns the open connection to an incarnation, or opens one.
//
// Each connection has a socket of its own, so that a new one does not share the fate of a silent one.
func (t *Transport) connect(ctx context.Context, to member.Member) (connection *quic.Conn, err error) {
	key := connectionKey{to.Name, to.Epoch}
	t.mu.Lock()
	known := t.connections[key]
	t.mu.Unlock()
	if known != nil && known.Context().Err() == nil {
		return known, nil
	}
	connection, err = quic.DialAddr(ctx, to.Address, t.clientTLS(to), settings())
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if raced := t.connections[key]; raced != nil && raced.Context().Err() == nil {
		// The goroutine needs a variable of its own, since the return sets connection.
		extra := connection
		go func() { _ = extra.CloseWithError(closeNormal, "") }()
		return raced, nil
	}
	t.sweep()
	t.connections[key] = connection
	return connection, nil
}

// sweep forgets closed connections.
func (t *Transport) sweep() {
	for key, connection := range t.connections {
		if connection.Context().Err() != nil {
			delete(t.connections, key)
		}
	}
}

// drop lets the next call open a new connection; other calls on this one go on, and it ends when it is idle.
func (t *Transport) drop(to member.Member, connection *quic.Conn) {
	key := connectionKey{to.Name, to.Epoch}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.connections[key] == connection {
		delete(t.connections, key)
	}
}
