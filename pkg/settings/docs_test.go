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

// shown returns a default as docs/OPERATIONS.md writes it.
func shown(v any) string {
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

// Guards against a settings reference that lacks a key or gives another default than the program, and against a
// number without bounds.
func TestReferenceMatchesDefaults(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	s := Default()
	c := &checker{keys: make(map[string]reflect.Value), sections: make(map[string]bool)}
	c.collect("", reflect.ValueOf(&s).Elem())
	bounded := make(map[string]bool)
	for _, b := range bounds {
		bounded[b.key] = true
	}
	for key, field := range c.keys {
		row := "| `" + key + "` | "
		switch {
		case key == "zone" || key == "listen" || key == "platform":
			row += "required"
		case key == "selection":
			row += "`" + string(core.DefaultPolicy().Selection) + "`"
		case field.Kind() == reflect.Slice || field.Kind() == reflect.String && field.String() == "":
			row += "none"
		default:
			row += "`" + shown(field.Interface()) + "`"
		}
		require.Contains(t, string(page), row+" |")
		numeric := field.CanInt() || field.CanFloat()
		require.Equal(t, numeric, bounded[key], key)
	}
}

// Guards against a refusal reason that operators find nowhere.
func TestRefusalReasonsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	for _, r := range []core.Reason{
		core.ReasonNoTarget, core.ReasonQueueFull, core.ReasonDeadline, core.ReasonInfeasible, core.ReasonRetryBudget, core.ReasonAttemptsExhausted,
		core.ReasonMayHaveRun, core.ReasonStopping, core.ReasonLoop, core.ReasonNestedGiveUp, core.ReasonCallerLeft, "no-rule", "body-too-large", "body-broken",
	} {
		require.Contains(t, string(page), "| `"+string(r)+"` |")
	}
}
