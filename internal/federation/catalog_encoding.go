package federation

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"example.org/micafront/internal/catalog"
)

// EncodedCatalog returns the catalog as it is encoded into a version, and its digest, or nil and "" if there is no catalog.
func (s *State) EncodedCatalog() (json.RawMessage, string) {
	if s.text == nil && s.catalog != nil {
		s.text, s.digest = encodeCatalog(s.catalog)
	}
	return s.text, s.digest
}

// encodeCatalog encodes the part of a catalog that proxies use: its entries, and what meshes import. It omits the
// catalog's number and time, the accepted publications and the lost meshes, which can change while that part stays the
// same.
func encodeCatalog(c *catalog.State) (text json.RawMessage, digest string) {
	encoded := catalog.State{Entries: c.Entries}
	for _, mesh := range c.Meshes {
		encoded.Meshes = append(encoded.Meshes, catalog.AcceptedPublication{Mesh: mesh.Mesh, Import: mesh.Import})
	}
	text, err := json.Marshal(encoded)
	if err != nil {
		return nil, "" // cannot happen: the catalog's validation admits only strings and finite numbers
	}
	sum := sha256.Sum256(text)
	return text, hex.EncodeToString(sum[:])
}
