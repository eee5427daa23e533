package fleetconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// snapshotHeader starts the first line of a snapshot. The line ends with the SHA-256 of the rest, which is the state as
// JSON.
const snapshotHeader = "micafront-book 1 "

// snapshotJSON is the JSON form of the state. Each body is written once, however many versions share it.
type snapshotJSON struct {
	LastIndex  uint64            `json:"last"`
	LastNumber uint64            `json:"numbers"`
	Active     uint64            `json:"active"`
	Proposed   uint64            `json:"proposed"`
	Bodies     map[string]Body   `json:"bodies"` // by digest
	Versions   []versionJSON     `json:"versions"`
	Members    []Member          `json:"members"`
	History    []HistoryEntry    `json:"history"`
	Outcomes   []proposalOutcome `json:"answers"`

	EndpointList json.RawMessage `json:"list,omitempty"`       // absent before the first list
	Federation   json.RawMessage `json:"federation,omitempty"` // absent before the first mesh
}

// versionJSON is a Version without its body, which snapshotJSON.Bodies contains.
type versionJSON struct {
	Version
	Body *struct{} `json:"body,omitempty"`
}

// Snapshot encodes the state. Two state machines that applied the same commands return the same bytes.
func (s *StateMachine) Snapshot() ([]byte, error) {
	const place = "encoding the snapshot"
	snapshot := snapshotJSON{
		LastIndex:  s.lastIndex,
		LastNumber: s.lastNumber,
		Active:     s.active,
		Proposed:   s.proposed,
		Bodies:     map[string]Body{},
		Members:    s.members,
		History:    s.history,
		Outcomes:   s.outcomes,
	}
	for _, version := range s.versions {
		snapshot.Bodies[version.Digest] = version.Body
		version.Body = Body{}
		snapshot.Versions = append(snapshot.Versions, versionJSON{Version: version})
	}
	if err := s.addEndpointsTo(&snapshot); err != nil {
		return nil, err
	}
	var err error
	if snapshot.Federation, err = s.federationSnapshot(); err != nil {
		return nil, BrokenSnapshot.Wrap(place, err)
	}
	text, err := json.Marshal(snapshot)
	if err != nil {
		return nil, BrokenSnapshot.Wrap(place, err)
	}
	return append([]byte(snapshotHeader+checksum(text)+"\n"), text...), nil
}

func checksum(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Restore replaces the state by that of a snapshot. If the snapshot is invalid, it returns BrokenSnapshot and leaves the
// state unchanged.
func (s *StateMachine) Restore(encoded []byte) error {
	snapshot, err := decodeSnapshot(encoded)
	if err != nil {
		return err
	}
	restoredFederation, err := s.restoredFederation(snapshot.Federation)
	if err != nil {
		return BrokenSnapshot.Wrap("federation", err)
	}
	if err := snapshot.checkBodies(); err != nil {
		return err
	}
	restored := &StateMachine{
		lastIndex:  snapshot.LastIndex,
		lastNumber: snapshot.LastNumber,
		active:     snapshot.Active,
		proposed:   snapshot.Proposed,
		members:    snapshot.Members,
		history:    snapshot.History,
		outcomes:   snapshot.Outcomes,
		federation: restoredFederation,
	}
	if restored.versions, err = snapshot.versions(); err != nil {
		return err
	}
	if err := restored.checkRestored(); err != nil {
		return err
	}
	if err := restored.restoreEndpoints(snapshot); err != nil {
		return err
	}
	s.replaceWith(restored)
	return nil
}

// decodeSnapshot checks the header and the checksum of a snapshot and decodes the rest.
func decodeSnapshot(encoded []byte) (snapshotJSON, error) {
	header, text, _ := bytes.Cut(encoded, []byte("\n"))
	before, digest, _ := bytes.Cut(header, []byte(snapshotHeader))
	switch {
	case len(before) > 0 || len(digest) == 0:
		return snapshotJSON{}, BrokenSnapshot.New("line 1", "%.40q is not the header of a snapshot that this release reads", header)
	case string(digest) != checksum(text):
		return snapshotJSON{}, BrokenSnapshot.New("line 2", "its %d bytes do not have the checksum of line 1", len(text))
	}
	var snapshot snapshotJSON
	if err := json.Unmarshal(text, &snapshot); err != nil {
		return snapshotJSON{}, BrokenSnapshot.Wrap("line 2", err)
	}
	return snapshot, nil
}

// checkBodies validates the bodies, replaces them by their canonical forms, and checks their digests.
func (j snapshotJSON) checkBodies() error {
	for digest, body := range j.Bodies {
		checked, err := body.Validated("body " + digest)
		if err != nil {
			return BrokenSnapshot.Wrap("bodies", err)
		}
		j.Bodies[digest] = checked
		if checked.Digest() != digest {
			return BrokenSnapshot.New("bodies", "the body stored under the digest %.16s has another digest", digest)
		}
	}
	return nil
}

// versions returns the versions with their bodies. It returns BrokenSnapshot if a version has no body, is out of order, or
// has a MaxMemberTimeout below its own MemberTimeout.
func (j snapshotJSON) versions() ([]Version, error) {
	var versions []Version
	for i, version := range j.Versions {
		body, ok := j.Bodies[version.Digest]
		inOrder := version.Number != 0 && version.Number <= j.LastNumber && (i == 0 || version.Number > j.Versions[i-1].Number)
		if !ok || !inOrder {
			return nil, BrokenSnapshot.New("versions", "version %d has no body, or is out of order", version.Number)
		}
		if version.Number <= j.Active && version.MaxMemberTimeout < body.Fleet.MemberTimeout {
			return nil, BrokenSnapshot.New("versions", "version %d has a maximum member timeout of %v, below its own member timeout",
				version.Number, version.MaxMemberTimeout)
		}
		version.Version.Body = body
		versions = append(versions, version.Version)
	}
	return versions, nil
}

// checkRestored returns BrokenSnapshot if parts of a restored state contradict each other.
func (s *StateMachine) checkRestored() error {
	for _, required := range []uint64{s.active, s.proposed} {
		if required != 0 && s.versionIndex(required) < 0 {
			return BrokenSnapshot.New("versions", "version %d is missing", required)
		}
	}
	if s.proposed != 0 && (s.proposed <= s.active || s.active == 0) {
		return BrokenSnapshot.New("versions", "version %d is proposed while %d is active", s.proposed, s.active)
	}
	if !slices.IsSortedFunc(s.members, compareMembers) {
		return BrokenSnapshot.New("members", "they are out of order")
	}
	for _, outcome := range s.outcomes {
		if outcome.Kind != "" && kindByName(outcome.Kind) == nil {
			return BrokenSnapshot.New("answers", "this release knows no error %.40q", outcome.Kind)
		}
	}
	return nil
}

// replaceWith copies a restored state into s. It keeps the address of s.federation, since callers of Federation hold it.
func (s *StateMachine) replaceWith(restored *StateMachine) {
	kept := s.federation
	*kept = *restored.federation
	*s = *restored
	s.federation = kept
}
