package sitelang

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"cuelang.org/go/cue/errors"
)

// cueMessage translates one kind of message of CUE's parser or evaluator. In message and resolution, %1 is replaced by the
// pattern's first group, %2 by the second, and so on.
type cueMessage struct {
	pattern    *regexp.Regexp
	message    string
	resolution string
}

// cueMessages are tried in order; the first one whose pattern matches is used.
var cueMessages = []cueMessage{
	{regexp.MustCompile(`^(?:invalid string: )?string literal not terminated`), "a text has no closing quote", `end it with "`},
	{regexp.MustCompile(`^(?:invalid string: )?comment not terminated`), "a comment has no end", ""},
	{regexp.MustCompile(`^expected label or ':', found 'EOF'`), "the file ends where a name or a colon is due", "is it cut short?"},
	{regexp.MustCompile(`^expected label or ':', found '([^']*)'`), "%1 stands where a name or a colon is due", ""},
	{regexp.MustCompile(`^expected '?([^']+?)'?, found 'EOF'`), "the file ends where %1 is due", "is it cut short?"},
	{regexp.MustCompile(`^expected '?([^']+?)'?, found newline`), "the line ends where %1 is due", ""},
	{regexp.MustCompile(`^expected '?([^']+?)'?, found '([^']*)' (.+)`), "%3 stands where %1 is due", ""},
	{regexp.MustCompile(`^expected '?([^']+?)'?, found '([^']*)'`), "%2 stands where %1 is due", ""},
	{regexp.MustCompile(`^expected '?([^']+?)'?$`), "here %1 is due", ""},
	{regexp.MustCompile(`^missing ',' before newline in (.+)`), "a comma is missing at the end of this line of a %1", ""},
	{regexp.MustCompile(`^missing ',' before newline`), "a comma is missing at the end of this line", ""},
	{regexp.MustCompile(`^missing ',' in (.+)`), "a comma is missing in a %1", ""},
	{regexp.MustCompile(`^illegal character NUL`), "the file holds a NUL byte", "is it a text?"},
	{regexp.MustCompile(`^illegal UTF-8 encoding`), "the file holds bytes that are not UTF-8", "save it as UTF-8"},
	{regexp.MustCompile(`^illegal byte order mark`), "a byte order mark is in the middle of the file", "remove it"},
	{regexp.MustCompile(`^illegal character (.+)`), "the character %1 has no meaning here", ""},
	{regexp.MustCompile(`^illegal (.+) number`), "this is no %1 number", ""},
	{regexp.MustCompile(`^illegal .* in number|^illegal exponent`), "this is no number", ""},
	{regexp.MustCompile(`escape sequence`), `a \ in a text that begins nothing known`, `write \\ for the character itself`},
	{regexp.MustCompile(`^expression exceeds maximum nesting depth`), "records or lists are nested too deeply", ""},
	{regexp.MustCompile(`^reference "([^"]+)" not found`), "%1 is not declared anywhere", `is it a text? then write "%1"`},
	{regexp.MustCompile(`^undefined field: (.+)`), "there is no field %1", ""},
	{regexp.MustCompile(`^conflicting values (.+) and (.+) \(mismatched types (.+) and (.+)\)`), "it is %1 in one place and %2 in another", "keep one of the two"},
	{regexp.MustCompile(`^conflicting values (.+) and (.+)`), "it is %1 in one place and %2 in another", "keep one of the two"},
	{regexp.MustCompile(`^incompatible list lengths`), "it is a list in two places, of different lengths", "keep one of the two"},
	{regexp.MustCompile(`^invalid value (.+) \(out of bound (.+)\)`), "%1 is not %2, which a pattern of the file requires", ""},
	{regexp.MustCompile(`structural cycle|cyclic reference|cycle error|cycle with`), "it refers to itself in a cycle", "write the value out in one place"},
	{regexp.MustCompile(`^empty disjunction|^\d+ errors in empty disjunction`), "none of its alternatives fits", ""},
	{regexp.MustCompile(`^field not allowed|not allowed`), "it does not belong here", ""},
	{regexp.MustCompile(`^unsupported|^invalid operand|^cannot use|^invalid operation`), "these values cannot be combined in this way", ""},
	{regexp.MustCompile(`division by zero`), "it divides by 0", ""},
	{regexp.MustCompile(`incomplete|non-concrete|not concrete`), "it cannot be evaluated because a part of it has no value", ""},
	{regexp.MustCompile(`^unreferenced alias or let clause (.+)`), "let %1 is never used", "remove it"},
	{regexp.MustCompile(`^package name`), "the files of one configuration have different package names", "remove the package clauses"},
}

// translateCUEMessage returns the message and the resolution of a finding for a message of CUE.
func translateCUEMessage(text string) (message, resolution string) {
	text = strings.TrimSpace(text)
	for _, translation := range cueMessages {
		groups := translation.pattern.FindStringSubmatch(text)
		if groups == nil {
			continue
		}
		message = translation.message
		resolution = translation.resolution
		for i := 1; i < len(groups); i++ {
			placeholder := "%" + strconv.Itoa(i)
			message = strings.ReplaceAll(message, placeholder, describeToken(groups[i]))
			resolution = strings.ReplaceAll(resolution, placeholder, groups[i])
		}
		return message, resolution
	}
	return "this is not valid in the site language", "compare it with the language reference"
}

// tokenNames maps the tokens in CUE's messages to their names in findings.
var tokenNames = map[string]string{
	"operand":        "a value",
	"label or ':'":   "a name or a colon",
	"EOF":            "the end of the file",
	"newline":        "the end of the line",
	"selector":       "a field's name",
	")":              `")"`,
	"}":              `"}"`,
	"]":              `"]"`,
	",":              "a comma",
	"struct literal": "record",
	"list literal":   "list",
	"IDENT":          "a name",
	"STRING":         "a text",
	"INT":            "a number",
	"FLOAT":          "a number",
	"if":             `"if"`,
	"if clause":      "a condition",
	":":              "a colon",
	"(":              `"("`,
}

// describeToken returns a token of CUE, or any other part of its message, for a finding's text.
func describeToken(token string) string {
	if name, ok := tokenNames[token]; ok {
		return name
	}
	return token
}

// reportSyntaxErrors reports a parser's errors in file. It reports only the first error of each line, because the others are
// mostly consequences of it.
func (s *sourceSet) reportSyntaxErrors(file string, err error) {
	reportedLines := map[int]bool{}
	for _, e := range errors.Errors(err) {
		line := e.Position().Line()
		if reportedLines[line] {
			continue
		}
		reportedLines[line] = true
		format, args := e.Msg()
		message, resolution := translateCUEMessage(fmt.Sprintf(format, args...))
		s.reportInFile(file, e.Position(), Error, message, resolution)
	}
}

// reportEvaluationErrors reports the evaluator's errors. An error without a position is reported in file, or in the root
// file if file is "".
func (s *sourceSet) reportEvaluationErrors(file string, err error) {
	if file == "" {
		file = s.rootFile()
	}
	for _, e := range errors.Errors(err) {
		format, args := e.Msg()
		message, resolution := translateCUEMessage(fmt.Sprintf(format, args...))
		pos := e.Position()
		if others := errors.Positions(e); !pos.IsValid() && len(others) > 0 {
			pos = others[0]
		}
		if path := strings.Join(e.Path(), "."); path != "" {
			message = path + ": " + message
		}
		s.reportInFile(file, pos, Error, message, resolution)
	}
}
