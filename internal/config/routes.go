package config

import (
	"bytes"

	"example.org/micafront/internal/routing"
	jsoniter "github.com/json-iterator/go"
)

// DecodeRoutes decodes the routes and sets their defaults. For an empty text it returns one pool of all endpoints. It checks
// only the JSON form; routing.New validates the routes.
func DecodeRoutes(text []byte) (routing.Set, error) {
	var set routing.Set
	if len(text) > 0 {
		decoder := jsonCodec.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&set); err != nil {
			return set, malformedMember.Wrap("", err)
		}
	}
	return set.WithDefaults(), nil
}

func compileRoutes(text jsoniter.RawMessage) (*routing.Table, error) {
	set, err := DecodeRoutes(text)
	if err != nil {
		return nil, err
	}
	return routing.New(set)
}
