package sitelang

import (
	"fmt"
	"math"
	"math/big"
	"regexp"
	"strconv"
	"strings"
)

// unit is a unit of a quantity in the language.
type unit struct {
	name      string
	factor    *big.Rat // of the quantity's base unit
	parseOnly bool     // accepted, but not chosen by quantity.format
}

// quantity is a kind of value that consists of a number and a unit.
type quantity struct {
	description string    // for findings, such as "a time"
	units       []unit    // the smallest first
	commonUnits [2]string // the two that a number without a unit most likely means; the first is preferred for output
	example     string    // as the language writes it
}

// mustRational parses a number; it panics on any other text.
func mustRational(text string) *big.Rat {
	r, ok := new(big.Rat).SetString(text)
	if !ok {
		panic("no number: " + text)
	}
	return r
}

// one is the number 1, as which a share's whole is written too. It must not be changed.
var one = mustRational("1")

// The quantities. Their base units are second, per second, MiB and ratio.
var (
	durationQuantity = &quantity{
		description: "a time",
		units: []unit{
			{name: "us", factor: mustRational("1/1000000")},
			{name: "ms", factor: mustRational("1/1000")},
			{name: "s", factor: one},
			{name: "min", factor: mustRational("60"), parseOnly: true},
			{name: "h", factor: mustRational("3600"), parseOnly: true},
			{name: "d", factor: mustRational("86400"), parseOnly: true},
		},
		commonUnits: [2]string{"ms", "s"},
		example:     "300 ms",
	}
	rateQuantity = &quantity{
		description: "a rate",
		units: []unit{
			{name: "/h", factor: mustRational("1/3600"), parseOnly: true},
			{name: "/min", factor: mustRational("1/60"), parseOnly: true},
			{name: "/s", factor: one},
		},
		commonUnits: [2]string{"/s", "/min"},
		example:     "20/s",
	}
	bytesQuantity = &quantity{
		description: "a size",
		units: []unit{
			{name: "B", factor: mustRational("1/1048576"), parseOnly: true},
			{name: "KiB", factor: mustRational("1/1024"), parseOnly: true},
			{name: "MiB", factor: one},
			{name: "GiB", factor: mustRational("1024")},
		},
		commonUnits: [2]string{"MiB", "KiB"},
		example:     "192 MiB",
	}
	shareQuantity = &quantity{
		description: "a share",
		units: []unit{
			{name: "ppm", factor: mustRational("1/1000000"), parseOnly: true},
			{name: "%", factor: mustRational("1/100")},
		},
		commonUnits: [2]string{"%", "ppm"},
		example:     "5 %",
	}
)

// quantities are the quantities by the names of their definitions in the schema.
var quantities = map[string]*quantity{
	"#Duration": durationQuantity,
	"#Rate":     rateQuantity,
	"#Bytes":    bytesQuantity,
	"#Share":    shareQuantity,
}

// jsonUnit is the unit of a quantity in the JSON form.
type jsonUnit struct {
	factor    *big.Rat // of the quantity's base unit
	isInteger bool     // the JSON form has whole numbers of it
}

// baseJSONUnit is the unit of a field whose @json attribute names none.
var baseJSONUnit = &jsonUnit{factor: one}

// jsonUnits are the units by their names in @json attributes.
var jsonUnits = map[string]*jsonUnit{
	"num":   baseJSONUnit,
	"s":     baseJSONUnit,
	"ms":    {factor: mustRational("1/1000"), isInteger: true},
	"us":    {factor: mustRational("1/1000000"), isInteger: true},
	"MiB":   baseJSONUnit,
	"ratio": baseJSONUnit,
	"ppm":   {factor: mustRational("1/1000000"), isInteger: true},
}

var (
	// quantityPattern matches a number and its unit.
	quantityPattern = regexp.MustCompile(`^([0-9]{1,30}(?:\.[0-9]{1,30})?) ?([^0-9. ].*)$`)
	// bareNumberPattern matches a number without a unit.
	bareNumberPattern = regexp.MustCompile(`^ *[-+]?[0-9.]+(?:[eE][-+]?[0-9]+)? *$`)
)

// parse returns a quantity in its base unit. The problem, "" if there is none, is a text for a finding.
func (q *quantity) parse(text string) (value *big.Rat, problem string) {
	if bareNumberPattern.MatchString(text) {
		return nil, q.missingUnitMessage(strings.TrimSpace(text))
	}
	groups := quantityPattern.FindStringSubmatch(text)
	if groups == nil {
		return nil, fmt.Sprintf("%q is not %s; write it like %q", text, q.description, q.example)
	}
	number, unitName := groups[1], groups[2]
	names := make([]string, len(q.units))
	for i, u := range q.units {
		if u.name == unitName {
			return new(big.Rat).Mul(mustRational(number), u.factor), ""
		}
		names[i] = u.name
	}
	return nil, fmt.Sprintf("%q has the unit %q, which is none of %s", text, unitName, strings.Join(names, ", "))
}

// missingUnitMessage is the problem of a bare number: it names two quantities that the number could mean.
func (q *quantity) missingUnitMessage(number string) string {
	return fmt.Sprintf("%s has no unit: it could be %q or %q", number, q.withUnit(number, q.commonUnits[0]),
		q.withUnit(number, q.commonUnits[1]))
}

// withUnit joins a number and a unit: "20/s", but "300 ms".
func (q *quantity) withUnit(number, unitName string) string {
	if strings.HasPrefix(unitName, "/") {
		return number + unitName
	}
	return number + " " + unitName
}

// format writes a value of the base unit exactly, in the unit that reads best: the one with the fewest characters, if
// possible one in which the value is not below 1. Of units that read equally well it prefers the first common one.
func (q *quantity) format(value *big.Rat) string {
	const belowOnePenalty = 100 // characters; more than a number has
	best := ""
	bestCost := math.MaxInt
	for _, u := range q.units {
		if u.parseOnly {
			continue
		}
		scaled := new(big.Rat).Quo(value, u.factor)
		number := formatDecimal(scaled)
		cost := len(number)
		if scaled.Cmp(one) < 0 && value.Sign() != 0 {
			cost += belowOnePenalty
		}
		isPreferred := u.name == q.commonUnits[0]
		if cost < bestCost || cost == bestCost && isPreferred {
			best = q.withUnit(number, u.name)
			bestCost = cost
		}
	}
	return best
}

// formatDecimal writes a number in full; one without a finite decimal form as the nearest float64.
func formatDecimal(r *big.Rat) string {
	if digits, exact := r.FloatPrec(); exact {
		return r.FloatString(digits)
	}
	nearest, _ := r.Float64()
	return strconv.FormatFloat(nearest, 'f', -1, 64)
}
