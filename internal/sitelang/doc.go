// Package sitelang implements the site language: CUE records whose quantities carry units, in files that include one
// another. It loads and checks a site, reports findings that a person can act on, formats files, and converts between
// the language and the JSON configuration that a proxy runs from.
//
// The command-line tools use it; the proxy reads the JSON form only and does not link this package. A site that
// compiles without an error decodes with the proxy's own decoders. Both directions of the conversion are lossless:
// the field "extra" keeps members of the JSON form that the schema doesn't describe.
//
// Load runs these steps in order. Each step adds its findings to the sourceSet; steps that depend on a failed one are
// skipped.
//
//  1. readSources reads the files as one consistent set and parses them (sources.go, includes.go).
//  2. evaluate merges them into one tree of nodes. It uses CUE's evaluator only for files that do not consist of
//     literals alone (evaluate.go, literal.go, node.go).
//  3. checker checks each value against the schema, and referenceChecker checks the references and limits between the
//     parts of the site (schema.cue, schema.go, check.go, references.go, limits.go).
//  4. newSite encodes the tree in the JSON form and decodes that as a proxy does (encode.go, site.go).
//  5. compileRoutes compiles the routes and reports problems that only the compiled form reveals (route_check.go).
//
// FromJSON converts in the opposite direction (from_json.go). The schema drives both conversions: its attributes define
// the path and the unit of each field in the JSON form.
package sitelang
