package conf

import (
	"fmt"
	"strconv"
	"strings"
)

// entryValues returns the value of each key as a file gives it.
func entryValues(entry Entry) map[place]string {
	number := func(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }
	address := func(value fmt.Stringer, valid bool) string {
		if !valid {
			return ""
		}
		return value.String()
	}
	return map[place]string{
		{"Instance", "Name"}:           string(entry.Name),
		{"Instance", "Zone"}:           string(entry.Zone),
		{"Listen", "Caller"}:           address(entry.CallerListen, entry.CallerListen.IsValid()),
		{"Listen", "Ready"}:            address(entry.ReadyListen, entry.ReadyListen.IsValid()),
		{"Listen", "Locate"}:           address(entry.LocateListen, entry.LocateListen.IsValid()),
		{"Listen", "Metrics"}:          address(entry.MetricsListen, entry.MetricsListen.IsValid()),
		{"Listen", "Ports"}:            fmt.Sprintf("%d-%d", entry.FirstPort, entry.LastPort),
		{"Store", "Address"}:           address(entry.StoreAddress, entry.StoreAddress.IsValid()),
		{"Log", "Level"}:               entry.LogLevel.String(),
		{"Sizes", "Memory"}:            strconv.FormatInt(entry.MemoryBytes, 10) + "B",
		{"Sizes", "Descriptors"}:       strconv.Itoa(entry.Descriptors),
		{"Sizes", "CoreShare"}:         number(entry.CoreShare),
		{"Load", "MostRefused"}:        number(entry.MaxRefusedFraction),
		{"Times", "Grace"}:             entry.Grace.String(),
		{"Times", "AddressTimeToLive"}: entry.AddressTimeToLive.String(),
		{"Times", "EventDelay"}:        entry.EventDelay.String(),
		{"Retry", "Ratio"}:             number(entry.RetryRatio),
		{"Retry", "Window"}:            entry.RetryWindow.String(),
		{"Retry", "Extra"}:             number(entry.RetryExtra),
		{"Cold", "Ratio"}:              number(entry.ColdRatio),
		{"Cold", "Extra"}:              number(entry.ColdExtra),
		{"Share", "Window"}:            entry.ShareWindow.String(),
	}
}

// ShowEntry returns the settings that a file puts in force, as a file that gives all of them. A comment tells where each is from:
// the given file, or the product's default. The error is a *FaultsError that names file in each fault.
func ShowEntry(file string, text []byte) (string, error) {
	parser := parseEntry(file, text)
	settings, err := parser.result()
	if err != nil {
		return "", err
	}
	values := entryValues(settings)
	var shown strings.Builder
	section := ""
	for _, field := range entryFields() {
		at := place{field.section, field.key}
		source := "default"
		if parser.given[at] {
			source = file
		}
		if field.section != section {
			section = field.section
			fmt.Fprintf(&shown, "[%s]\n", section)
		}
		if values[at] == "" {
			fmt.Fprintf(&shown, "; %s is not set\n", field.key)
			continue
		}
		fmt.Fprintf(&shown, "%s = %s ; %s\n", field.key, values[at], source)
	}
	return shown.String(), nil
}
