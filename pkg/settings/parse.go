package settings

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strconv"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/burdockpitch/burdockpitch/pkg/findings"
	"github.com/burdockpitch/burdockpitch/pkg/tomldoc"
)

// Parse parses and checks a settings text. Keys that are not given have the values of Default, except that stop_limit
// follows from kill_after if that is given. The error is a findings.List with all findings in the order of the text.
func Parse(file string, text []byte) (Settings, error) {
	s := Default()
	content, found := tomldoc.Read(file, text)
	c := &checker{
		file: file, found: found, settings: &s, fields: make(map[string]reflect.Value), valuePositions: make(map[string]tomldoc.Pos),
		sections: make(map[string]bool), invalid: make(map[string]bool),
	}
	c.registerFields("", reflect.ValueOf(&s).Elem())
	c.checkTables(content.Tables)
	for _, e := range content.Entries {
		c.checkEntry(e.Table, e)
	}
	if len(c.found) == 0 {
		c.checkDecode(text)
	}
	c.setDerivedDefaults()
	c.checkRanges()
	c.checkCombinations()
	c.found.Sort()
	if err := c.found.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// checker collects the findings of one settings text.
type checker struct {
	file           string
	found          findings.List
	settings       *Settings
	fields         map[string]reflect.Value // fields by dotted key
	valuePositions map[string]tomldoc.Pos   // by dotted key
	sections       map[string]bool
	peers          []tomldoc.Value // items of the key "peers"
	invalid        map[string]bool // dotted keys whose value cannot be parsed or is out of range
}

func (c *checker) report(at tomldoc.Pos, want, format string, args ...any) {
	c.found = append(c.found, findings.Finding{
		File: c.file, Line: at.Line, Column: at.Column, Message: fmt.Sprintf(format, args...), Want: want,
	})
}

// registerFields registers the sections and fields below a section by their dotted keys.
func (c *checker) registerFields(prefix string, section reflect.Value) {
	for i := range section.NumField() {
		key := prefix + section.Type().Field(i).Tag.Get("toml")
		field := section.Field(i)
		if field.Kind() == reflect.Struct {
			c.sections[key] = true
			c.registerFields(key+".", field)
			continue
		}
		c.fields[key] = field
	}
}

func (c *checker) checkTables(tables []tomldoc.Table) {
	for _, t := range tables {
		if !c.sections[t.Name] || t.Array {
			c.report(t.Pos, "a section of the settings reference", "unknown section %q", t.Name)
		}
	}
}

func (c *checker) checkEntry(table string, e tomldoc.Entry) {
	if table != "" && !c.sections[table] {
		return // checkTables reports the unknown section
	}
	key := e.Key
	if table != "" {
		key = table + "." + key
	}
	if c.sections[key] && e.Value.Kind == unstable.InlineTable {
		for _, f := range e.Value.Fields {
			c.checkEntry(key, f)
		}
		return
	}
	field, ok := c.fields[key]
	if !ok {
		c.report(e.Pos, "a key of the settings reference", "unknown key %q", key)
		return
	}
	if first, ok := c.valuePositions[key]; ok {
		c.report(e.Pos, "each key once", "%s is already given on line %d", key, first.Line)
		return
	}
	c.valuePositions[key] = e.Value.Pos
	if key == "peers" {
		c.peers = e.Value.Items
	}
	if want := assignValue(field.Addr().Interface(), e.Value); want != "" {
		c.invalid[key] = true
		c.report(e.Value.Pos, want, "bad value for %s", key)
	}
}

// assignValue stores a value in a field. If the value does not fit, it returns what is expected instead.
func assignValue(field any, v tomldoc.Value) string {
	var err error
	kind := v.Kind
	switch f := field.(type) {
	case *string:
		*f = v.Text
		return wantIf(kind != unstable.String, "a string")
	case *bool:
		*f = v.Text == "true"
		return wantIf(kind != unstable.Bool, "true or false")
	case *int:
		*f, err = strconv.Atoi(v.Text)
		return wantIf(kind != unstable.Integer || err != nil, "a whole number")
	case *float64:
		*f, err = strconv.ParseFloat(v.Text, 64)
		return wantIf(kind != unstable.Float && kind != unstable.Integer || err != nil, "a number")
	case *[]string:
		for _, item := range v.Items {
			if item.Kind != unstable.String {
				return "a list of strings"
			}
			*f = append(*f, item.Text)
		}
		return wantIf(kind != unstable.Array, "a list of strings")
	case *Size:
		return wantIf(kind != unstable.String || f.UnmarshalText([]byte(v.Text)) != nil, tomldoc.WantSize)
	case encoding.TextUnmarshaler: // *Duration
		return wantIf(kind != unstable.String || f.UnmarshalText([]byte(v.Text)) != nil, tomldoc.WantDuration)
	}
	return "a key of a known type"
}

func wantIf(wrong bool, want string) string {
	if wrong {
		return want
	}
	return ""
}

// checkDecode reports what only the TOML decoder detects, such as a section that is defined twice.
func (c *checker) checkDecode(text []byte) {
	var content map[string]any
	err := toml.Unmarshal(text, &content)
	if err == nil {
		return
	}
	var at tomldoc.Pos
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		at.Line, at.Column = decodeErr.Position()
	}
	c.report(at, "", "invalid TOML: %s", err)
}
