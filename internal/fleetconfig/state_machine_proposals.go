package fleetconfig

import (
	"fmt"
	"slices"
	"unicode/utf8"

	"example.org/micafront/internal/apperror"
)

// proposalOutcome is the answer to a proposal, kept so that a repeated proposal gets the same answer.
type proposalOutcome struct {
	ID     string `json:"id"`
	Number uint64 `json:"number,omitempty"`
	Kind   string `json:"kind,omitempty"` // of the error; empty: the proposal was applied
	Place  string `json:"place,omitempty"`
	Cause  string `json:"cause,omitempty"`
}

func (o proposalOutcome) answer() Answer {
	if o.Kind == "" {
		return Answer{Number: o.Number}
	}
	return Answer{o.Number, &apperror.Error{Kind: kindByName(o.Kind), Place: o.Place, Cause: o.Cause}}
}

// propose applies a proposal, or repeats the answer to an earlier one with the same ID.
func (s *StateMachine) propose(p Propose) Answer {
	if err := p.checkTexts(); err != nil {
		return Answer{Err: err}
	}
	if p.ID == "" {
		number, err := s.addProposal(p)
		return newAnswer(number, err)
	}
	for _, earlier := range s.outcomes {
		if earlier.ID == p.ID {
			return earlier.answer()
		}
	}
	number, err := s.addProposal(p)
	outcome := proposalOutcome{ID: p.ID, Number: number}
	if err != nil {
		// A wrapped error becomes text, so that the answer is the same before a snapshot and after it.
		if err.Err != nil {
			err = err.Kind.New(err.Place, "%s", err.Err.Error())
		}
		outcome.Kind = err.Kind.Name
		outcome.Place = err.Place
		outcome.Cause = err.Cause
	}
	s.outcomes = lastN(append(s.outcomes, outcome), maxOutcomes)
	return newAnswer(number, err)
}

// checkTexts returns TooLarge or BadCommand if a text of the proposal is too long or not UTF-8.
func (p Propose) checkTexts() error {
	for _, field := range []struct {
		name, text string
		maxBytes   int
	}{{"id", p.ID, maxNameBytes}, {"by", p.ProposedBy, maxTextBytes}, {"why", p.Reason, maxTextBytes}} {
		if len(field.text) > field.maxBytes {
			return TooLarge.New("proposal: "+field.name, "it has %d bytes, %d at most", len(field.text), field.maxBytes)
		}
		if !utf8.ValidString(field.text) {
			return BadCommand.New("proposal: "+field.name, "it is no UTF-8")
		}
	}
	return nil
}

// newAnswer returns an Answer. It keeps a nil *apperror.Error from becoming a non-nil error.
func newAnswer(number uint64, err *apperror.Error) Answer {
	if err != nil {
		return Answer{number, err}
	}
	return Answer{Number: number}
}

// addProposal adds the proposed version, and activates it if it is the first. With an error it returns the number of the
// conflicting version, or 0 if there is none.
func (s *StateMachine) addProposal(p Propose) (uint64, *apperror.Error) {
	if s.proposed != 0 {
		return s.proposed, AlreadyProposed.New("proposal", "version %d waits to become active", s.proposed)
	}
	if p.Base != 0 && p.Base != s.active {
		return s.active, StaleBase.New("proposal", "it is made on version %d, and %d is in force", p.Base, s.active)
	}
	version := Version{RollbackOf: p.RollbackOf, ProposedBy: p.ProposedBy, Reason: p.Reason, Force: p.Force}
	body, digest, err := s.proposedBody(p)
	if err != nil {
		return 0, err
	}
	version.Body = body
	version.Digest = digest
	s.lastNumber++
	version.Number = s.lastNumber
	s.versions = append(slices.Clip(s.versions), version)
	s.proposed = version.Number
	s.record(HistoryEntry{Number: version.Number, Step: stepProposed, Reason: version.Reason})
	if s.active == 0 {
		// No proxy acts on a version yet, so this one cannot contradict another.
		s.makeActive(Activate{Number: version.Number})
	}
	s.trimVersions()
	return version.Number, nil
}

// proposedBody returns the body of a proposal, or of the version that it rolls back to, and the digest of the body.
func (s *StateMachine) proposedBody(p Propose) (Body, string, *apperror.Error) {
	switch {
	case p.RollbackOf != 0:
		if p.Body != nil {
			return Body{}, "", BadBody.New("proposal", "a rollback brings a body of its own")
		}
		earlier, ok := s.Version(p.RollbackOf)
		if !ok {
			cause := "it is not kept any more, or was never in force"
			if p.RollbackOf > s.lastNumber {
				cause = "there has been no such version"
			}
			return Body{}, "", UnknownVersion.New(fmt.Sprintf("version %d", p.RollbackOf), "%s", cause)
		}
		return earlier.Body, earlier.Digest, nil
	case p.Body == nil:
		return Body{}, "", BadBody.New("proposal", "it has no body")
	}
	body, err := p.Body.Validated("proposal")
	if err != nil {
		return Body{}, "", BadBody.WrapUntyped("proposal", err)
	}
	return body, body.Digest(), nil
}

func (s *StateMachine) activate(a Activate) Answer {
	if err := s.requireProposed(a.Number); err != nil {
		return Answer{a.Number, err}
	}
	s.makeActive(a)
	s.trimVersions()
	return Answer{Number: a.Number}
}

// requireProposed returns NotProposed if the version is not the proposed one.
func (s *StateMachine) requireProposed(number uint64) error {
	switch {
	case number != 0 && number == s.proposed:
		return nil
	case s.proposed == 0:
		return NotProposed.New(fmt.Sprintf("version %d", number), "none waits to become active")
	}
	return NotProposed.New(fmt.Sprintf("version %d", number), "version %d waits to become active", s.proposed)
}

// makeActive makes the proposed version active.
func (s *StateMachine) makeActive(a Activate) {
	version := &s.versions[s.versionIndex(a.Number)]
	version.Excluded = nil
	for _, node := range a.Excluded {
		if validNodeName(node) {
			version.Excluded = append(version.Excluded, node)
		}
	}
	slices.Sort(version.Excluded)
	version.Excluded = slices.Compact(version.Excluded)
	version.MaxMemberTimeout = version.Body.Fleet.MemberTimeout
	if previous, ok := s.Active(); ok {
		unexpired := previous.MaxMemberTimeout
		if a.SettledVersion == previous.Number {
			unexpired = previous.Body.Fleet.MemberTimeout
		}
		version.MaxMemberTimeout = max(version.MaxMemberTimeout, unexpired)
	}
	s.active = a.Number
	s.proposed = 0
	s.record(HistoryEntry{Number: a.Number, Step: stepActive, Reason: version.Reason})
}

func (s *StateMachine) withdraw(w Withdraw) Answer {
	if err := s.requireProposed(w.Number); err != nil {
		return Answer{w.Number, err}
	}
	i := s.versionIndex(w.Number)
	s.versions = slices.Delete(slices.Clone(s.versions), i, i+1)
	s.proposed = 0
	s.record(HistoryEntry{
		Number:     w.Number,
		Step:       stepWithdrawn,
		Reason:     truncate(w.Reason, maxTextBytes),
		Rejections: boundRejections(w.Rejections),
	})
	return Answer{Number: w.Number}
}
