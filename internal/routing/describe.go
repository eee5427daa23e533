package routing

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// maxListedTexts is the number of texts of a Span that a description lists. A single additional text is listed too.
const maxListedTexts = 5

// Percent formats parts per million as a percentage, such as "12.5 %".
func Percent(ppm int) string {
	digits := strings.TrimRight(fmt.Sprintf("%d.%04d", ppm/10_000, ppm%10_000), "0")
	return strings.TrimSuffix(digits, ".") + " %"
}

// Describe describes a span for operators.
func (s *Span) Describe() string {
	switch {
	case len(s.Texts) == 1 && s.Texts[0] == "":
		return "no " + s.Dimension
	case len(s.Texts) > 0:
		return s.Dimension + " " + strings.Join(quoteTexts(s.Texts), " or ")
	}
	if s.Prefix == "" {
		if len(s.ExceptTexts) == 1 && s.ExceptTexts[0] == "" && len(s.ExceptPrefixes) == 0 {
			return "any " + s.Dimension
		}
		return "any other " + s.Dimension
	}
	description := fmt.Sprintf("%s %q…", s.Dimension, s.Prefix)
	if exceptions := len(s.ExceptTexts) + len(s.ExceptPrefixes); exceptions > 0 {
		description += fmt.Sprintf(" but for %d", exceptions)
	}
	return description
}

// quoteTexts quotes texts. It replaces the texts beyond maxListedTexts by their number.
func quoteTexts(texts []string) []string {
	listed := texts
	if len(texts) > maxListedTexts+1 {
		listed = texts[:maxListedTexts]
	}
	quoted := make([]string, 0, maxListedTexts+1)
	for _, text := range listed {
		quoted = append(quoted, strconv.Quote(text))
	}
	if more := len(texts) - len(listed); more > 0 {
		quoted = append(quoted, fmt.Sprintf("%d more", more))
	}
	return quoted
}

// Describe describes a change in a sentence for operators.
func (c *Change) Describe() string {
	var spans []string
	for i := range c.Cell {
		spans = append(spans, c.Cell[i].Describe())
	}
	subject := "all connections"
	if len(spans) > 0 {
		subject = strings.Join(spans, ", ")
	}
	if c.PPM < TotalPPM {
		subject += ": " + Percent(c.PPM) + " of the keys"
	}
	return subject + ": " + c.DescribeDifference()
}

// DescribeDifference describes, for operators, how the decisions on the connections of the change differ. It does not describe
// the connections themselves.
func (c *Change) DescribeDifference() string {
	switch {
	case c.Old.Route == "":
		return fmt.Sprintf("previously no route; now route %q to pool %q%s", c.New.Route, c.New.Pool, c.New.policyPhrase())
	case c.New.Route == "":
		return fmt.Sprintf("previously route %q to pool %q; now no route, so they fail", c.Old.Route, c.Old.Pool)
	}
	var clauses []string
	if c.ChangesPool() {
		clauses = append(clauses, fmt.Sprintf("from pool %q to pool %q", c.Old.Pool, c.New.Pool))
	}
	for _, aspect := range c.Aspects {
		if clause := c.describeAspect(aspect); clause != "" {
			clauses = append(clauses, clause)
		}
	}
	return strings.Join(clauses, ", ")
}

// describeAspect describes one aspect of Change.Aspects. It returns "" if the description of another aspect covers it.
func (c *Change) describeAspect(aspect string) string {
	switch {
	case aspect == aspectRoute:
		return fmt.Sprintf("by route %q instead of %q", c.New.Route, c.Old.Route)
	case aspect == aspectPolicy:
		return fmt.Sprintf("under %s instead of %s", c.New.policyName(), c.Old.policyName())
	case aspect == aspectTerms && !slices.Contains(c.Aspects, aspectPolicy):
		return fmt.Sprintf("policy %q has other terms", c.New.Policy)
	case aspect == aspectLimits:
		return "other limits apply"
	case aspect == aspectSelection && !c.ChangesPool():
		return fmt.Sprintf("pool %q selects other endpoints", c.New.Pool)
	}
	return ""
}

func (o *Outcome) policyName() string {
	if o.Policy == "" {
		return "no policy"
	}
	return fmt.Sprintf("policy %q", o.Policy)
}

// policyPhrase returns the policy as part of a sentence, or "" if there is none.
func (o *Outcome) policyPhrase() string {
	if o.Policy == "" {
		return ""
	}
	return " under " + o.policyName()
}
