package rules

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/burdockpitch/burdockpitch/pkg/findings"
	"github.com/burdockpitch/burdockpitch/pkg/tomldoc"
)

// reservedService is the name under which the instance list gives entry instances, so no document can route to it.
const reservedService = "burdockpitch"

const rulesTable = "rules"

var (
	serviceName = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	ruleName    = regexp.MustCompile(`^[A-Za-z0-9_-]{1,63}$`)
	versionText = regexp.MustCompile(`^([0-9]{1,19})\.([0-9]{1,19})$`)
)

const (
	wantService  = `a name of lower-case letters, digits and "-", at most 63 bytes, other than "` + reservedService + `"`
	wantRuleName = `a name of letters, digits, "_" and "-", at most 63 bytes`
	wantNumber   = "a whole number from 0 to 9223372036854775807"
	wantBasedOn  = `a lower version in the form "epoch.revision", such as "1.41"`
	wantRule     = `name = { path = "/p/*", methods = ["GET"], class = "lookup", deadline = "2s" } # who asked for it`
)

// Parse checks text and returns its document. The error is a findings.List with all findings in the order of the text.
// With findings, the document holds what could be read; it is for reports only and must not be put in force.
func Parse(file string, text []byte) (*Document, error) {
	if len(text) > MaxDocument {
		return &Document{}, findings.List{{
			File: file, Message: fmt.Sprintf("the document has %d bytes", len(text)), Want: fmt.Sprintf("at most %d bytes", MaxDocument),
		}}
	}
	content, problems := tomldoc.Read(file, text)
	c := &checker{file: file, problems: problems, doc: &Document{}, seen: make(map[string]tomldoc.Pos)}
	c.tables(content.Tables)
	for _, e := range content.Entries {
		c.entry(e)
	}
	c.head(content)
	c.overlaps()
	c.problems.Sort()
	return c.doc, c.problems.Err()
}

// checker collects the findings of one document.
type checker struct {
	file     string
	problems findings.List
	doc      *Document
	seen     map[string]tomldoc.Pos // keys by "table/key"
	places   []tomldoc.Pos          // of doc.Rules
	basedOn  tomldoc.Pos
}

func (c *checker) report(at tomldoc.Pos, want, format string, args ...any) {
	c.problems = append(c.problems, findings.Finding{
		File: c.file, Line: at.Line, Column: at.Column, Message: fmt.Sprintf(format, args...), Want: want,
	})
}

func (c *checker) tables(list []tomldoc.Table) {
	found := false
	for _, t := range list {
		switch {
		case t.Name != rulesTable || t.Array:
			c.table(t)
		case found:
			c.report(t.Pos, "one table [rules]", "table [rules] is repeated")
		default:
			found = true
		}
	}
	if !found {
		c.report(tomldoc.Pos{}, "a table [rules] behind service, epoch and revision", "table [rules] is missing")
	}
}

func (c *checker) table(t tomldoc.Table) {
	if name, ok := strings.CutPrefix(t.Name, rulesTable+"."); ok {
		c.report(t.Pos, wantRule, "rule %q spans several lines", name)
		return
	}
	c.report(t.Pos, "the table [rules] only", "unknown table %q", t.Name)
}

func (c *checker) entry(e tomldoc.Entry) {
	if e.Table != "" && e.Table != rulesTable {
		return // its table is reported
	}
	key := e.Table + "/" + e.Key
	if first, ok := c.seen[key]; ok {
		c.report(e.Pos, "a name that is used once", "%q is already used on line %d", e.Key, first.Line)
		return
	}
	c.seen[key] = e.Pos
	if e.Table == rulesTable {
		c.rule(e)
		return
	}
	switch e.Key {
	case "service":
		c.service(e)
	case "epoch":
		c.doc.Epoch = c.number(e)
	case "revision":
		c.doc.Revision = c.number(e)
	case "based_on":
		c.based(e)
	default:
		c.report(e.Pos, "service, epoch, revision or based_on", "unknown key %q", e.Key)
	}
}

func (c *checker) service(e tomldoc.Entry) {
	v := e.Value
	if v.Kind != unstable.String || !serviceName.MatchString(v.Text) || v.Text == reservedService {
		c.report(v.Pos, wantService, "bad service")
		return
	}
	c.doc.Service = v.Text
}

func (c *checker) number(e tomldoc.Entry) uint64 {
	n, err := strconv.ParseUint(e.Value.Text, 10, 63)
	if e.Value.Kind != unstable.Integer || err != nil {
		c.report(e.Value.Pos, wantNumber, "bad %s", e.Key)
		return 0
	}
	return n
}

func (c *checker) based(e tomldoc.Entry) {
	v, err := ParseVersion(e.Value.Text)
	if e.Value.Kind != unstable.String || err != nil {
		c.report(e.Value.Pos, wantBasedOn, "bad based_on")
		return
	}
	c.doc.BasedOn = &v
	c.basedOn = e.Value.Pos
}

// ParseVersion reads a version in the form "epoch.revision".
func ParseVersion(text string) (Version, error) {
	parts := versionText.FindStringSubmatch(text)
	if parts == nil {
		return Version{}, fmt.Errorf("version %q is not in the form \"epoch.revision\"", text)
	}
	epoch, err := strconv.ParseUint(parts[1], 10, 63)
	if err != nil {
		return Version{}, err
	}
	revision, err := strconv.ParseUint(parts[2], 10, 63)
	return Version{Epoch: epoch, Revision: revision}, err
}

// String returns the form "epoch.revision".
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Revision) }

// head checks what concerns the head of the document as a whole, and adds the service to the rules.
func (c *checker) head(content *tomldoc.Document) {
	for _, key := range []string{"service", "epoch", "revision"} {
		if _, ok := c.seen["/"+key]; !ok {
			c.report(tomldoc.Pos{}, key+" above [rules]", "%s is missing", key)
		}
	}
	if c.doc.BasedOn != nil && !c.doc.BasedOn.Less(c.doc.Version) {
		c.report(c.basedOn, wantBasedOn, "based_on %s is not lower than the version %s", c.doc.BasedOn, c.doc.Version)
	}
	for i := range c.doc.Rules {
		c.doc.Rules[i].Service = c.doc.Service
	}
}

// overlaps reports rules that can never decide because others with the same path do.
func (c *checker) overlaps() {
	type pair struct{ path, method string }
	first := make(map[pair]int)
	for i, r := range c.doc.Rules {
		for _, m := range methodsOrAny(r) {
			key := pair{r.Path, m}
			if n, ok := first[key]; ok {
				c.duplicate(i, n, m)
				continue
			}
			first[key] = i
		}
	}
	for i, r := range c.doc.Rules {
		if len(r.Methods) > 0 {
			continue
		}
		named := func(m string) bool { _, ok := first[pair{r.Path, m}]; return ok }
		if !slices.ContainsFunc(Methods, func(m string) bool { return !named(m) }) {
			c.report(c.places[i], "a rule that decides something",
				"rule %q is shadowed: other rules name every method of %s", r.Name, r.Path)
		}
	}
}

func (c *checker) duplicate(later, earlier int, method string) {
	r := c.doc.Rules[later]
	if method == anyMethod {
		method = "all methods"
	}
	c.report(c.places[later], "one rule for each path and method", "rule %q duplicates rule %q on line %d for %s %s",
		r.Name, c.doc.Rules[earlier].Name, c.doc.Rules[earlier].Line, method, r.Path)
}
