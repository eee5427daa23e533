package fleetsim

import (
	"slices"
	"time"

	"example.org/micafront/internal/catalog"
)

// The intervals are short so that meshes are lost and return within a run.
const (
	publishInterval      = 2 * time.Second
	publishRetryInterval = 500 * time.Millisecond // before the next replica is tried
	meshTimeout          = 7 * time.Second
)

// Mesh is the process that publishes a site's services. It sends its publication every publishInterval, and retries every
// publishRetryInterval until a replica answers.
type Mesh struct {
	Process

	Findings    []catalog.Finding // in the latest answer
	AcceptedSeq uint64            // sequence number of the latest accepted publication
	Rejection   error             // error in the latest answer; nil: the publication was accepted

	fleet       *Fleet
	publication catalog.Publication
	round       uint64 // incremented by each request and each answer; timers and answers of earlier rounds are ignored
	attempt     int    // number of requests, which go to the replicas in turn
}

// AddMesh starts a mesh without services and returns it. It sends nothing before Publish.
func (f *Fleet) AddMesh(name string) *Mesh {
	m := &Mesh{
		Process:     *f.newProcess(name),
		fleet:       f,
		publication: catalog.Publication{Mesh: name, Epoch: 1},
		attempt:     len(f.Meshes),
	}
	f.Meshes = append(f.Meshes, m)
	m.start()
	return m
}

// Mesh returns the mesh with the name, or nil if there is none.
func (f *Fleet) Mesh(name string) *Mesh {
	i := slices.IndexFunc(f.Meshes, func(m *Mesh) bool { return m.Name == name })
	if i < 0 {
		return nil
	}
	return f.Meshes[i]
}

// Publish replaces the mesh's services and sends the new publication to the replicas.
func (m *Mesh) Publish(services ...catalog.Service) {
	m.publication.Seq++
	m.publication.Services = services
	m.send()
}

// Accepted reports whether the latest publication was accepted.
func (m *Mesh) Accepted() bool { return m.AcceptedSeq == m.publication.Seq }

// send sends the publication to the next replica, and retries until a replica answers.
func (m *Mesh) send() {
	m.round++
	m.attempt++
	round, publication := m.round, m.publication
	replica := m.fleet.Replicas[m.attempt%len(m.fleet.Replicas)]
	m.fleet.Network.Send(m.Name, &replica.Process, func() {
		replica.handlePublication(publication, false, func(findings []catalog.Finding, err error) {
			m.fleet.Network.Send(replica.Name, &m.Process, func() { m.handleAnswer(round, publication.Seq, findings, err) })
		})
	})
	m.sendAfter(publishRetryInterval)
}

// sendAfter sends the publication again after the duration d, unless a later request or an answer comes first.
func (m *Mesh) sendAfter(d time.Duration) {
	round := m.round
	m.Timer(m.Now()+d, func() {
		if m.round == round {
			m.send()
		}
	})
}

// handleAnswer handles the answer to the request of a round. It ignores answers to earlier rounds.
func (m *Mesh) handleAnswer(round, seq uint64, findings []catalog.Finding, err error) {
	if round != m.round {
		return
	}
	m.round++
	m.Findings = findings
	m.Rejection = err
	if err == nil {
		m.AcceptedSeq = max(m.AcceptedSeq, seq)
	}
	m.sendAfter(publishInterval)
}
