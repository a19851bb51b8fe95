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

// reservedService is the service name of the load balancer's own instances on the instance list. No document can route
// to it.
const reservedService = "burdockpitch"

const rulesTable = "rules"

var (
	serviceNamePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	ruleNamePattern    = regexp.MustCompile(`^[A-Za-z0-9_-]{1,63}$`)
	versionPattern     = regexp.MustCompile(`^([0-9]{1,19})\.([0-9]{1,19})$`)
)

const (
	wantService       = `a name of lower-case letters, digits and "-", at most 63 bytes, other than "` + reservedService + `"`
	wantRuleName      = `a name of letters, digits, "_" and "-", at most 63 bytes`
	wantVersionNumber = "a whole number from 0 to 9223372036854775807"
	wantBasedOn       = `a lower version in the form "epoch.revision", such as "1.41"`
	wantRule          = `name = { path = "/p/*", methods = ["GET"], class = "lookup", deadline = "2s" } # who asked for it`
)

// Parse parses and checks a rules text. The error is a findings.List with all findings in the order of the text. If
// there are findings, the document holds what could be parsed; it is for reports only and must not be applied.
func Parse(file string, text []byte) (*Document, error) {
	if len(text) > MaxDocumentBytes {
		return &Document{}, findings.List{{
			File: file, Message: fmt.Sprintf("the document has %d bytes", len(text)), Want: fmt.Sprintf("at most %d bytes", MaxDocumentBytes),
		}}
	}
	content, found := tomldoc.Read(file, text)
	c := &checker{file: file, found: found, doc: &Document{}, keyPositions: make(map[string]tomldoc.Pos)}
	c.checkTables(content.Tables)
	for _, e := range content.Entries {
		c.checkEntry(e)
	}
	c.checkDocumentKeys(content)
	c.checkOverlappingRules()
	c.found.Sort()
	return c.doc, c.found.Err()
}

// checker collects the findings of one document.
type checker struct {
	file            string
	found           findings.List
	doc             *Document
	keyPositions    map[string]tomldoc.Pos // by "table/key"; "/key" for a key above the tables
	rulePositions   []tomldoc.Pos          // of doc.Rules
	basedOnPosition tomldoc.Pos
}

func (c *checker) report(at tomldoc.Pos, want, format string, args ...any) {
	c.found = append(c.found, findings.Finding{
		File: c.file, Line: at.Line, Column: at.Column, Message: fmt.Sprintf(format, args...), Want: want,
	})
}

func (c *checker) checkTables(tables []tomldoc.Table) {
	hasRulesTable := false
	for _, t := range tables {
		switch {
		case t.Name != rulesTable || t.Array:
			c.reportUnknownTable(t)
		case hasRulesTable:
			c.report(t.Pos, "one table [rules]", "table [rules] is repeated")
		default:
			hasRulesTable = true
		}
	}
	if !hasRulesTable {
		c.report(tomldoc.Pos{}, "a table [rules] after service, epoch and revision", "table [rules] is missing")
	}
}

func (c *checker) reportUnknownTable(t tomldoc.Table) {
	if name, ok := strings.CutPrefix(t.Name, rulesTable+"."); ok {
		c.report(t.Pos, wantRule, "rule %q spans several lines", name)
		return
	}
	c.report(t.Pos, "the table [rules] only", "unknown table %q", t.Name)
}

func (c *checker) checkEntry(e tomldoc.Entry) {
	if e.Table != "" && e.Table != rulesTable {
		return // checkTables reports the unknown table
	}
	key := e.Table + "/" + e.Key
	if first, ok := c.keyPositions[key]; ok {
		c.report(e.Pos, "a name that is used once", "%q is already used on line %d", e.Key, first.Line)
		return
	}
	c.keyPositions[key] = e.Pos
	if e.Table == rulesTable {
		c.checkRule(e)
		return
	}
	switch e.Key {
	case "service":
		c.checkService(e)
	case "epoch":
		c.doc.Epoch = c.parseVersionNumber(e)
	case "revision":
		c.doc.Revision = c.parseVersionNumber(e)
	case "based_on":
		c.checkBasedOn(e)
	default:
		c.report(e.Pos, "service, epoch, revision or based_on", "unknown key %q", e.Key)
	}
}

