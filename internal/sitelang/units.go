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
	parseOnly bool     // accepted as input, but never chosen by quantity.format
}

// quantity is a kind of value that consists of a number and a unit.
type quantity struct {
	description string    // for findings, such as "a time"
	units       []unit    // smallest first
	commonUnits [2]string // the two most likely units of a number without one; the first is preferred for output
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

// one is the number 1, which is also the sum of the shares of a split. It must not be modified.
var one = mustRational("1")

// The quantities, whose base units are second, per second, MiB and ratio.
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
	isInteger bool     // the JSON form requires a whole number of this unit
}

// baseJSONUnit is the base unit, which applies to a field whose @json attribute names no unit.
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

// parse returns a quantity in its base unit. If the text is invalid, problem is the text for a finding; otherwise it is "".
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

// missingUnitMessage returns the text of a finding about a number without a unit. It suggests the two common units.
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

// format returns the text of a value in base units. Among the units in which the value is at least 1, or all units if there
// is none, it chooses the one with the shortest number, and the first common unit if several are equally short.
func (q *quantity) format(value *big.Rat) string {
	const belowOnePenalty = 100 // characters; longer than any number
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

// formatDecimal returns the exact decimal form of a number, or that of the nearest float64 if the number has none.
func formatDecimal(r *big.Rat) string {
	if digits, exact := r.FloatPrec(); exact {
		return r.FloatString(digits)
	}
	nearest, _ := r.Float64()
	return strconv.FormatFloat(nearest, 'f', -1, 64)
}
