package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

const (
	// defaultInterval is short against the lifetime of any certificate.
	defaultInterval = 10 * time.Second
	// handshakeTimeout bounds a handshake that this process starts, if the context sets no earlier end.
	handshakeTimeout = 5 * time.Second
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a Store.
type Config struct {
	// Certificate and Key are PEM files.
	Certificate string
	Key         string
	// Authorities is a PEM file with the authorities that sign the other side; empty serves TLS without asking for a
	// client certificate.
	Authorities string
	// Interval is how often the files are checked for a change; 0 takes 10 s.
	Interval time.Duration
	// Logger reports reloads; nil writes nothing.
	Logger hclog.Logger
}

// material is what the files hold at one time.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	files       [3]fileState
}

// fileState tells whether a file changed.
type fileState struct {
	modified time.Time
	size     int64
}

// Store holds the newest usable content of the files. Its methods may be called by many goroutines.
type Store struct {
	config Config

	mu      sync.Mutex
	current material
	// failure is the text of the last failed reload, so that the same failure is logged once.
	failure string
}

// New reads the files. The error is an *Error.
func New(config Config) (*Store, error) {
	if config.Interval <= 0 {
		config.Interval = defaultInterval
	}
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	store := &Store{config: config}
	loaded, err := store.load()
	if err != nil {
		return nil, err
	}
	store.current = loaded
	return store, nil
}

// Run checks the files for changes until the context ends.
func (store *Store) Run(ctx context.Context) error {
	ticker := time.NewTicker(store.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			store.Reload()
		case <-ctx.Done():
			return nil
		}
	}
}

// Reload reads the files if they changed. Files that cannot be used are logged and the earlier content stays in use; they
// are read again at the next call, because a certificate and its key are not replaced at the same moment.
func (store *Store) Reload() {
	store.mu.Lock()
	defer store.mu.Unlock()
	files, err := store.states()
	if err == nil && files == store.current.files {
		store.failure = ""
		return
	}
	loaded, err := store.load()
	if err != nil {
		if err.Error() != store.failure {
			store.config.Logger.Warn("CertificateNotReloaded", "Error", err, "Expires", expiry(store.current))
		}
		store.failure = err.Error()
		return
	}
	store.current, store.failure = loaded, ""
	store.config.Logger.Info("CertificateReloaded", "File", store.config.Certificate, "Expires", expiry(loaded))
}

// Expires returns when the certificate in use expires.
func (store *Store) Expires() time.Time {
	return expiry(store.material())
}

func expiry(material material) time.Time {
	return material.certificate.Leaf.NotAfter
}

func (store *Store) material() material {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.current
}

func (store *Store) names() []string {
	names := []string{store.config.Certificate, store.config.Key}
	if store.config.Authorities != "" {
		names = append(names, store.config.Authorities)
	}
	return names
}

func (store *Store) states() ([3]fileState, error) {
	var states [3]fileState
	for i, name := range store.names() {
		info, err := os.Stat(name)
		if err != nil {
			return states, &Error{Kind: Unreadable, File: name, Err: err}
		}
		states[i] = fileState{modified: info.ModTime(), size: info.Size()}
	}
	return states, nil
}

// load reads all files. Their states are taken first, so that a change during the read is seen at the next check.
func (store *Store) load() (material, error) {
	states, err := store.states()
	if err != nil {
		return material{}, err
	}
	var contents [3][]byte
	for i, name := range store.names() {
		if contents[i], err = os.ReadFile(name); err != nil {
			return material{}, &Error{Kind: Unreadable, File: name, Err: err}
		}
	}
	certificate, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return material{}, &Error{Kind: BadPair, File: store.config.Certificate, Err: err}
	}
	if now := time.Now(); now.Before(certificate.Leaf.NotBefore) || now.After(certificate.Leaf.NotAfter) {
		return material{}, &Error{Kind: NotValidNow, File: store.config.Certificate, Err: errors.Errorf(
			"valid from %s to %s", certificate.Leaf.NotBefore.Format(time.RFC3339), certificate.Leaf.NotAfter.Format(time.RFC3339))}
	}
	loaded := material{certificate: certificate, files: states}
	if store.config.Authorities != "" {
		loaded.authorities = x509.NewCertPool()
		if !loaded.authorities.AppendCertsFromPEM(contents[2]) {
			return material{}, &Error{Kind: BadAuthorities, File: store.config.Authorities, Err: errors.New("no certificate found")}
		}
	}
	return loaded, nil
}

// Listener returns a listener that serves TLS, with HTTP/2, over the connections of another one. If authorities are
// configured, the other side must have a certificate that they signed.
func (store *Store) Listener(listener net.Listener) net.Listener {
	return tls.NewListener(listener, &tls.Config{
		MinVersion:         tls.VersionTLS12,
		NextProtos:         []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return store.serverConfig(), nil },
	})
}

func (store *Store) serverConfig() *tls.Config {
	material := store.material()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{material.certificate},
		NextProtos:   []string{"h2", "http/1.1"},
	}
	if material.authorities != nil {
		config.MinVersion = tls.VersionTLS13
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = material.authorities
		// A resumed session would not be checked against authorities that were reloaded after it began.
		config.SessionTicketsDisabled = true
	}
	return config
}

// Dialer returns a function that connects with mutual TLS and HTTP/2 over the connections of another one. The
// certificate of the other side must name the host of the address, which may be an IP address. Each connection takes the
// newest certificate and authorities, which a tls.Config in a client would not.
func (store *Store) Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Wrap(err, "address for TLS")
		}
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		material := store.material()
		conn := tls.Client(plain, &tls.Config{
			MinVersion:   tls.VersionTLS13,
			ServerName:   host,
			Certificates: []tls.Certificate{material.certificate},
			RootCAs:      material.authorities,
			NextProtos:   []string{"h2"},
		})
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		if err := conn.HandshakeContext(ctx); err != nil {
			plain.Close()
			return nil, errors.Wrapf(err, "TLS handshake with %s", address)
		}
		return conn, nil
	}
}
