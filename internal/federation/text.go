package federation

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"example.org/micafront/internal/catalog"
)

// EncodedCatalog returns the catalog as it is encoded into a version, and its digest; nil where there is none.
func (s *State) EncodedCatalog() (json.RawMessage, string) {
	if s.text == nil && s.catalog != nil {
		s.text, s.digest = encodeCatalog(s.catalog)
	}
	return s.text, s.digest
}

// encodeCatalog encodes the part of a catalog that proxies use: its entries, and what meshes import. The state's number and
// time, the accepted publications and which meshes are lost can change without it and are left out.
func encodeCatalog(c *catalog.State) (text json.RawMessage, digest string) {
	encoded := catalog.State{Entries: c.Entries}
	for _, mesh := range c.Meshes {
		encoded.Meshes = append(encoded.Meshes, catalog.AcceptedPublication{Mesh: mesh.Mesh, Import: mesh.Import})
	}
	text, err := json.Marshal(encoded)
	if err != nil {
		return nil, "" // cannot happen: it holds strings and finite numbers only, which the catalog's validation ensures
	}
	sum := sha256.Sum256(text)
	return text, hex.EncodeToString(sum[:])
}
