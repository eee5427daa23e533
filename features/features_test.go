package features

import (
	"context"
	"io"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/cucumber/godog"
)

// step is a step definition: a regular expression, and the function that godog calls with its submatches.
type step struct {
	expression string
	run        any
}

// steps returns all step definitions.
func steps(w *world) []step {
	return slices.Concat(fleetGiven(w), fleetWhen(w), catalogGiven(w), publishingWhen(w), expectations(w))
}

// expectations returns the step definitions that check a result.
func expectations(w *world) []step {
	return slices.Concat(fleetThen(w), catalogThen(w), publishingThen(w))
}

// initialize creates a new world for each scenario. A scenario also fails if its fleet reports a violation.
func initialize(scenarios *godog.ScenarioContext) {
	w := &world{}
	scenarios.Before(func(ctx context.Context, scenario *godog.Scenario) (context.Context, error) {
		*w = *newWorld(scenario.Name)
		return ctx, nil
	})
	scenarios.After(func(ctx context.Context, _ *godog.Scenario, _ error) (context.Context, error) {
		if w.fleet != nil && w.fleet.Violation != nil {
			return ctx, w.fleet.Violation
		}
		return ctx, nil
	})
	for _, s := range steps(w) {
		scenarios.Step(s.expression, s.run)
	}
}

// runFeatures runs features in strict mode, in which an undefined or pending step fails. It returns 0 if all scenarios pass.
func runFeatures(t *testing.T, out io.Writer, paths []string, features []godog.Feature) int {
	suite := godog.TestSuite{
		Name:                "features",
		ScenarioInitializer: initialize,
		Options: &godog.Options{
			Format:          "pretty",
			NoColors:        true,
			Output:          out,
			Strict:          true,
			Paths:           paths,
			FeatureContents: features,
			TestingT:        t,
		},
	}
	return suite.Run()
}

func TestFeatures(t *testing.T) {
	if runFeatures(t, io.Discard, []string{"."}, nil) != 0 {
		t.Error("a scenario failed")
	}
}

// First steps of the scenarios of TestWrongExpectationsFail.
const (
	fleetScenario = "Feature: f\n Scenario: s\n  Given a fleet of 3 replicas and 2 proxies with an agreement timeout of 2 s and " +
		"a member timeout of 10 s\n  And the active version routes \"key1\" to \"a\"\n"
	catalogScenario = "Feature: f\n Scenario: s\n  Given the meshes\n   | mesh |\n   | thies |\n  And thies publishes\n" +
		"   | name | owner | contract |\n   | mail | post | m1 |\n"
	publishingScenario = fleetScenario + "And the federation has the meshes\n   | mesh |\n   | thies |\n" +
		"  And the mesh thies publishes \"mail\" of post to the replicas\nAnd 9 s pass\n"
)

// wrongExpectations returns scenarios that must fail because of their last step.
func wrongExpectations() []string {
	return []string{
		fleetScenario + `Then all proxies act on version 2 within 3 s`,
		fleetScenario + `Then version 2 is active within 3 s`,
		fleetScenario + `Then p1 is disconnected`,
		fleetScenario + `Then p1 sends "key1" to "b"`,
		fleetScenario + `Then p1 rejects "key1"`,
		fleetScenario + `Then p1 serves "key1" by its own settings`,
		fleetScenario + `Then the request has no answer`,
		fleetScenario + `Then the proposal is accepted as version 3 within 1 s`,
		fleetScenario + `Then version 1 was withdrawn within 1 s`,
		fleetScenario + `Then the request is rejected with "agreement/stale-base" within 1 s`,
		fleetScenario + `Then p1 is reported unreachable`,
		fleetScenario + `Then p1 blocks version 1`,
		fleetScenario + `Then p1 has prepared version 2 within 1 s`,
		fleetScenario + `Then the withdrawal contains "x"`,
		fleetScenario + `Then the withdrawal names the route "x" first`,
		fleetScenario + `Then the withdrawal names p1 with a limit of 1 KiB and an estimate above it`,
		fleetScenario + `Then "mail" resolves alike at all proxies`,
		fleetScenario + `Then versions 1 and 2 have the same content`,
		fleetScenario + `Then p1 has served at least 1 connections while disconnected`,
		fleetScenario + `Then p9 acts on version 1`,
		fleetScenario + `Then contradicting versions were acted on for at most 0 s`,
		fleetScenario + "When the leader is paused\nThen another replica leads within 0 s",
		fleetScenario + `Then something that no step matches`,

		catalogScenario + `Then "mail" does not resolve`,
		catalogScenario + `Then "mail" resolves to other's service at "thies"`,
		catalogScenario + `Then "mail" resolves to post's service at "dakar"`,
		catalogScenario + `Then "mail" resolves to post's service at "thies" by "ruling"`,
		catalogScenario + `Then "feed" resolves to post's service at "thies"`,
		catalogScenario + `Then "mail" has the status "tombstone"`,
		catalogScenario + `Then there is a finding "catalog/collision" about "mail"`,
		catalogScenario + `Then 2 of thies' services are in the catalog`,
		strings.Replace(catalogScenario, "m1 |", "m1 |\n   | mail | other | m2 |", 1) + `Then there is no finding about "mail"`,
		catalogScenario + `Then the catalog is the same in 0 other orders of its inputs`,

		publishingScenario + `Then all proxies resolve "mail" to other's service within 1 s`,
		publishingScenario + `Then no proxy resolves "mail"`,
		fleetScenario + `Then every name resolves alike at all proxies`,
		publishingScenario + `Then all proxies resolve "x" or "y" within 1 s`,
		publishingScenario + `Then the mesh thies is lost within 1 s`,
		publishingScenario + `Then the mesh thies gets the finding "catalog/collision" within 1 s`,
		publishingScenario + "And thies is disconnected from all replicas\nAnd 20 s pass\nThen the mesh thies is not lost",
		publishingScenario + "And all replicas crash\nAnd the mesh thies publishes \"x\" of post to the replicas\n" +
			"Then the publication of thies is accepted within 2 s",
	}
}

// TestWrongExpectationsFail checks that each expectation fails in a scenario where it does not hold. A step that cannot fail
// would check nothing.
func TestWrongExpectationsFail(t *testing.T) {
	wrong := wrongExpectations()
	expectation := func(scenario string) string {
		const keyword = "Then "
		return scenario[strings.LastIndex(scenario, keyword)+len(keyword):]
	}
	w := &world{}
	for _, s := range expectations(w) {
		expression := regexp.MustCompile(s.expression)
		if !slices.ContainsFunc(wrong, func(scenario string) bool { return expression.MatchString(expectation(scenario)) }) {
			t.Errorf("no scenario checks that %s can fail", s.expression)
		}
	}
	for _, scenario := range wrong {
		feature := godog.Feature{Name: "wrong.feature", Contents: []byte(scenario)}
		if runFeatures(nil, io.Discard, nil, []godog.Feature{feature}) == 0 {
			t.Errorf("%q passes, want a failure", expectation(scenario))
		}
	}
}
