// Package catalog merges the services that federated meshes publish into one catalog, and decides which service each name
// resolves to.
//
// internal/federation merges publications into a State with Rules.Merge. The State is part of a configuration version, so
// all proxies resolve names alike. internal/configbundle replaces the services that routes name by pools with Rules.BindFor.
// The package is deterministic: it does no I/O, reads no clock and draws no random numbers, and its results do not depend on
// the order of the inputs or on duplicates among them. docs/design/catalog.md describes the rules and the reasons for them.
package catalog
