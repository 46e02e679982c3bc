package shed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/load/shed"
)

func ExamplePicker() {
	var picker shed.Picker
	fmt.Println(picker.Refuses(0, 500), picker.Refuses(1, 500), picker.Refuses(1, 0))
	// Output: false true true
}

// Replays the requests of an organisation at a router that can serve a tenth, a third or most of them: long prompts beside short ones,
// as the users' large sites have them. Guards against an organisation that gets less than half of its share in tokens there because
// requests are picked at random, against kinds of requests that are starved for it, and against a router that serves more than it can.
func TestPickerServesMoreTokens(t *testing.T) {
	kinds := []struct{ weight, size float64 }{{0.25, 15800}, {0.29, 3700}, {0.42, 2570}, {0.04, 0}}
	for _, test := range []struct{ part, gain float64 }{{0.9, 1.4}, {0.67, 1.2}, {0.1, 1}} {
		t.Run(fmt.Sprint(test.part), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			var picker shed.Picker
			const requests = 200_000
			asked, served := make([]float64, len(kinds)), make([]float64, len(kinds))
			askedTokens, servedTokens, total := 0.0, 0.0, 0.0
			for range requests {
				drawn, kind := random.Float64(), 0
				for drawn > kinds[kind].weight && kind < len(kinds)-1 {
					drawn -= kinds[kind].weight
					kind++
				}
				size := kinds[kind].size * (0.2 + 1.6*random.Float64())
				asked[kind]++
				askedTokens += size
				if !picker.Refuses(test.part, size) {
					served[kind]++
					servedTokens += size
					total++
				}
			}
			quicktest.Check(t, servedTokens > test.gain*(1-test.part)*askedTokens, quicktest.IsTrue,
				quicktest.Commentf("%.3f of the tokens with %.3f of the requests", servedTokens/askedTokens, total/requests))
			quicktest.Check(t, total/requests < 1.25*(1-test.part), quicktest.IsTrue, quicktest.Commentf("%.3f served", total/requests))
			for kind := range kinds {
				chance := served[kind] / asked[kind]
				quicktest.Check(t, chance > 0.24*total/requests, quicktest.IsTrue, quicktest.Commentf("kind %d: %.3f", kind, chance))
			}
		})
	}
}
