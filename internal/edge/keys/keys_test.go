package keys_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind/internal/edge/keys"
)

// authority is a test CA.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	authority := &authority{}
	authority.certificate, authority.key = authority.sign(t, &x509.Certificate{
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour),
	})
	return authority
}

func (authority *authority) sign(t *testing.T, template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	quicktest.Assert(t, err, quicktest.IsNil)
	authority.serial++
	template.SerialNumber = big.NewInt(authority.serial)
	template.NotBefore = time.Now().Add(-2 * time.Hour)
	parent, parentKey := authority.certificate, authority.key
	if parent == nil {
		parent, parentKey = template, key
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	quicktest.Assert(t, err, quicktest.IsNil)
	certificate, err := x509.ParseCertificate(encoded)
	quicktest.Assert(t, err, quicktest.IsNil)
	return certificate, key
}

// write replaces the files with a new certificate for 10.0.0.1, and changes their modification times so that a reload
// notices it.
func (authority *authority) write(t *testing.T, config keys.Config, notAfter time.Time) *x509.Certificate {
	certificate, key := authority.sign(t, &x509.Certificate{NotAfter: notAfter, IPAddresses: []net.IP{net.IPv4(10, 0, 0, 1)}})
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	quicktest.Assert(t, err, quicktest.IsNil)
	writePEM(t, config.Certificate, "CERTIFICATE", certificate.Raw, authority.serial)
	writePEM(t, config.Key, "PRIVATE KEY", encodedKey, authority.serial)
	writePEM(t, config.Authorities, "CERTIFICATE", authority.certificate.Raw, authority.serial)
	return certificate
}

func writePEM(t *testing.T, file, kind string, content []byte, serial int64) {
	quicktest.Assert(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600), quicktest.IsNil)
	at := time.Unix(1_700_000_000+serial, 0)
	quicktest.Assert(t, os.Chtimes(file, at, at), quicktest.IsNil)
}

func newConfig(t *testing.T, logger hclog.Logger) keys.Config {
	directory := t.TempDir()
	return keys.Config{
		Certificate: filepath.Join(directory, "peer.pem"), Key: filepath.Join(directory, "peer.key"),
		Authorities: filepath.Join(directory, "authorities.pem"), Logger: logger,
	}
}

// connect performs a handshake between two stores and returns the certificate that each side received.
func connect(t *testing.T, server, client *keys.Store, address string) (serverSaw, clientSaw *x509.Certificate, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer listener.Close()
	type result struct {
		certificate *x509.Certificate
		err         error
	}
	accepted := make(chan result, 1)
	go func() {
		conn, err := server.Listener(listener).Accept()
		if err != nil {
			accepted <- result{err: err}
			return
		}
		defer conn.Close()
		if err := conn.(*tls.Conn).Handshake(); err != nil {
			accepted <- result{err: err}
			return
		}
		accepted <- result{certificate: conn.(*tls.Conn).ConnectionState().PeerCertificates[0]}
	}()
	dial := client.Dialer(func(ctx context.Context, network, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, listener.Addr().String())
	})
	conn, err := dial(t.Context(), "tcp", address)
	if err == nil {
		defer conn.Close()
		state := conn.(*tls.Conn).ConnectionState()
		quicktest.Check(t, state.NegotiatedProtocol, quicktest.Equals, "h2")
		clientSaw = state.PeerCertificates[0]
	}
	served := <-accepted
	return served.certificate, clientSaw, errors.Wrap(firstNonNil(err, served.err), "connect")
}

func firstNonNil(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Guards against accepting a certificate of another CA or for another address, and against using the old certificate or
// CA after the files changed.
func TestMutualTLS(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	later := time.Now().Add(time.Hour)
	config, foreignConfig := newConfig(t, nil), newConfig(t, nil)
	certificate := first.write(t, config, later)
	second.write(t, foreignConfig, later)
	store, err := keys.New(config)
	quicktest.Assert(t, err, quicktest.IsNil)
	foreign, err := keys.New(foreignConfig)
	quicktest.Assert(t, err, quicktest.IsNil)

	serverSaw, clientSaw, err := connect(t, store, store, "10.0.0.1:7001")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, serverSaw.Equal(certificate) && clientSaw.Equal(certificate), quicktest.IsTrue)
	_, _, err = connect(t, store, store, "10.0.0.2:7001")
	quicktest.Assert(t, err, quicktest.ErrorMatches, ".*certificate is valid for 10.0.0.1, not 10.0.0.2")
	_, _, err = connect(t, store, foreign, "10.0.0.1:7001")
	quicktest.Assert(t, err, quicktest.ErrorMatches, ".*certificate signed by unknown authority.*")

	// The store reloads its files, which are now signed by the other CA.
	certificate = second.write(t, config, later)
	store.Reload()
	serverSaw, clientSaw, err = connect(t, store, foreign, "10.0.0.1:7001")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, clientSaw.Equal(certificate) && !serverSaw.Equal(certificate), quicktest.IsTrue)
	quicktest.Assert(t, store.Expires().Equal(certificate.NotAfter), quicktest.IsTrue)
}

// Guards against invalid new files that stop a running router, are not logged or are logged at each check, and against a
// router that starts without TLS because of them.
func TestInvalidFiles(t *testing.T) {
	later := time.Now().Add(time.Hour)
	tests := map[string]struct {
		spoil func(t *testing.T, authority *authority, config keys.Config)
		kind  keys.ErrorKind
	}{
		"missing": {func(t *testing.T, _ *authority, config keys.Config) {
			quicktest.Assert(t, os.Remove(config.Key), quicktest.IsNil)
		}, keys.Unreadable},
		"half replaced": {func(t *testing.T, authority *authority, config keys.Config) {
			key, err := os.ReadFile(config.Key)
			quicktest.Assert(t, err, quicktest.IsNil)
			authority.write(t, config, later)
			quicktest.Assert(t, os.WriteFile(config.Key, key, 0o600), quicktest.IsNil)
		}, keys.BadPair},
		"expired": {func(t *testing.T, authority *authority, config keys.Config) {
			authority.write(t, config, time.Now().Add(-time.Hour))
		}, keys.NotValidNow},
		"no authorities": {func(t *testing.T, authority *authority, config keys.Config) {
			authority.write(t, config, later)
			quicktest.Assert(t, os.WriteFile(config.Authorities, []byte("none"), 0o600), quicktest.IsNil)
		}, keys.BadAuthorities},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var output bytes.Buffer
			config := newConfig(t, hclog.New(&hclog.LoggerOptions{Output: &output}))
			authority := newAuthority(t)
			certificate := authority.write(t, config, later)
			store, err := keys.New(config)
			quicktest.Assert(t, err, quicktest.IsNil)
			test.spoil(t, authority, config)
			store.Reload()
			store.Reload()
			quicktest.Assert(t, strings.Count(output.String(), "[WARN]  CertificateNotReloaded"), quicktest.Equals, 1)
			serverSaw, _, err := connect(t, store, store, "10.0.0.1:7001")
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, serverSaw.Equal(certificate), quicktest.IsTrue)

			_, err = keys.New(config)
			var typed *keys.Error
			quicktest.Assert(t, errors.As(err, &typed), quicktest.IsTrue)
			quicktest.Assert(t, typed.Kind, quicktest.Equals, test.kind)

			certificate = authority.write(t, config, later)
			store.Reload()
			serverSaw, _, err = connect(t, store, store, "10.0.0.1:7001")
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, serverSaw.Equal(certificate), quicktest.IsTrue)
		})
	}
}
