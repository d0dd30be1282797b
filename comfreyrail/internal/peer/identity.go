package peer

import (
	"crypto/ed25519"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"math/big"
	"time"

	"github.com/juju/errors"
)

// certificateLife is the time for which the certificate of an incarnation is valid.
const certificateLife = 10 * 365 * 24 * time.Hour

// Identity is the key pair of one incarnation with a certificate signed by itself.
type Identity struct {
	// Name is the name of the instance, which the certificate bears.
	Name string
	// Fingerprint is the hash of the public key.
	Fingerprint string

	certificate tls.Certificate
}

// NewIdentity makes a key pair for the named instance; its certificate proves that the maker knows the secret, if there is one.
func NewIdentity(name, secret string) (identity Identity, err error) {
	defer errors.DeferredAnnotatef(&err, "make identity of %q", name)
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return Identity{}, err
	}
	key, err := x509.MarshalPKIXPublicKey(public)
	if err != nil {
		return Identity{}, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name, SerialNumber: proveSecret(key, secret)},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certificateLife),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	content, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return Identity{}, err
	}
	leaf, err := x509.ParseCertificate(content)
	if err != nil {
		return Identity{}, err
	}
	return Identity{
		Name:        name,
		Fingerprint: fingerprint(leaf),
		certificate: tls.Certificate{Certificate: [][]byte{content}, PrivateKey: private, Leaf: leaf},
	}, nil
}

// proveSecret returns what shows that the owner of the public key knows the secret, empty if there is no secret.
func proveSecret(key []byte, secret string) string {
	if secret == "" {
		return ""
	}
	code := hmac.New(sha256.New, []byte(secret))
	_, _ = code.Write(key)
	return base64.RawURLEncoding.EncodeToString(code.Sum(nil))
}

// knowsSecret reports whether the certificate proves that its owner knows the secret.
func knowsSecret(certificate *x509.Certificate, secret string) bool {
	want := proveSecret(certificate.RawSubjectPublicKeyInfo, secret)
	return secret != "" && hmac.Equal([]byte(certificate.Subject.SerialNumber), []byte(want))
}

// fingerprint returns the hash of the public key of a certificate.
func fingerprint(certificate *x509.Certificate) string {
	sum := sha256.Sum256(certificate.RawSubjectPublicKeyInfo)
	return base64.RawURLEncoding.EncodeToString(sum[:])
}
