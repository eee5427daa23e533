// Package features contains Gherkin scenarios that describe the behavior of a fleet and of a federation of meshes, and the
// tests that run them with godog. Scenarios with a fleet run on internal/fleetsim in virtual time. The seed of a scenario is
// derived from its name.
package features
