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

// Engines configures the simulated engines, which are identical.
type Engines struct {
	Count int
	// Slots is the number of requests that run concurrently at an engine, Queue the number of further ones that wait there.
	Slots int
	Queue int
	// TokensPerMillisecond is the prefill rate. Step is the time of a decoding step, which yields one token for each running
	// request, and StepPerRequest is added to it for each of them.
	TokensPerMillisecond float64
	Step                 time.Duration
	StepPerRequest       time.Duration
	// MemoryTokens is the size of the prompt cache.
	MemoryTokens int
	// ColdPerSecond is the rate of requests above which a cold engine crashes.
	ColdPerSecond int
}

// Route configures the expectations of callers.
type Route struct {
	// Goal is the latency goal for the first event, Patience the timeout of a request.
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
	// Subjects is the number of different shared prompt prefixes; each has SharedTokens of the Tokens of a prompt.
	Subjects     int
	Tokens       int
	SharedTokens int
	OutputTokens int
}

// ColdStart makes some engines cold at a time of the scenario.
type ColdStart struct {
	Name    string `ini:"-"`
	At      time.Duration
	For     time.Duration
	Engines int
}

// Scenario configures a trial.
type Scenario struct {
	Engines    Engines
	Route      Route
	Loads      []Load
	ColdStarts []ColdStart
}

// maxScenarioTime limits the length of a scenario, so that a mistaken unit does not make it run for hours.
const maxScenarioTime = 10 * time.Minute

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
			err = readSection(section, &scenario.Engines)
		case section.Name() == "Route":
			err = readSection(section, &scenario.Route)
		case kind == "Load" && name != "":
			load := Load{Name: name}
			err = readSection(section, &load)
			scenario.Loads = append(scenario.Loads, load)
		case kind == "Cold" && name != "":
			cold := ColdStart{Name: name}
			err = readSection(section, &cold)
			scenario.ColdStarts = append(scenario.ColdStarts, cold)
		default:
			err = errors.Errorf("unknown section [%s], want Engines, Route, Load.NAME or Cold.NAME", section.Name())
		}
		if err != nil {
			return Scenario{}, err
		}
	}
	return scenario, scenario.validate()
}

// readSection decodes a section into a struct and rejects keys that have no field.
func readSection(section *ini.Section, target any) error {
	var knownKeys []string
	for _, field := range reflect.VisibleFields(reflect.TypeOf(target).Elem()) {
		if field.Tag.Get("ini") != "-" {
			knownKeys = append(knownKeys, field.Name)
		}
	}
	for _, key := range section.KeyStrings() {
		if !slices.Contains(knownKeys, key) {
			return errors.Errorf("[%s] has an unknown key %s, want one of %s", section.Name(), key, strings.Join(knownKeys, ", "))
		}
	}
	return errors.Wrapf(section.StrictMapTo(target), "[%s]", section.Name())
}

func (scenario Scenario) validate() error {
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
		case load.From+load.For > maxScenarioTime:
			return errors.Errorf("[Load.%s] ends after %s, more than %s", load.Name, load.From+load.For, maxScenarioTime)
		}
	}
	for _, cold := range scenario.ColdStarts {
		if cold.At < 0 || cold.For <= 0 || cold.Engines <= 0 || cold.Engines > engines.Count {
			return errors.Errorf("[Cold.%s] At must not be negative, For positive and Engines from 1 to %d", cold.Name, engines.Count)
		}
	}
	return nil
}
