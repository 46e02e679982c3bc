package auth

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
)

// Access says whether requests need a token.
type Access int

//go:generate stringer -type Access -trimprefix Access -output access_string.go

const (
	// AccessPending means that the settings are not known yet. Every request is refused, because a router that starts
	// without state must not be open in the meantime. It is the zero value.
	AccessPending Access = iota
	// AccessOpen means that no token is configured: everyone may do everything.
	AccessOpen
	// AccessTokens means that every request needs a token.
	AccessTokens
)

// TokenEntry is the entry of a token in the settings tree: the hash of its secret and its holder, which is either an
// organisation or an operator.
type TokenEntry struct {
	Hash         Hash
	Organisation clementinewind.Organisation
	Operator     string
}

// Store looks up tokens in the current settings. It must be safe for concurrent use.
type Store interface {
	Access() Access
	// Lookup returns the entry of a token id.
	Lookup(id string) (TokenEntry, bool)
}

// Identity is who sent a request. With open access it is the zero value, which has all rights.
type Identity struct {
	Organisation clementinewind.Organisation
	Operator     string
}

type identityKey struct{}

// WithIdentity returns a context that carries an identity.
func WithIdentity(ctx context.Context, identity Identity) context.Context {
	return context.WithValue(ctx, identityKey{}, identity)
}

// IdentityFromContext returns the identity that an interceptor found, or the zero value.
func IdentityFromContext(ctx context.Context) Identity {
	identity, _ := ctx.Value(identityKey{}).(Identity)
	return identity
}

// Config configures an Authenticator.
type Config struct {
	Store Store
	// Logger gets the warning about open access; nil discards it.
	Logger hclog.Logger
}

// Authenticator checks tokens against the current settings.
type Authenticator struct {
	store  Store
	logger hclog.Logger
}

// New returns an authenticator.
func New(config Config) *Authenticator {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	return &Authenticator{store: config.Store, logger: config.Logger}
}

// WarnIfOpen logs a warning if access is open. The router calls it when it has loaded the settings.
func (authenticator *Authenticator) WarnIfOpen() {
	if authenticator.store.Access() == AccessOpen {
		authenticator.logger.Warn("OpenAccess", "Detail",
			"no tokens are configured: everyone who reaches this router may send requests and change settings")
	}
}

// identify returns the identity of the token in a header.
func (authenticator *Authenticator) identify(header http.Header) (Identity, error) {
	switch authenticator.store.Access() {
	case AccessOpen:
		return Identity{}, nil
	case AccessTokens:
	default:
		return Identity{}, refuse(connect.CodeUnavailable, "the router has not loaded its settings yet")
	}
	text, found := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if !found {
		return Identity{}, refuse(connect.CodeUnauthenticated, "send a token in the header 'Authorization: Bearer TOKEN'")
	}
	token, err := ParseToken(text)
	if err != nil {
		return Identity{}, refuse(connect.CodeUnauthenticated, err.Error())
	}
	// An unknown id is compared with the zero hash, so that the time does not tell whether an id exists.
	entry, found := authenticator.store.Lookup(token.ID)
	hash := token.Hash()
	equal := subtle.ConstantTimeCompare(hash[:], entry.Hash[:]) == 1
	if !equal || !found {
		return Identity{}, refuse(connect.CodeUnauthenticated, "the token is not valid or has been revoked")
	}
	if (entry.Organisation == "") == (entry.Operator == "") {
		return Identity{}, refuse(connect.CodeUnauthenticated,
			"the settings of this token must name either an organisation or an operator")
	}
	return Identity{Organisation: entry.Organisation, Operator: entry.Operator}, nil
}

// refuse returns an error that carries a callerv1.Refusal with the outcome "not run".
func refuse(code connect.Code, detail string) *connect.Error {
	return refuseAt(clementinewind.ProgressQueued, code, detail)
}

// refuseAt is refuse for a request that may have got as far as progress, from which the outcome follows.
func refuseAt(progress clementinewind.Progress, code connect.Code, detail string) *connect.Error {
	reason := clementinewind.ReasonUnauthorized
	if code == connect.CodeUnavailable {
		reason = clementinewind.ReasonStale
	}
	refusal := clementinewind.NewRefusal(progress, reason, detail)
	message := &callerv1.Refusal{Outcome: callerv1.Outcome_OUTCOME_UNKNOWN, Reason: reason.String(), Detail: detail}
	if refusal.Outcome == clementinewind.OutcomeNotRun {
		message.Outcome = callerv1.Outcome_OUTCOME_NOT_RUN
	}
	refused := connect.NewError(code, refusal)
	if errorDetail, err := connect.NewErrorDetail(message); err == nil {
		refused.AddDetail(errorDetail)
	}
	return refused
}
