package conf

import (
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// maxFileBytes is far above any useful file, and prevents a wrong file name from exhausting memory.
const maxFileBytes = mebibyte

// keySpec describes one key of a file with settings of type S. set parses a value and stores it.
type keySpec[S any] struct {
	section  string
	key      string
	required bool
	set      func(settings *S, text string) *valueFault
}

// routerKeys returns all keys that the file of a router may have.
func routerKeys() []keySpec[Router] {
	listen := func(target func(*Router) *netip.AddrPort) func(*Router, string) *valueFault {
		return func(router *Router, text string) *valueFault { return setAddress(text, true, target(router)) }
	}
	remote := func(target func(*Router) *netip.AddrPort) func(*Router, string) *valueFault {
		return func(router *Router, text string) *valueFault { return setAddress(text, false, target(router)) }
	}
	file := func(target func(*Router) *string) func(*Router, string) *valueFault {
		return func(router *Router, text string) *valueFault { return setFile(text, target(router)) }
	}
	return []keySpec[Router]{
		{"Instance", "Name", true, func(router *Router, text string) *valueFault { return setName(text, &router.Name) }},
		{"Instance", "Zone", true, func(router *Router, text string) *valueFault { return setName(text, &router.Zone) }},
		{"Listen", "Caller", true, listen(func(router *Router) *netip.AddrPort { return &router.CallerListen })},
		{"Listen", "Peer", true, listen(func(router *Router) *netip.AddrPort { return &router.PeerListen })},
		{"Listen", "Admin", true, listen(func(router *Router) *netip.AddrPort { return &router.AdminListen })},
		{"Advertise", "Caller", false, remote(func(router *Router) *netip.AddrPort { return &router.CallerAdvertise })},
		{"Advertise", "Peer", false, remote(func(router *Router) *netip.AddrPort { return &router.PeerAdvertise })},
		{"Platform", "Address", true, remote(func(router *Router) *netip.AddrPort { return &router.PlatformAddress })},
		{"Log", "Level", false, func(router *Router, text string) *valueFault { return setLevel(text, &router.LogLevel) }},
		{"Admin", "Pprof", false, func(router *Router, text string) *valueFault { return setBool(text, &router.Pprof) }},
		{"Times", "Drain", false, func(router *Router, text string) *valueFault {
			return setDuration(text, time.Second, 24*time.Hour, &router.Drain)
		}},
		{"Times", "AddressTimeToLive", false, func(router *Router, text string) *valueFault {
			return setDuration(text, time.Second, time.Hour, &router.AddressTimeToLive)
		}},
		{"Times", "ResumeGrace", false, func(router *Router, text string) *valueFault {
			return setDuration(text, 0, time.Hour, &router.ResumeGrace)
		}},
		{"Sizes", "RequestBytes", false, func(router *Router, text string) *valueFault {
			return setSize(text, kibibyte, gibibyte, &router.RequestBytes)
		}},
		{"Sizes", "AnswerBytes", false, func(router *Router, text string) *valueFault {
			return setSize(text, kibibyte, gibibyte, &router.AnswerBytes)
		}},
		{"Sizes", "HeaderBytes", false, func(router *Router, text string) *valueFault {
			return setSize(text, 4*kibibyte, mebibyte, &router.HeaderBytes)
		}},
		{"Sizes", "Connections", false, func(router *Router, text string) *valueFault {
			return setCount(text, 1, 1_000_000, &router.Connections)
		}},
		{"Sizes", "Events", false, func(router *Router, text string) *valueFault {
			return setCount(text, 16, 1_000_000, &router.Events)
		}},
		{"TLS", "CallerCertificate", false, file(func(router *Router) *string { return &router.TLS.CallerCertificate })},
		{"TLS", "CallerKey", false, file(func(router *Router) *string { return &router.TLS.CallerKey })},
		{"TLS", "PeerCertificate", false, file(func(router *Router) *string { return &router.TLS.PeerCertificate })},
		{"TLS", "PeerKey", false, file(func(router *Router) *string { return &router.TLS.PeerKey })},
		{"TLS", "PeerAuthorities", false, file(func(router *Router) *string { return &router.TLS.PeerAuthorities })},
	}
}

// Load reads and validates the file of a router. The error is a *FaultsError if the file could be read but is invalid.
func Load(path string) (Router, error) {
	text, err := readFile(path, "read router settings")
	if err != nil {
		return Router{}, err
	}
	return Parse(path, text)
}

// readFile reads a settings file; step is the prefix of its errors.
func readFile(path, step string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, step)
	}
	if info.Size() > maxFileBytes {
		return nil, errors.Errorf("%s: %s has %d bytes, more than %d", step, path, info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	return text, errors.Wrap(err, step)
}

// Parse parses and validates the text of a router's file. The error is a *FaultsError whose faults name file.
func Parse(file string, text []byte) (Router, error) {
	router := &routerParser{newParser(file, Default())}
	router.parse(text, routerKeys())
	router.defaultAdvertise()
	router.checkAddresses()
	router.checkTLS()
	return router.result()
}

type keyPath struct{ section, key string }

// parser collects the settings and the faults of one file.
type parser[S any] struct {
	file     string
	settings S
	// validKeys has the keys that the file sets to a valid value.
	validKeys map[keyPath]bool
	faults    []Fault
}

func newParser[S any](file string, defaults S) *parser[S] {
	return &parser[S]{file: file, settings: defaults, validKeys: map[keyPath]bool{}}
}

func (parser *parser[S]) parse(text []byte, specs []keySpec[S]) {
	sections := parser.loadSections(text)
	parser.checkUnknown(sections, specs)
	for _, spec := range specs {
		parser.parseKey(sections, spec)
	}
}

func (parser *parser[S]) result() (S, error) {
	if len(parser.faults) > 0 {
		var zero S
		return zero, &FaultsError{Faults: parser.faults}
	}
	return parser.settings, nil
}

// routerParser adds the checks across keys of a router's file.
type routerParser struct {
	*parser[Router]
}

func (parser *parser[S]) addFault(section, key string, kind FaultKind, detail string) {
	parser.faults = append(parser.faults, Fault{
		File: parser.file, Section: printable(section), Key: printable(key), Kind: kind, Detail: printable(detail),
	})
}

// printable replaces characters from the file that could break the line of a fault or act as terminal control sequences.
func printable(text string) string {
	return strings.Map(func(char rune) rune {
		if unicode.IsPrint(char) {
			return char
		}
		return '?'
	}, text)
}

// loadSections parses the INI text. After a syntax fault it parses the text again without the invalid lines, so that the
// other faults are reported too.
func (parser *parser[S]) loadSections(text []byte) *ini.File {
	// Shadows make duplicate keys visible. The delimiter cannot occur in a useful name, so that no section inherits keys from
	// another.
	options := ini.LoadOptions{
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		ChildSectionDelimiter:      "\x00",
	}
	sections, err := ini.LoadSources(options, text)
	if err == nil {
		return sections
	}
	parser.addFault("", "", FaultSyntax, strings.TrimSpace(err.Error()))
	options.SkipUnrecognizableLines = true
	if sections, err = ini.LoadSources(options, text); err != nil {
		return ini.Empty()
	}
	return sections
}

func (parser *parser[S]) checkUnknown(sections *ini.File, specs []keySpec[S]) {
	for _, section := range sections.Sections() {
		name := section.Name()
		known := slices.ContainsFunc(specs, func(spec keySpec[S]) bool { return spec.section == name })
		if !known && (name != ini.DefaultSection || len(section.Keys()) > 0) {
			detail := "unknown section"
			if name == ini.DefaultSection {
				detail = "keys stand before the first section"
			}
			parser.addFault(name, "", FaultUnknownSection, detail)
		}
		for _, key := range section.Keys() {
			if known && !slices.ContainsFunc(specs, func(spec keySpec[S]) bool {
				return spec.section == name && spec.key == key.Name()
			}) {
				parser.addFault(name, key.Name(), FaultUnknownKey, "unknown key")
			}
		}
	}
}

func (parser *parser[S]) parseKey(sections *ini.File, spec keySpec[S]) {
	var values []string
	if section, err := sections.GetSection(spec.section); err == nil && section.HasKey(spec.key) {
		values = section.Key(spec.key).ValueWithShadows()
	}
	switch {
	case len(values) > 1:
		parser.addFault(spec.section, spec.key, FaultDuplicateKey, "given more than once")
	case len(values) == 0 || values[0] == "":
		if spec.required {
			parser.addFault(spec.section, spec.key, FaultMissing, "required")
		}
	default:
		if fault := spec.set(&parser.settings, values[0]); fault != nil {
			parser.addFault(spec.section, spec.key, fault.kind, fault.detail)
			return
		}
		parser.validKeys[keyPath{spec.section, spec.key}] = true
	}
}

// defaultAdvertise advertises the listen address if no advertised address is set.
func (parser *routerParser) defaultAdvertise() {
	setDefault := func(key string, listen netip.AddrPort, advertise *netip.AddrPort) {
		switch {
		case advertise.IsValid() || !listen.IsValid():
		case listen.Addr().IsUnspecified():
			parser.addFault("Advertise", key, FaultMissing, "required because the router listens on all addresses")
		default:
			*advertise = listen
		}
	}
	setDefault("Caller", parser.settings.CallerListen, &parser.settings.CallerAdvertise)
	setDefault("Peer", parser.settings.PeerListen, &parser.settings.PeerAdvertise)
}

// checkAddresses reports addresses that conflict with each other.
func (parser *routerParser) checkAddresses() {
	router := parser.settings
	type namedAddress struct {
		keyPath
		address netip.AddrPort
	}
	listenAddresses := []namedAddress{
		{keyPath{"Listen", "Caller"}, router.CallerListen},
		{keyPath{"Listen", "Peer"}, router.PeerListen},
		{keyPath{"Listen", "Admin"}, router.AdminListen},
	}
	remoteAddresses := []namedAddress{
		{keyPath{"Advertise", "Caller"}, router.CallerAdvertise},
		{keyPath{"Advertise", "Peer"}, router.PeerAdvertise},
		{keyPath{"Platform", "Address"}, router.PlatformAddress},
	}
	for _, group := range [][]namedAddress{listenAddresses, remoteAddresses} {
		for i, second := range group {
			for _, first := range group[:i] {
				// If the second address defaulted to a listen address, the conflict is already reported for that listen address.
				if parser.validKeys[second.keyPath] && conflict(first.address, second.address) {
					parser.addFault(second.section, second.key, FaultDuplicateAddress,
						second.address.String()+" is also used by ["+first.section+"] "+first.key)
				}
			}
		}
	}
}

// conflict reports whether two sockets cannot listen on these addresses at the same time. Advertised addresses and that of the
// platform are never unspecified and conflict only if they are equal.
func conflict(first, second netip.AddrPort) bool {
	if !first.IsValid() || !second.IsValid() || first.Port() != second.Port() {
		return false
	}
	return first.Addr() == second.Addr() || first.Addr().IsUnspecified() || second.Addr().IsUnspecified()
}

func (parser *routerParser) checkTLS() {
	require := func(section, key, value, reason string) {
		if value == "" {
			parser.addFault(section, key, FaultMissing, "required because "+reason+" is set")
		}
	}
	tls := parser.settings.TLS
	if tls.CallerCertificate != "" {
		require("TLS", "CallerKey", tls.CallerKey, "CallerCertificate")
	}
	if tls.CallerKey != "" {
		require("TLS", "CallerCertificate", tls.CallerCertificate, "CallerKey")
	}
	if tls.PeerCertificate != "" || tls.PeerKey != "" || tls.PeerAuthorities != "" {
		because := "another Peer file"
		require("TLS", "PeerCertificate", tls.PeerCertificate, because)
		require("TLS", "PeerKey", tls.PeerKey, because)
		require("TLS", "PeerAuthorities", tls.PeerAuthorities, because)
	}
}
