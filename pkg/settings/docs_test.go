package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/docker/go-units"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

// formatDefault returns a default as docs/OPERATIONS.md writes it.
func formatDefault(v any) string {
	switch v := v.(type) {
	case Duration:
		text := v.Std().String()
		if v.Std() == time.Minute {
			text = "60s"
		}
		return text
	case Size:
		return strings.ReplaceAll(units.BytesSize(float64(v)), " ", "")
	}
	return fmt.Sprint(v)
}

// Guards against a settings reference that lacks a key or gives another default than the code, and against a numeric
// key without bounds.
func TestReferenceMatchesDefaults(t *testing.T) {
	reference, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	s := Default()
	c := &checker{fields: make(map[string]reflect.Value), sections: make(map[string]bool)}
	c.registerFields("", reflect.ValueOf(&s).Elem())
	bounded := make(map[string]bool)
	for _, b := range numberBounds {
		bounded[b.key] = true
	}
	for key, field := range c.fields {
		row := "| `" + key + "` | "
		switch {
		case key == "zone" || key == "listen" || key == "platform":
			row += "required"
		case key == "selection":
			row += "`" + string(core.DefaultPolicy().Selection) + "`"
		case field.Kind() == reflect.Slice || field.Kind() == reflect.String && field.String() == "":
			row += "none"
		default:
			row += "`" + formatDefault(field.Interface()) + "`"
		}
		require.Contains(t, string(reference), row+" |")
		numeric := field.CanInt() || field.CanFloat()
		require.Equal(t, numeric, bounded[key], key)
	}
}

// Guards against a refusal reason that docs/OPERATIONS.md does not explain.
func TestRefusalReasonsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	for _, r := range []core.Reason{
		core.ReasonNoTarget, core.ReasonEvacuated, core.ReasonQueueFull, core.ReasonDeadline, core.ReasonInfeasible, core.ReasonRetryBudget, core.ReasonAttemptsExhausted,
		core.ReasonMayHaveRun, core.ReasonStopping, core.ReasonLoop, core.ReasonNestedGiveUp, core.ReasonCallerLeft, "no-rule", "body-too-large", "body-broken", "body-memory",
		"head-too-large", "head-slow", "head-memory", "connection-limit",
	} {
		require.Contains(t, string(page), "| `"+string(r)+"` |")
	}
}
