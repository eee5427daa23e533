package controlplane

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/consensus"
	"example.org/micafront/internal/federation"
	"example.org/micafront/internal/fleetconfig"
	"go.uber.org/zap"
)

// stepCatalog passes the outcome of the node's work to the catalog proposer. If the proposer returns a version, another
// goroutine validates it, because large versions take long to validate, and the event loop then proposes it.
func (l *eventLoop) stepCatalog(outcome consensus.Outcome) {
	l.catalogProposer.HandleOutcome(l.now(), outcome)
	proposal := l.catalogProposer.Step(l.now())
	if proposal == nil {
		return
	}
	go func() { // does not leak: enqueue returns when the event loop has ended
		err := validateProposal(*proposal)
		l.replica.enqueue(func(loop *eventLoop) {
			if err != nil {
				loop.catalogProposer.RecordValidationFailure(err)
			} else {
				err = loop.catalogProposer.Propose(loop.now(), *proposal)
			}
			if err != nil {
				loop.replica.log.Warn("micafront-controlplane: catalog version not proposed",
					zap.String("reason", proposal.Reason), zap.Error(err))
			}
		})
	}()
}

// PublishResponse is the response to a publication.
type PublishResponse struct {
	Mesh     string            `json:"mesh"`
	Epoch    uint64            `json:"epoch"`
	Seq      uint64            `json:"seq"`
	Catalog  string            `json:"catalog"` // digest of the catalog's text, which includes the publication
	Findings []catalog.Finding `json:"findings,omitempty"`
}

// handlePublish commits a mesh's publication. A mesh repeats its latest publication as a heartbeat.
func (r *Replica) handlePublish(w http.ResponseWriter, req *http.Request, body []byte) error {
	var publication catalog.Publication
	if err := decode("publication", body, &publication); err != nil {
		return err
	}
	submit := func(loop *eventLoop) ([]consensus.ProposalID, error) {
		return loop.catalogProposer.Publish(loop.now(), publication)
	}
	return r.commitFederationChange(w, req, body, submit, func(loop *eventLoop) any {
		state := loop.state.Federation()
		_, digest := state.EncodedCatalog()
		return PublishResponse{
			Mesh:     publication.Mesh,
			Epoch:    publication.Epoch,
			Seq:      publication.Seq,
			Catalog:  digest,
			Findings: relevantFindings(state.Findings(), publication),
		}
	})
}

// relevantFindings returns the findings about the publishing mesh, and the collisions of the names that it publishes.
func relevantFindings(findings []catalog.Finding, publication catalog.Publication) (relevant []catalog.Finding) {
	published := map[string]bool{}
	for i := range publication.Services {
		published[publication.Services[i].Name] = true
	}
	for _, finding := range findings {
		if finding.Mesh == publication.Mesh || finding.Kind == catalog.Collision.Name && published[finding.Name] {
			relevant = append(relevant, finding)
		}
	}
	return relevant
}

// handleSetTerms commits the operators' terms of the federation.
func (r *Replica) handleSetTerms(w http.ResponseWriter, req *http.Request, body []byte) error {
	var terms federation.Terms
	if err := decode("terms", body, &terms); err != nil {
		return err
	}
	submit := func(loop *eventLoop) ([]consensus.ProposalID, error) {
		id, err := loop.catalogProposer.SubmitChange(loop.now(), federation.Change{Terms: &terms})
		return []consensus.ProposalID{id}, err
	}
	return r.commitFederationChange(w, req, body, submit, func(loop *eventLoop) any {
		return loop.state.Federation().Terms()
	})
}

// commitFederationChange submits changes on the leader. When all of them are applied, it sends the value that respond returns.
func (r *Replica) commitFederationChange(w http.ResponseWriter, req *http.Request, body []byte,
	submit func(*eventLoop) ([]consensus.ProposalID, error), respond func(*eventLoop) any) error {
	ctx, cancel := context.WithTimeout(req.Context(), r.commitTimeout)
	defer cancel()
	return r.serveByLeader(ctx, w, req, leaderCall{
		method:     req.Method,
		path:       req.URL.Path,
		body:       body,
		maxElapsed: r.commitTimeout,
		retryable:  retryableIfIdempotent,
		local: func(ctx context.Context) (response, error) {
			if err := r.submitAndWait(ctx, submit); err != nil {
				return response{}, err
			}
			value, err := query(ctx, r, respond)
			return newResponse(http.StatusOK, value), err
		},
	})
}

// submitAndWait submits changes on the event loop and waits until each proposal is applied.
func (r *Replica) submitAndWait(ctx context.Context, submit func(*eventLoop) ([]consensus.ProposalID, error)) error {
	type submission struct {
		results []chan proposalResult
		err     error
	}
	submitted, err := query(ctx, r, func(loop *eventLoop) submission {
		ids, err := submit(loop)
		submitted := submission{err: err}
		for _, id := range ids {
			if id.IsZero() { // nothing had to be proposed
				continue
			}
			results := make(chan proposalResult, 1)
			loop.pendingProposals[id] = pendingProposal{time.Now(), results}
			submitted.results = append(submitted.results, results)
		}
		return submitted
	})
	if err == nil {
		err = submitted.err
	}
	if err != nil {
		return r.timeoutAsUncertain(err)
	}
	for _, results := range submitted.results {
		if _, err := r.awaitProposal(ctx, results); err != nil {
			return err
		}
	}
	return nil
}