func (c *checker) checkService(e tomldoc.Entry) {
	v := e.Value
	if v.Kind != unstable.String || !serviceNamePattern.MatchString(v.Text) || v.Text == reservedService {
		c.report(v.Pos, wantService, "bad service")
		return
	}
	c.doc.Service = v.Text
}

func (c *checker) parseVersionNumber(e tomldoc.Entry) uint64 {
	n, err := strconv.ParseUint(e.Value.Text, 10, 63)
	if e.Value.Kind != unstable.Integer || err != nil {
		c.report(e.Value.Pos, wantVersionNumber, "bad %s", e.Key)
		return 0
	}
	return n
}

func (c *checker) checkBasedOn(e tomldoc.Entry) {
	v, err := ParseVersion(e.Value.Text)
	if e.Value.Kind != unstable.String || err != nil {
		c.report(e.Value.Pos, wantBasedOn, "bad based_on")
		return
	}
	c.doc.BasedOn = &v
	c.basedOnPosition = e.Value.Pos
}

// ParseVersion parses the form "epoch.revision". Both numbers are below 2^63.
func ParseVersion(text string) (Version, error) {
	parts := versionPattern.FindStringSubmatch(text)
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

// checkDocumentKeys reports missing keys and a based_on that is not lower than the version, and sets the service of all
// rules.
func (c *checker) checkDocumentKeys(content *tomldoc.Document) {
	for _, key := range []string{"service", "epoch", "revision"} {
		if _, ok := c.keyPositions["/"+key]; !ok {
			c.report(tomldoc.Pos{}, key+" above [rules]", "%s is missing", key)
		}
	}
	if c.doc.BasedOn != nil && !c.doc.BasedOn.Less(c.doc.Version) {
		c.report(c.basedOnPosition, wantBasedOn, "based_on %s is not lower than the version %s", c.doc.BasedOn, c.doc.Version)
	}
	for i := range c.doc.Rules {
		c.doc.Rules[i].Service = c.doc.Service
	}
}

// checkOverlappingRules reports rules that repeat a path and method of an earlier rule, and rules for all methods that
// never apply because other rules name every method of their path.
func (c *checker) checkOverlappingRules() {
	type pathMethod struct{ path, method string }
	firstIndex := make(map[pathMethod]int)
	for i, r := range c.doc.Rules {
		for _, m := range methodsOrAny(r) {
			key := pathMethod{r.Path, m}
			if n, ok := firstIndex[key]; ok {
				c.reportDuplicate(i, n, m)
				continue
			}
			firstIndex[key] = i
		}
	}
	for i, r := range c.doc.Rules {
		if len(r.Methods) > 0 {
			continue
		}
		hasRule := func(m string) bool { _, ok := firstIndex[pathMethod{r.Path, m}]; return ok }
		if !slices.ContainsFunc(Methods, func(m string) bool { return !hasRule(m) }) {
			c.report(c.rulePositions[i], "a rule that applies to at least one method",
				"rule %q is shadowed: other rules name every method of %s", r.Name, r.Path)
		}
	}
}

// reportDuplicate reports that two rules, given by their indexes in doc.Rules, have the same path and method.
func (c *checker) reportDuplicate(later, earlier int, method string) {
	r := c.doc.Rules[later]
	if method == anyMethod {
		method = "all methods"
	}
	c.report(c.rulePositions[later], "one rule for each path and method", "rule %q duplicates rule %q on line %d for %s %s",
		r.Name, c.doc.Rules[earlier].Name, c.doc.Rules[earlier].Line, method, r.Path)
}
