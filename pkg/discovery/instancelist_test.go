package discovery

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an odd entry of another writer that makes an instance end, or ignore all other entries of the list.
func TestInvalidEntryLeavesTheListInForce(t *testing.T) {
	valid := []Instance{
		{Service: "s", Address: "10.0.0.1:80", Zone: "a", Start: "s1", State: StateLive},
		{Service: "burdockpitch", Address: "10.0.0.2:80", State: StateLeaving},
	}
	const first = `{"service":"s","address":"10.0.0.1:80","zone":"a","start":"s1","state":"live"}`
	const last = `{"service":"burdockpitch","address":"10.0.0.2:80","state":"leaving","more":[{}]}`
	for name, odd := range map[string]string{
		"deeply nested list":   strings.Repeat("[", 1<<20) + strings.Repeat("]", 1<<20),
		"deeply nested object": strings.Repeat(`{"service":`, 1<<17) + "1" + strings.Repeat("}", 1<<17),
		"nested in a field":    `{"service":"s","address":"10.0.0.9:80","state":"live","more":` + strings.Repeat("[", 1<<18) + strings.Repeat("]", 1<<18) + `}`,
		"number too large":     `{"service":"s","address":"10.0.0.9:80","state":"live","warmup_ns":1e400}`,
		"number as entry":      "1e400",
		"port out of range":    `{"service":"s","address":"10.0.0.9:65536","state":"live"}`,
		"port zero":            `{"service":"s","address":"10.0.0.9:0","state":"live"}`,
		"no service":           `{"address":"10.0.0.9:80","state":"live"}`,
		"unknown state":        `{"service":"s","address":"10.0.0.9:80","state":"odd"}`,
		"other type":           `{"service":["s"],"address":"10.0.0.9:80","state":"live"}`,
		"text":                 `"s"`,
		"nothing":              `null`,
	} {
		t.Run(name, func(t *testing.T) {
			list, invalid, err := parseInstanceList([]byte(`{"other":[1,{}], "sequence":4, "instances":[` + first + ",\n " + odd + " , " + last + `]}`))
			require.NoError(t, err)
			require.EqualValues(t, 1, invalid.count)
			require.Error(t, invalid.first)
			require.Equal(t, InstanceList{Sequence: 4, Instances: valid}, list)
		})
	}
	for name, text := range map[string]string{
		"cut off": `{"sequence":4,"instances":[` + first, "no object": `[]`, "no list": `{"sequence":4,"instances":{}}`, "empty": "",
		"bad sequence": `{"sequence":-1,"instances":[]}`, "no entries": `{"sequence":4,"instances":[`,
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := parseInstanceList([]byte(text))
			require.Error(t, err)
		})
	}
	for _, none := range []string{"[]", "null"} {
		list, invalid, err := parseInstanceList([]byte(`{"sequence":4,"instances":` + none + `}`))
		require.NoError(t, err)
		require.Zero(t, invalid)
		require.Equal(t, InstanceList{Sequence: 4}, list)
	}
}
