package sitelang

import (
	"fmt"
	"math/big"
	"regexp"
	"strconv"
	"strings"
)

// unit is a unit of a quantity, as a multiple of its quantity's base.
type unit struct {
	name   string
	factor *big.Rat
}

// quantity is a kind of figure that needs a unit.
type quantity struct {
	name    string // of its definition in the schema
	what    string
	units   []unit // the smallest first
	likely  [2]string
	example string
}

func rat(text string) *big.Rat {
	r, ok := new(big.Rat).SetString(text)
	if !ok {
		panic("no number: " + text)
	}
	return r
}

// quantities by their definitions' names. Bases: seconds, per second, MiB, parts of one.
var quantities = map[string]*quantity{
	"#Duration": {"#Duration", "a time", []unit{{"us", rat("1/1000000")}, {"ms", rat("1/1000")}, {"s", rat("1")},
		{"min", rat("60")}, {"h", rat("3600")}, {"d", rat("86400")}}, [2]string{"ms", "s"}, "300 ms"},
	"#Rate": {"#Rate", "a rate", []unit{{"/h", rat("1/3600")}, {"/min", rat("1/60")}, {"/s", rat("1")}},
		[2]string{"/s", "/min"}, "20/s"},
	"#Bytes": {"#Bytes", "a size", []unit{{"B", rat("1/1048576")}, {"KiB", rat("1/1024")}, {"MiB", rat("1")},
		{"GiB", rat("1024")}}, [2]string{"MiB", "KiB"}, "192 MiB"},
	"#Share": {"#Share", "a share", []unit{{"ppm", rat("1/1000000")}, {"%", rat("1/100")}}, [2]string{"%", "ppm"}, "5 %"},
}

// scales are the units of the JSON form, as multiples of the bases.
var scales = map[string]*big.Rat{"": rat("1"), "num": rat("1"), "s": rat("1"), "ms": rat("1/1000"),
	"us": rat("1/1000000"), "MiB": rat("1"), "ratio": rat("1"), "ppm": rat("1/1000000")}

var figure = regexp.MustCompile(`^([0-9]{1,30}(?:\.[0-9]{1,30})?) ?([^0-9. ].*)$`)

var bare = regexp.MustCompile(`^ *[-+]?[0-9.]+(?:[eE][-+]?[0-9]+)? *$`)

// parse reads a figure with its unit, in the quantity's base. The fault, if any, is for a person to read.
func (q *quantity) parse(text string) (*big.Rat, string) {
	if bare.MatchString(text) {
		return nil, q.unitless(strings.TrimSpace(text))
	}
	m := figure.FindStringSubmatch(text)
	if m == nil {
		return nil, fmt.Sprintf("%q is not %s; write it like %q", text, q.what, q.example)
	}
	for _, u := range q.units {
		if u.name == m[2] {
			return new(big.Rat).Mul(rat(m[1]), u.factor), ""
		}
	}
	names := make([]string, len(q.units))
	for i, u := range q.units {
		names[i] = u.name
	}
	return nil, fmt.Sprintf("%q has the unit %q, which is none of %s", text, m[2], strings.Join(names, ", "))
}

// unitless is the fault of a bare number: it names two readings that the number could have.
func (q *quantity) unitless(number string) string {
	return fmt.Sprintf("%s has no unit: it could be %q or %q", number, q.write(number, q.likely[0]),
		q.write(number, q.likely[1]))
}

func (q *quantity) write(number, unit string) string {
	if strings.HasPrefix(unit, "/") {
		return number + unit
	}
	return number + " " + unit
}

// text writes a figure of the quantity's base, in the unit that a person would choose, exactly.
func (q *quantity) text(r *big.Rat) string {
	best := q.likely[0]
	bestLen := 1 << 20
	for _, u := range q.units {
		if u.name == "ppm" || u.name == "/h" || u.name == "/min" || u.name == "d" || u.name == "h" || u.name == "min" || u.name == "KiB" || u.name == "B" {
			continue
		}
		v := new(big.Rat).Quo(r, u.factor)
		n := len(decimal(v))
		if whole := v.Cmp(rat("1")) >= 0 || r.Sign() == 0; !whole {
			n += 100 // below one: a smaller unit reads better
		}
		if n < bestLen || n == bestLen && u.name == q.likely[0] {
			best, bestLen = u.name, n
		}
	}
	for _, u := range q.units {
		if u.name == best {
			return q.write(decimal(new(big.Rat).Quo(r, u.factor)), best)
		}
	}
	return ""
}

// decimal writes a number in full; one with no end to its digits as the nearest float64.
func decimal(r *big.Rat) string {
	if n, exact := r.FloatPrec(); exact {
		return r.FloatString(n)
	}
	f, _ := r.Float64()
	return strconv.FormatFloat(f, 'f', -1, 64)
}
