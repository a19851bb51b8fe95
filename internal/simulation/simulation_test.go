package simulation

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/findings"
)

// Guards against the failures that the patterns name: each one is played and its expectations are checked.
func TestPatterns(t *testing.T) {
	patterns, err := Patterns()
	require.NoError(t, err)
	require.NotEmpty(t, patterns)
	for _, p := range patterns {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			require.NotEmpty(t, p.Answers)
			require.NotEmpty(t, p.Guards)
			require.NotEmpty(t, p.Expect)
			var baseline *Result
			if p.Baseline != nil {
				baseline = Run(p, *p.Baseline, 1)
			}
			require.Empty(t, Check(p, Run(p, p.Options, 1), baseline))
		})
	}
}

// Guards against requests to targets that report themselves unhealthy while the others have free slots.
func TestUnhealthyTargetsAreALastChoice(t *testing.T) {
	text, err := patternFiles.ReadFile("patterns/failing-health-checks.toml")
	require.NoError(t, err)
	p, err := Parse("test", text)
	require.NoError(t, err)
	p.Duration = Duration(6 * time.Second) // before the load rises
	served := Run(p, p.Options, 1).servedByTarget
	unhealthy, healthy := 0, 0
	for i, n := range served {
		if i < len(served)/2 {
			unhealthy += n
		} else {
			healthy += n
		}
	}
	require.Less(t, unhealthy, healthy/3)
}

// Guards against a pattern with a mistake that is played as something else.
func TestInvalidPatterns(t *testing.T) {
	const load = `{ class = "lookup", rate = 1.0, for = "1s", run_time = "1ms", objective = "2ms", deadline = "3ms" }`
	const valid = "name = \"n\"\nduration = \"1s\"\nload = [" + load + "]\n"
	_, err := Parse("test", []byte(valid))
	require.NoError(t, err)
	cases := map[string]struct{ text, finding string }{
		"unknown key":      {valid + "sped = 1\n", `unknown key ["sped"]`},
		"not TOML":         {"name = ", "toml"},
		"no name":          {strings.Replace(valid, `"n"`, `""`, 1), "no name"},
		"no load":          {"name = \"n\"\nduration = \"1s\"\n", "no load"},
		"no duration":      {strings.Replace(valid, `duration = "1s"`, "", 1), "duration 0s"},
		"one slot":         {valid + "slots = 1\n", "1 slots"},
		"unknown class":    {strings.Replace(valid, "lookup", "look", 1), `unknown class "look"`},
		"no rate":          {strings.Replace(valid, "rate = 1.0, ", "", 1), "rate 0"},
		"short deadline":   {strings.Replace(valid, `deadline = "3ms"`, `deadline = "1ms"`, 1), "deadline 1ms"},
		"unknown fault":    {valid + "fault = [{ kind = \"slow\", for = \"1s\" }]\n", `unknown kind "slow"`},
		"bad share":        {valid + "fault = [{ kind = \"shed\", share = 2.0, for = \"1s\" }]\n", "share 2"},
		"bad selection":    {valid + "options = { selection = \"best\" }\n", `unknown selection "best"`},
		"bad baseline":     {valid + "baseline = { selection = \"best\" }\n", `unknown selection "best"`},
		"missing baseline": {valid + "expect = [{ above_baseline = 0.1 }]\n", "compares with a baseline"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("test", []byte(c.text))
			var list findings.List
			require.ErrorAs(t, err, &list)
			require.Contains(t, err.Error(), c.finding)
		})
	}
}
