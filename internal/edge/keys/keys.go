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
	// defaultCheckInterval is short compared with the lifetime of a certificate.
	defaultCheckInterval = 10 * time.Second
	// handshakeTimeout bounds a client handshake if the context has no earlier deadline.
	handshakeTimeout = 5 * time.Second
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a Store.
type Config struct {
	// Certificate and Key are the paths of PEM files.
	Certificate string
	Key         string
	// Authorities is the path of a PEM file with the CA certificates that verify the other side. If it is empty, the
	// listener requests no client certificate.
	Authorities string
	// Interval is how often the files are checked for changes; 0 means 10 s.
	Interval time.Duration
	// Logger reports reloads; nil discards them.
	Logger hclog.Logger
}

// keyMaterial is the parsed content of the files.
type keyMaterial struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	files       [3]fileState
}

// fileState identifies a version of a file, to detect changes.
type fileState struct {
	modified time.Time
	size     int64
}

// Store holds the last valid content of the files. It is safe for concurrent use.
type Store struct {
	config Config

	mutex   sync.Mutex
	current keyMaterial
	// lastFailure is the text of the last failed reload, so that the same error is not logged again at each check.
	lastFailure string
}

// New loads the files. Its error is an *Error.
func New(config Config) (*Store, error) {
	if config.Interval <= 0 {
		config.Interval = defaultCheckInterval
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

// Reload loads the files if they changed. If they are not valid, it logs the error and keeps the previous content. The
// next call tries again, because a certificate and its key are not replaced at the same moment.
func (store *Store) Reload() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	files, err := store.fileStates()
	if err == nil && files == store.current.files {
		store.lastFailure = ""
		return
	}
	loaded, err := store.load()
	if err != nil {
		if err.Error() != store.lastFailure {
			store.config.Logger.Warn("CertificateNotReloaded", "Error", err, "Expires", expiry(store.current))
		}
		store.lastFailure = err.Error()
		return
	}
	store.current, store.lastFailure = loaded, ""
	store.config.Logger.Info("CertificateReloaded", "File", store.config.Certificate, "Expires", expiry(loaded))
}

// Expires returns when the certificate in use expires.
func (store *Store) Expires() time.Time {
	return expiry(store.currentMaterial())
}

func expiry(material keyMaterial) time.Time {
	return material.certificate.Leaf.NotAfter
}

func (store *Store) currentMaterial() keyMaterial {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.current
}

func (store *Store) fileNames() []string {
	names := []string{store.config.Certificate, store.config.Key}
	if store.config.Authorities != "" {
		names = append(names, store.config.Authorities)
	}
	return names
}

func (store *Store) fileStates() ([3]fileState, error) {
	var states [3]fileState
	for i, name := range store.fileNames() {
		info, err := os.Stat(name)
		if err != nil {
			return states, &Error{Kind: Unreadable, File: name, Err: err}
		}
		states[i] = fileState{modified: info.ModTime(), size: info.Size()}
	}
	return states, nil
}

// load reads all files. It takes their states before their content, so that a change during the read is noticed at the
// next check.
func (store *Store) load() (keyMaterial, error) {
	states, err := store.fileStates()
	if err != nil {
		return keyMaterial{}, err
	}
	var contents [3][]byte
	for i, name := range store.fileNames() {
		if contents[i], err = os.ReadFile(name); err != nil {
			return keyMaterial{}, &Error{Kind: Unreadable, File: name, Err: err}
		}
	}
	certificate, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return keyMaterial{}, &Error{Kind: BadPair, File: store.config.Certificate, Err: err}
	}
	if now := time.Now(); now.Before(certificate.Leaf.NotBefore) || now.After(certificate.Leaf.NotAfter) {
		return keyMaterial{}, &Error{Kind: NotValidNow, File: store.config.Certificate, Err: errors.Errorf(
			"valid from %s to %s", certificate.Leaf.NotBefore.Format(time.RFC3339), certificate.Leaf.NotAfter.Format(time.RFC3339))}
	}
	loaded := keyMaterial{certificate: certificate, files: states}
	if store.config.Authorities != "" {
		loaded.authorities = x509.NewCertPool()
		if !loaded.authorities.AppendCertsFromPEM(contents[2]) {
			return keyMaterial{}, &Error{Kind: BadAuthorities, File: store.config.Authorities, Err: errors.New("no certificate found")}
		}
	}
	return loaded, nil
}

// Listener wraps a listener with TLS and HTTP/2. If authorities are configured, clients must present a certificate
// signed by one of them.
func (store *Store) Listener(listener net.Listener) net.Listener {
	return tls.NewListener(listener, &tls.Config{
		MinVersion:         tls.VersionTLS12,
		NextProtos:         []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return store.serverConfig(), nil },
	})
}

func (store *Store) serverConfig() *tls.Config {
	material := store.currentMaterial()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{material.certificate},
		NextProtos:   []string{"h2", "http/1.1"},
	}
	if material.authorities != nil {
		config.MinVersion = tls.VersionTLS13
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = material.authorities
		// A resumed session would not be verified against authorities that were reloaded since.
		config.SessionTicketsDisabled = true
	}
	return config
}

// Dialer wraps a dial function with mutual TLS and HTTP/2. The server's certificate must be valid for the host of the
// address, which may be an IP address. Each connection uses the current certificate and authorities; a tls.Config in a
// client would keep the old ones.
func (store *Store) Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Wrap(err, "split address for TLS")
		}
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		material := store.currentMaterial()
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
