package hatchconfig

import (
	"fmt"
	"strings"
	"testing"

	"dragonflyhatch"
)

// generateBase returns a base file with the given number of engines and one
// organisation for every 14 engines.
func generateBase(engines int) dragonflyhatch.SourceFile {
	var text strings.Builder
	text.WriteString(`{"sealingKeys": ["AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="], "models": {"m": {"layers": 32, "maxTokens": 512}}, "organisations": {`)
	for i := range engines / 14 {
		hash, _ := HashToken(fmt.Sprint(i)).MarshalText()
		fmt.Fprintf(&text, `"o%d": {"tokenHashes": [%q], "deadline": "8s", "share": 1},`, i, hash)
	}
	text.WriteString(`}, "engines": {`)
	for i := range engines {
		fmt.Fprintf(&text, `"e%d": {"address": "10.%d.%d.%d:9000", "site": "s%d", "model": "m", "version": "v1", "firstLayer": %d, "endLayer": %d, "slots": 8},`,
			i, i>>16, i>>8&255, i&255, i%11, i%2*16, i%2*16+16)
	}
	text.WriteString("}}")
	return dragonflyhatch.SourceFile{Name: "base", Text: text.String()}
}

// BenchmarkResolve measures reading and checking a configuration for one site.
func BenchmarkResolve(b *testing.B) {
	for _, engines := range []int{500, 1000, 2000, 4000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			accepted := dragonflyhatch.AcceptedConfiguration{Version: 1, Base: generateBase(engines)}
			b.ReportMetric(float64(len(accepted.Base.Text)), "text-bytes")
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Resolve(accepted, "s0"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
