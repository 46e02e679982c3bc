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

// maxFileBytes is far above any useful file and keeps a wrong file name from filling the memory.
const maxFileBytes = mebibyte

// field is one key of the file.
type field[S any] struct {
	section  string
	key      string
	required bool
	set      func(settings *S, text string) *problem
}

// routerFields returns every key that the file of a router may have.
func routerFields() []field[Router] {
	listen := func(target func(*Router) *netip.AddrPort) func(*Router, string) *problem {
		return func(router *Router, text string) *problem { return setAddress(text, true, target(router)) }
	}
	remote := func(target func(*Router) *netip.AddrPort) func(*Router, string) *problem {
		return func(router *Router, text string) *problem { return setAddress(text, false, target(router)) }
	}
	file := func(target func(*Router) *string) func(*Router, string) *problem {
		return func(router *Router, text string) *problem { return setFile(text, target(router)) }
	}
	return []field[Router]{
		{"Instance", "Name", true, func(router *Router, text string) *problem { return setName(text, &router.Name) }},
		{"Instance", "Zone", true, func(router *Router, text string) *problem { return setName(text, &router.Zone) }},
		{"Listen", "Caller", true, listen(func(router *Router) *netip.AddrPort { return &router.CallerListen })},
		{"Listen", "Peer", true, listen(func(router *Router) *netip.AddrPort { return &router.PeerListen })},
		{"Listen", "Admin", true, listen(func(router *Router) *netip.AddrPort { return &router.AdminListen })},
		{"Advertise", "Caller", false, remote(func(router *Router) *netip.AddrPort { return &router.CallerAdvertise })},
		{"Advertise", "Peer", false, remote(func(router *Router) *netip.AddrPort { return &router.PeerAdvertise })},
		{"Platform", "Address", true, remote(func(router *Router) *netip.AddrPort { return &router.PlatformAddress })},
		{"Log", "Level", false, func(router *Router, text string) *problem { return setLevel(text, &router.LogLevel) }},
		{"Admin", "Pprof", false, func(router *Router, text string) *problem { return setBool(text, &router.Pprof) }},
		{"Times", "Drain", false, func(router *Router, text string) *problem {
			return setDuration(text, time.Second, 24*time.Hour, &router.Drain)
		}},
		{"Times", "AddressTimeToLive", false, func(router *Router, text string) *problem {
			return setDuration(text, time.Second, time.Hour, &router.AddressTimeToLive)
		}},
		{"Times", "ResumeGrace", false, func(router *Router, text string) *problem {
			return setDuration(text, 0, time.Hour, &router.ResumeGrace)
		}},
		{"Sizes", "RequestBytes", false, func(router *Router, text string) *problem {
			return setSize(text, kibibyte, gibibyte, &router.RequestBytes)
		}},
		{"Sizes", "AnswerBytes", false, func(router *Router, text string) *problem {
			return setSize(text, kibibyte, gibibyte, &router.AnswerBytes)
		}},
		{"Sizes", "HeaderBytes", false, func(router *Router, text string) *problem {
			return setSize(text, 4*kibibyte, mebibyte, &router.HeaderBytes)
		}},
		{"Sizes", "Connections", false, func(router *Router, text string) *problem {
			return setCount(text, 1, 1_000_000, &router.Connections)
		}},
		{"Sizes", "Events", false, func(router *Router, text string) *problem {
			return setCount(text, 16, 1_000_000, &router.Events)
		}},
		{"TLS", "CallerCertificate", false, file(func(router *Router) *string { return &router.TLS.CallerCertificate })},
		{"TLS", "CallerKey", false, file(func(router *Router) *string { return &router.TLS.CallerKey })},
		{"TLS", "PeerCertificate", false, file(func(router *Router) *string { return &router.TLS.PeerCertificate })},
		{"TLS", "PeerKey", false, file(func(router *Router) *string { return &router.TLS.PeerKey })},
		{"TLS", "PeerAuthorities", false, file(func(router *Router) *string { return &router.TLS.PeerAuthorities })},
	}
}

// Load reads and checks a file. The error is a *FaultsError if the file could be read but is not valid.
func Load(path string) (Router, error) {
	text, err := readFile(path, "read router settings")
	if err != nil {
		return Router{}, err
	}
	return Parse(path, text)
}