// addCatalog adds the current catalog to a proposal whose body has none.
func (r *Replica) addCatalog(ctx context.Context, proposal fleetconfig.Propose) (fleetconfig.Propose, error) {
	if proposal.Body == nil || len(proposal.Body.Catalog) > 0 {
		return proposal, nil
	}
	body, err := query(ctx, r, func(loop *eventLoop) fleetconfig.Body {
		return loop.catalogProposer.WithCatalog(*proposal.Body)
	})
	proposal.Body = &body
	return proposal, r.timeoutAsUncertain(err)
}

// handleTerms sends the federation's terms, as this replica has applied them.
func (r *Replica) handleTerms(w http.ResponseWriter, req *http.Request, _ []byte) error {
	return r.serveLocally(w, req, func(loop *eventLoop) (any, error) { return loop.state.Federation().Terms(), nil })
}

// Catalog is the catalog of service names, as one replica has applied it.
type Catalog struct {
	Number uint64 `json:"number"`   // number of the catalog's state
	Digest string `json:"digest"`   // digest of the catalog's text
	Active bool   `json:"in_force"` // the active version contains this text
	// BlockedReason is why the leader proposes no version with this text. It is empty if nothing blocks one,
	// and on other replicas.
	BlockedReason string            `json:"waits,omitempty"`
	Names         []CatalogName     `json:"names"`
	Meshes        []CatalogMesh     `json:"meshes"`
	Findings      []catalog.Finding `json:"findings"`
}

// CatalogName is one name of the catalog.
type CatalogName struct {
	Name             string             `json:"name"`
	Owner            string             `json:"owner,omitempty"`
	AliasOf          string             `json:"alias_of,omitempty"`
	Providers        []string           `json:"homes,omitempty"` // names of meshes
	AllProvidersLost bool               `json:"lost,omitempty"`
	Status           string             `json:"standing"`
	Cause            string             `json:"cause"` // why the name has this status
	Conflicts        []catalog.Conflict `json:"rivals,omitempty"`
}

// CatalogMesh is a mesh that belongs to the federation, or has left it.
type CatalogMesh struct {
	Mesh      string        `json:"mesh"`
	Epoch     uint64        `json:"epoch,omitempty"`
	Seq       uint64        `json:"seq,omitempty"`
	Lost      bool          `json:"lost,omitempty"`     // it has published nothing for the mesh timeout
	LostSince time.Duration `json:"since,omitempty"`    // on the replicas' agreed clock (federation.Change.At)
	LostFor   time.Duration `json:"lost_for,omitempty"` // by the same clock
}

// catalog returns this replica's Catalog. It lists no names and no meshes before the first change of the federation.
func (l *eventLoop) catalog() Catalog {
	federated := l.state.Federation()
	text, digest := federated.EncodedCatalog()
	result := Catalog{
		Names:         []CatalogName{},
		Meshes:        []CatalogMesh{},
		Findings:      append([]catalog.Finding{}, federated.Findings()...),
		BlockedReason: l.catalogProposer.BlockedReason(),
	}
	if active, ok := l.state.Active(); ok {
		result.Active = bytes.Equal(active.Body.Catalog, text)
	}
	state := federated.Catalog()
	if state == nil {
		return result
	}
	result.Number = state.Number
	result.Digest = digest
	for i := range state.Entries {
		result.Names = append(result.Names, catalogName(&state.Entries[i]))
	}
	for _, mesh := range state.Meshes {
		entry := CatalogMesh{Mesh: mesh.Mesh, Epoch: mesh.Epoch, Seq: mesh.Seq, Lost: mesh.Lost}
		if mesh.Lost {
			entry.LostSince = time.Duration(mesh.LostSinceUS) * time.Microsecond
			entry.LostFor = l.catalogProposer.AgreedTime(l.now()) - entry.LostSince
		}
		result.Meshes = append(result.Meshes, entry)
	}
	return result
}

func catalogName(entry *catalog.Entry) CatalogName {
	name := CatalogName{
		Name:      entry.Name,
		Owner:     entry.Owner,
		AliasOf:   entry.AliasOf,
		Status:    entry.Status,
		Cause:     entry.Cause,
		Conflicts: entry.Conflicts,
	}
	for _, provider := range entry.Providers {
		name.Providers = append(name.Providers, provider.Mesh)
	}
	name.AllProvidersLost = len(entry.Providers) > 0 &&
		!slices.ContainsFunc(entry.Providers, func(provider catalog.Provider) bool { return !provider.Lost })
	return name
}

// handleCatalog sends the catalog, as this replica has applied it.
func (r *Replica) handleCatalog(w http.ResponseWriter, req *http.Request, _ []byte) error {
	return r.serveLocally(w, req, func(loop *eventLoop) (any, error) { return loop.catalog(), nil })
}

// NameResolution is what a name resolves to, and why.
type NameResolution struct {
	Entry       *catalog.Entry `json:"entry,omitempty"` // nil: the name does not resolve
	Explanation string         `json:"why"`
}

// handleCatalogName sends what one name resolves to, as this replica has applied it.
func (r *Replica) handleCatalogName(w http.ResponseWriter, req *http.Request, _ []byte) error {
	name := req.PathValue("name")
	return r.serveLocally(w, req, func(loop *eventLoop) (any, error) {
		state := loop.state.Federation().Catalog()
		if state == nil {
			return nil, catalog.UnknownService.New(name, "no mesh has published anything yet")
		}
		entry, _ := state.Resolve(name) // nil if the name does not resolve; the explanation says why
		return NameResolution{Entry: entry, Explanation: state.Explain(name)}, nil
	})
}
