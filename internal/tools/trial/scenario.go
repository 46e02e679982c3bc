package trial

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Engines describes the engines, which are all the same.
type Engines struct {
	Count int
	// Slots requests run at once at each engine, and Queue more wait.
	Slots int
	Queue int
	// TokensPerMillisecond is how fast prompts are read, Step the time for one token of all running requests, and
	// StepPerRequest what each of them adds to it.
	TokensPerMillisecond float64
	Step                 time.Duration
	StepPerRequest       time.Duration
	MemoryTokens         int
	// ColdPerSecond is the rate at which an engine crashes while it is cold.
	ColdPerSecond int
}

// Route describes what callers expect.
type Route struct {
	// Goal is the time to the first event within which an answer is on time, Patience the time that callers wait.
	Goal     time.Duration
	Patience time.Duration
}

// Load is a stream of requests of one organisation.
type Load struct {
	Name         string `ini:"-"`
	Organisation string
	PerSecond    float64
	From         time.Duration
	For          time.Duration
	// Subjects is the number of different shared parts.
	Subjects     int
	Tokens       int
	SharedTokens int
	OutputTokens int
}

// ColdStart is a moment at which some engines turn cold.
type ColdStart struct {
	Name    string `ini:"-"`
	At      time.Duration
	For     time.Duration
	Engines int
}

// Scenario is what a trial plays.
type Scenario struct {
	Engines    Engines
	Route      Route
	Loads      []Load
	ColdStarts []ColdStart
}

// longest bounds a scenario, so that a wrong unit does not run for hours.
const longest = 10 * time.Minute

// ReadScenario reads and checks the file of a scenario.
func ReadScenario(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, errors.Wrap(err, "read scenario")
	}
	scenario, err := ParseScenario(text)
	return scenario, errors.Wrap(err, path)
}

// ParseScenario reads and checks the text of a scenario.
func ParseScenario(text []byte) (Scenario, error) {
	file, err := ini.Load(text)
	if err != nil {
		return Scenario{}, errors.Wrap(err, "parse scenario")
	}
	var scenario Scenario
	for _, section := range file.Sections() {
		kind, name, _ := strings.Cut(section.Name(), ".")
		switch {
		case section.Name() == ini.DefaultSection && len(section.Keys()) == 0:
		case section.Name() == "Engines":
			err = read(section, &scenario.Engines)
		case section.Name() == "Route":
			err = read(section, &scenario.Route)
		case kind == "Load" && name != "":
			load := Load{Name: name}
			err = read(section, &load)
			scenario.Loads = append(scenario.Loads, load)
		case kind == "Cold" && name != "":
			cold := ColdStart{Name: name}
			err = read(section, &cold)
			scenario.ColdStarts = append(scenario.ColdStarts, cold)
		default:
			err = errors.Errorf("unknown section [%s], want Engines, Route, Load.NAME or Cold.NAME", section.Name())
		}
		if err != nil {
			return Scenario{}, err
		}
	}
	return scenario, scenario.check()
}

// read fills a struct from a section and rejects keys that it does not have.
func read(section *ini.Section, target any) error {
	var known []string
	for _, field := range reflect.VisibleFields(reflect.TypeOf(target).Elem()) {
		if field.Tag.Get("ini") != "-" {
			known = append(known, field.Name)
		}
	}
	for _, key := range section.KeyStrings() {
		if !slices.Contains(known, key) {
			return errors.Errorf("[%s] has an unknown key %s, want one of %s", section.Name(), key, strings.Join(known, ", "))
		}
	}
	return errors.Wrapf(section.StrictMapTo(target), "[%s]", section.Name())
}

func (scenario Scenario) check() error {
	engines, route := scenario.Engines, scenario.Route
	switch {
	case engines.Count <= 0 || engines.Slots <= 0 || engines.Queue < 0 || engines.MemoryTokens <= 0 || engines.ColdPerSecond < 0:
		return errors.New("[Engines] Count, Slots and MemoryTokens must be positive, Queue and ColdPerSecond not negative")
	case engines.TokensPerMillisecond <= 0 || engines.Step <= 0 || engines.StepPerRequest < 0:
		return errors.New("[Engines] TokensPerMillisecond and Step must be positive, StepPerRequest not negative")
	case route.Goal <= 0 || route.Patience < route.Goal:
		return errors.New("[Route] Goal must be positive and Patience not below it")
	case len(scenario.Loads) == 0:
		return errors.New("no section [Load.NAME]")
	}
	for _, load := range scenario.Loads {
		switch {
		case load.Organisation == "" || load.PerSecond <= 0 || load.Subjects <= 0 || load.For <= 0 || load.From < 0:
			return errors.Errorf("[Load.%s] Organisation must be given, PerSecond, Subjects and For positive, From not negative", load.Name)
		case load.SharedTokens < 0 || load.Tokens <= load.SharedTokens || load.OutputTokens <= 0:
			return errors.Errorf("[Load.%s] Tokens must be above SharedTokens, and OutputTokens positive", load.Name)
		case load.From+load.For > longest:
			return errors.Errorf("[Load.%s] ends after %s, more than %s", load.Name, load.From+load.For, longest)
		}
	}
	for _, cold := range scenario.ColdStarts {
		if cold.At < 0 || cold.For <= 0 || cold.Engines <= 0 || cold.Engines > engines.Count {
			return errors.Errorf("[Cold.%s] At must not be negative, For positive and Engines from 1 to %d", cold.Name, engines.Count)
		}
	}
	return nil
}