// readFile reads a file of settings; what names the step in its errors.
func readFile(path, what string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, what)
	}
	if info.Size() > maxFileBytes {
		return nil, errors.Errorf("%s: %s has %d bytes, more than %d", what, path, info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	return text, errors.Wrap(err, what)
}

// Parse checks the text of a file as a whole. The error is a *FaultsError that names file in each fault.
func Parse(file string, text []byte) (Router, error) {
	router := &routerParser{newParser(file, Default())}
	router.parse(text, routerFields())
	router.completeAddresses()
	router.checkAddresses()
	router.checkTLS()
	return router.result()
}

type place struct{ section, key string }

// parser collects the settings and the faults of one file.
type parser[S any] struct {
	file     string
	settings S
	// given holds the keys whose values could be read.
	given  map[place]bool
	faults []Fault
}

func newParser[S any](file string, defaults S) *parser[S] {
	return &parser[S]{file: file, settings: defaults, given: map[place]bool{}}
}

func (parser *parser[S]) parse(text []byte, fields []field[S]) {
	sections := parser.sections(text)
	parser.rejectUnknown(sections, fields)
	for _, field := range fields {
		parser.apply(sections, field)
	}
}

func (parser *parser[S]) result() (S, error) {
	if len(parser.faults) > 0 {
		var none S
		return none, &FaultsError{Faults: parser.faults}
	}
	return parser.settings, nil
}

// routerParser adds the checks between the keys of a router.
type routerParser struct {
	*parser[Router]
}

func (parser *parser[S]) report(section, key string, kind FaultKind, detail string) {
	parser.faults = append(parser.faults, Fault{
		File: parser.file, Section: printable(section), Key: printable(key), Kind: kind, Detail: printable(detail),
	})
}

// printable replaces characters of the file that could break the line of a fault or change the terminal.
func printable(text string) string {
	return strings.Map(func(letter rune) rune {
		if unicode.IsPrint(letter) {
			return letter
		}
		return '?'
	}, text)
}

// sections reads the text. After a syntax fault it reads it again without the faulty lines, so that the other faults
// are reported too.
func (parser *parser[S]) sections(text []byte) *ini.File {
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
	parser.report("", "", FaultSyntax, strings.TrimSpace(err.Error()))
	options.SkipUnrecognizableLines = true
	if sections, err = ini.LoadSources(options, text); err != nil {
		return ini.Empty()
	}
	return sections
}

func (parser *parser[S]) rejectUnknown(sections *ini.File, fields []field[S]) {
	for _, section := range sections.Sections() {
		name := section.Name()
		known := slices.ContainsFunc(fields, func(field field[S]) bool { return field.section == name })
		if !known && (name != ini.DefaultSection || len(section.Keys()) > 0) {
			detail := "unknown section"
			if name == ini.DefaultSection {
				detail = "keys stand before the first section"
			}
			parser.report(name, "", FaultUnknownSection, detail)
		}
		for _, key := range section.Keys() {
			if known && !slices.ContainsFunc(fields, func(field field[S]) bool {
				return field.section == name && field.key == key.Name()
			}) {
				parser.report(name, key.Name(), FaultUnknownKey, "unknown key")
			}
		}
	}
}

func (parser *parser[S]) apply(sections *ini.File, field field[S]) {
	var values []string
	if section, err := sections.GetSection(field.section); err == nil && section.HasKey(field.key) {
		values = section.Key(field.key).ValueWithShadows()
	}
	switch {
	case len(values) > 1:
		parser.report(field.section, field.key, FaultDuplicateKey, "given more than once")
	case len(values) == 0 || values[0] == "":
		if field.required {
			parser.report(field.section, field.key, FaultMissing, "required")
		}
	default:
		if problem := field.set(&parser.settings, values[0]); problem != nil {
			parser.report(field.section, field.key, problem.kind, problem.detail)
			return
		}
		parser.given[place{field.section, field.key}] = true
	}
}

// completeAddresses takes the listen address where no advertised address is given.
func (parser *routerParser) completeAddresses() {
	complete := func(key string, listen netip.AddrPort, advertise *netip.AddrPort) {
		switch {
		case advertise.IsValid() || !listen.IsValid():
		case listen.Addr().IsUnspecified():
			parser.report("Advertise", key, FaultMissing, "required because the router listens on all addresses")
		default:
			*advertise = listen
		}
	}
	complete("Caller", parser.settings.CallerListen, &parser.settings.CallerAdvertise)
	complete("Peer", parser.settings.PeerListen, &parser.settings.PeerAdvertise)
}

// checkAddresses reports addresses that cannot be used together.
func (parser *routerParser) checkAddresses() {
	router := parser.settings
	type named struct {
		place
		address netip.AddrPort
	}
	listens := []named{
		{place{"Listen", "Caller"}, router.CallerListen},
		{place{"Listen", "Peer"}, router.PeerListen},
		{place{"Listen", "Admin"}, router.AdminListen},
	}
	remotes := []named{
		{place{"Advertise", "Caller"}, router.CallerAdvertise},
		{place{"Advertise", "Peer"}, router.PeerAdvertise},
		{place{"Platform", "Address"}, router.PlatformAddress},
	}
	for _, group := range [][]named{listens, remotes} {
		for i, second := range group {
			for _, first := range group[:i] {
				// Defaults from a listen address are reported there.
				if parser.given[second.place] && overlap(first.address, second.address) {
					parser.report(second.section, second.key, FaultDuplicateAddress,
						second.address.String()+" is also used by ["+first.section+"] "+first.key)
				}
			}
		}
	}
}

// overlap reports whether two sockets cannot both listen on these addresses.
func overlap(first, second netip.AddrPort) bool {
	if !first.IsValid() || !second.IsValid() || first.Port() != second.Port() {
		return false
	}
	return first.Addr() == second.Addr() || first.Addr().IsUnspecified() || second.Addr().IsUnspecified()
}

func (parser *routerParser) checkTLS() {
	require := func(section, key, value, because string) {
		if value == "" {
			parser.report(section, key, FaultMissing, "required because "+because+" is set")
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
