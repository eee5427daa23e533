package catalog

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math"
	"slices"
)

const (
	digestBytes         = 16
	typicalServiceBytes = 256 // of an encoded service, to size the initial buffer
)

// Digest returns the hexadecimal hash of a publication's services and aliases. It does not depend on the publication's number,
// the order of its records or duplicate records.
func (p *Publication) Digest() string {
	ends := make([]int, 0, len(p.Services)+len(p.Aliases)) // end offset of each record in encoded
	encoded := make([]byte, 0, typicalServiceBytes*cap(ends))
	for i := range p.Services {
		encoded = appendService(encoded, &p.Services[i])
		ends = append(ends, len(encoded))
	}
	for i := range p.Aliases {
		encoded = appendStrings(encoded, "alias")
		encoded = appendStrings(encoded, p.Aliases[i].Name, p.Aliases[i].To)
		ends = append(ends, len(encoded))
	}
	records := make([][]byte, 0, len(ends))
	start := 0
	for _, end := range ends {
		records = append(records, encoded[start:end])
		start = end
	}
	slices.SortFunc(records, bytes.Compare)
	records = slices.CompactFunc(records, bytes.Equal)
	hash := sha256.New()
	for _, record := range records {
		_, _ = hash.Write(binary.AppendUvarint(nil, uint64(len(record)))) // a hash's Write never fails
		_, _ = hash.Write(record)
	}
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}

// appendStrings appends an unambiguous encoding of a list: different lists have different encodings.
func appendStrings(b []byte, list ...string) []byte {
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, s := range list {
		b = append(binary.AppendUvarint(b, uint64(len(s))), s...)
	}
	return b
}

// appendService appends an unambiguous encoding of all fields of a service. Digest depends on this encoding, so it must not
// change.
func appendService(b []byte, s *Service) []byte {
	pool := &s.Pool
	selector := &s.Pool.Select
	b = appendStrings(b, s.Name, s.Owner, s.Contract, s.Class, s.Origin, pool.Name)
	for _, list := range [][]string{s.Zones, s.Via, pool.FormerNames, selector.Zones, selector.MachineTypes, selector.IDPrefixes} {
		b = appendStrings(b, list...)
	}
	b = binary.AppendUvarint(b, uint64(len(selector.Cells)))
	for _, cell := range selector.Cells {
		b = binary.AppendVarint(b, int64(cell))
	}
	for _, n := range []int{pool.Precedence, pool.MaxOpen, pool.MaxWaiting, int(s.LatencyObjective), int(s.DrainBy)} {
		b = binary.AppendVarint(b, int64(n))
	}
	for _, f := range []float64{s.SpareCapacity, selector.SizeFrom, selector.SizeTo} {
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(f))
	}
	return b
}

// equalContents reports whether all fields of two services are equal.
func equalContents(a, b *Service) bool {
	return bytes.Equal(appendService(nil, a), appendService(nil, b))
}
