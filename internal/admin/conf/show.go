package conf

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// entryValues returns the text of each setting in the syntax of the file.
func entryValues(entry Entry) map[keyPath]string {
	number := func(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }
	address := func(value fmt.Stringer, valid bool) string {
		if !valid {
			return ""
		}
		return value.String()
	}
	parts := make([]string, 0, len(entry.AllowedParts))
	for _, part := range entry.AllowedParts {
		parts = append(parts, part.String())
	}
	return map[keyPath]string{
		{"Instance", "Name"}:           string(entry.Name),
		{"Instance", "Zone"}:           string(entry.Zone),
		{"Listen", "Caller"}:           address(entry.CallerListen, entry.CallerListen.IsValid()),
		{"Listen", "Ready"}:            address(entry.ReadyListen, entry.ReadyListen.IsValid()),
		{"Listen", "Locate"}:           address(entry.LocateListen, entry.LocateListen.IsValid()),
		{"Listen", "Metrics"}:          address(entry.MetricsListen, entry.MetricsListen.IsValid()),
		{"Listen", "Ports"}:            fmt.Sprintf("%d-%d", entry.FirstPort, entry.LastPort),
		{"Store", "Address"}:           address(entry.StoreAddress, entry.StoreAddress.IsValid()),
		{"Store", "Retention"}:         entry.StoreRetention.String(),
		{"Store", "New"}:               strconv.FormatBool(entry.StoreNew),
		{"Log", "Level"}:               entry.LogLevel.String(),
		{"Sizes", "Memory"}:            strconv.FormatInt(entry.MemoryBytes, 10) + "B",
		{"Sizes", "Descriptors"}:       strconv.Itoa(entry.Descriptors),
		{"Sizes", "CoreShare"}:         number(entry.CoreShare),
		{"Load", "MostRefused"}:        number(entry.MaxRefusedFraction),
		{"Load", "AllowedParts"}:       cmp.Or(strings.Join(parts, ","), noParts),
		{"Times", "Grace"}:             entry.Grace.String(),
		{"Times", "AddressTimeToLive"}: entry.AddressTimeToLive.String(),
		{"Times", "EventDelay"}:        entry.EventDelay.String(),
		{"Retry", "Ratio"}:             number(entry.RetryRatio),
		{"Retry", "Window"}:            entry.RetryWindow.String(),
		{"Retry", "Extra"}:             number(entry.RetryExtra),
		{"Cold", "Ratio"}:              number(entry.ColdRatio),
		{"Cold", "Extra"}:              number(entry.ColdExtra),
		{"Rollout", "Share"}:           number(entry.RolloutShare),
		{"Rollout", "Rollback"}:        entry.RollbackTime.String(),
		{"Share", "Window"}:            entry.ShareWindow.String(),
	}
}

// ShowEntry returns the effective settings of a file for LoadEntry, in the format of a file that sets all of them. A comment
// after each value names its source: the file, or default. The error is a *FaultsError whose faults name file.
func ShowEntry(file string, text []byte) (string, error) {
	parser := parseEntry(file, text)
	settings, err := parser.result()
	if err != nil {
		return "", err
	}
	values := entryValues(settings)
	var output strings.Builder
	section := ""
	for _, spec := range entryKeys() {
		key := keyPath{spec.section, spec.key}
		source := "default"
		if parser.validKeys[key] {
			source = file
		}
		if spec.section != section {
			section = spec.section
			fmt.Fprintf(&output, "[%s]\n", section)
		}
		if values[key] == "" {
			fmt.Fprintf(&output, "; %s is not set\n", spec.key)
			continue
		}
		fmt.Fprintf(&output, "%s = %s ; %s\n", spec.key, values[key], source)
	}
	return output.String(), nil
}
