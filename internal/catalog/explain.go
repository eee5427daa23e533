package catalog

import (
	"cmp"
	"fmt"
	"strings"
	"time"
)

// explanation collects the sentences of State.Explain.
type explanation struct{ strings.Builder }

func (x *explanation) addf(format string, args ...any) { fmt.Fprintf(x, format, args...) }

// formatTime formats an agreed time, given in microseconds.
func formatTime(us int64) string { return (time.Duration(us) * time.Microsecond).String() }

// Explain returns the reason why a name resolves as it does, as text for operators. Telemetry and responses of the control
// plane contain the text, and their golden files pin it.
func (s *State) Explain(name string) string {
	var x explanation
	e := s.lookup(name)
	for range maxAliasChain + 1 {
		if e == nil || e.AliasOf == "" {
			break
		}
		x.addf("%s is a further name of %s, published by %s", e.Name, e.AliasOf, strings.Join(e.PublishedBy, ", "))
		x.addDecision(e)
		if e.Status == StatusQuarantine {
			return x.String()
		}
		name, e = e.AliasOf, s.lookup(e.AliasOf)
	}
	switch {
	case e == nil:
		x.addf("%s means nothing: no mesh publishes it, or its former holder's times are over.", name)
	case e.AliasOf != "":
		x.addf("It means nothing: there are more than %d aliases in a row.", maxAliasChain)
	case e.Status == StatusQuarantine:
		x.addf("%s was %s's", e.Name, e.Owner)
		x.addDecision(e)
	default:
		x.addf("%s is the service of %s with contract %s at", e.Name, e.Owner, e.Contract)
		x.addProviders(e.Providers)
		x.addDecision(e)
	}
	return strings.TrimSuffix(x.String(), " ")
}

func (x *explanation) addProviders(providers []Provider) {
	for i, p := range providers {
		if i > 0 {
			x.addf(",")
		}
		x.addf(" %s", p.Mesh)
		if len(p.Zones) > 0 {
			x.addf(" (%s)", strings.Join(p.Zones, " "))
		}
		if p.Origin != "" {
			x.addf(" for %s", p.Origin)
		}
		if p.Lost {
			x.addf(", lost")
		} else if p.DrainBy > 0 {
			x.addf(", withdrawn by %s", p.DrainBy)
		}
	}
}

// causeTexts maps Cause constants to their wording in explanations.
var causeTexts = map[string]string{
	CauseOverride:      "by staff's ruling",
	CauseCurrentOwner:  "because it held the name before the others came",
	CausePrecedence:    "by the precedence of its mesh's exports",
	CauseMeshName:      "by the order of meshes' names",
	CauseOwnerName:     "by the order of owners' names",
	CauseSoleClaimant:  "because nobody else claimed it",
	CauseQualifiedName: "because that mesh publishes it under this full name",
}

// addDecision adds the cause, status and conflicts of an entry.
func (x *explanation) addDecision(e *Entry) {
	x.addf(", %s, since state %d. ", cmp.Or(causeTexts[e.Cause], e.Cause), e.SinceState)
	until := formatTime(e.UntilUS)
	switch {
	case e.Status == StatusHeld:
		x.addf("It is held. ")
	case e.Status == StatusDraining:
		x.addf("It is withdrawn and drains until %s, then stands as a tombstone for %s. ", until, TombstoneDuration)
	case e.Status == StatusQuarantine:
		x.addf("It means nothing: it is in quarantine until %s, and nobody else gets it before. ", until)
	case e.Ended:
		x.addf("It has ended and stands as a tombstone until %s, then means nothing for %s. ", until, QuarantineDuration)
	default:
		x.addf("Its meshes are lost; it stands as a tombstone until %s, then means nothing for %s. ", until, QuarantineDuration)
	}
	for i, c := range e.Conflicts {
		if i == 0 {
			x.addf("Others claimed it: ")
		}
		end := "; "
		if i == len(e.Conflicts)-1 {
			end = ". "
		}
		x.addf("%s's of %s, known as %s%s", cmp.Or(c.Owner, "an alias"), c.Mesh, cmp.Or(c.QualifiedName, "nothing yet"), end)
	}
}
