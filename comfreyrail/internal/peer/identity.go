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

// certificateValidity is the validity period of the certificate of an incarnation.
const certificateValidity = 10 * 365 * 24 * time.Hour

// Identity is the key pair of one incarnation with its self-signed certificate.
type Identity struct {
	// Name is the name of the instance and the common name of the certificate.
	Name string
	// Fingerprint is the SHA-256 of the public key in unpadded URL-safe base64.
	Fingerprint string

	certificate tls.Certificate
}

// NewIdentity generates a key pair for the named instance. If secret is not empty, the certificate contains a proof that its
// owner has the secret.
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
		Subject:      pkix.Name{CommonName: name, SerialNumber: secretMAC(key, secret)},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certificateValidity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return Identity{}, err
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return Identity{}, err
	}
	return Identity{
		Name:        name,
		Fingerprint: fingerprint(leaf),
		certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private, Leaf: leaf},
	}, nil
}

// secretMAC returns the HMAC-SHA256 of the public key under the secret, which proves that the owner of the key has the secret.
// It returns an empty string if secret is empty. The certificate has the result as the serial number of its subject.
func secretMAC(key []byte, secret string) string {
	if secret == "" {
		return ""
	}
	mac := hmac.New(sha256.New, []byte(secret))
	_, _ = mac.Write(key)
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// verifySecret reports whether the certificate proves that its owner has the secret; it returns false if secret is empty.
func verifySecret(certificate *x509.Certificate, secret string) bool {
	want := secretMAC(certificate.RawSubjectPublicKeyInfo, secret)
	return secret != "" && hmac.Equal([]byte(certificate.Subject.SerialNumber), []byte(want))
}

// fingerprint returns the SHA-256 of the public key of a certificate in unpadded URL-safe base64.
func fingerprint(certificate *x509.Certificate) string {
	sum := sha256.Sum256(certificate.RawSubjectPublicKeyInfo)
	return base64.RawURLEncoding.EncodeToString(sum[:])
}
