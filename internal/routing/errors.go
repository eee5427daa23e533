package routing

import "example.org/micafront/internal/apperror"

// Kinds of errors that prevent a set from being compiled or compared. The text of each error names the pool, policy, route or
// listener that causes it.
var (
	// invalidName: a name is missing, already used, or not allowed by IsValidName.
	invalidName = apperror.NewKind("routing/name",
		"give it a name that no other has, without blanks or control characters, and not main for a further listener")
	// unknownName: a name refers to an undefined pool, policy or route, a fallback names a pool twice, or there is no pool.
	unknownName = apperror.NewKind("routing/unknown-name",
		"define the pool, policy or route that is named, or correct the name where it is used")
	// outOfRange: a number is out of range.
	outOfRange = apperror.NewKind("routing/figure",
		"correct the figure: limits and times are 0 or more, and a range ends no lower than it begins")
	// invalidSplit: the shares of a route do not add up to TotalPPM, or one is out of range or given twice.
	invalidSplit = apperror.NewKind("routing/split",
		"make the route's parts come to 100 %, each pool once and from 0 to 100 %")
	// ambiguousRoutes: two routes claim the same connections at the same precedence.
	ambiguousRoutes = apperror.NewKind("routing/ambiguous",
		"give one of the two routes the higher precedence, or narrow it")
	// tooManyConditions: a route's conditions have too many combinations, or one is too long.
	tooManyConditions = apperror.NewKind("routing/too-many",
		"divide the route into several with fewer or shorter conditions; prefixes take the place of many keys")
	// tooManyCells: two tables divide the match space into more than maxCells cells.
	tooManyCells = apperror.NewKind("routing/too-wide",
		"compare a part of the routes at a time, or look single connections up with micafront config explain")
)

// ErrTooManyCells means that the match space of the compared tables divides into more than maxCells cells. Test for it with
// errors.Is.
var ErrTooManyCells error = tooManyCells.New("", "the match space has over %d cells", maxCells)
