package send

// Names of the headers between routers and upstreams, in canonical form.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderPosition     = "X-Position"
	HeaderFencingToken = "X-Fencing-Token"
	HeaderOrganisation = "X-Organisation"
	HeaderBootID       = "X-Boot-Id"
	// HeaderCachedTokens is the number of prompt tokens that an engine took from its prefix cache.
	HeaderCachedTokens = "X-Cached-Tokens"
	// HeaderNotRun is "true" on a response by which an upstream refuses a request before running it. The status alone
	// is not enough: a 503 can also come from a service that failed in the middle of a run.
	HeaderNotRun = "X-Not-Run"
)
