package fleetsim

import (
	"cmp"
	"fmt"
	"time"

	"example.org/micafront/internal/federation"
	"example.org/micafront/internal/fleetconfig"
)

// requestRetryInterval is how long the operator waits for an answer before it sends a request to the next replica.
const requestRetryInterval = time.Second

// Request is a command that the operator sends until it receives an answer. A proposal keeps its ID when it is sent again.
type Request struct {
	Command    fleetconfig.Command
	SentAt     time.Duration      // true time
	AnsweredAt time.Duration      // true time; 0: not answered yet
	Answer     fleetconfig.Answer // first answer
}

// Submit sends a command of the operator to the replicas. It sets the ID of a proposal that has none.
func (f *Fleet) Submit(c fleetconfig.Command) *Request {
	number := len(f.Requests) + 1
	if c.Propose != nil {
		c.Propose.ID = cmp.Or(c.Propose.ID, fmt.Sprint("order-", number))
	}
	request := &Request{Command: c, SentAt: f.engine.now}
	f.Requests = append(f.Requests, request)
	f.send(request, number)
	return request
}

// SetFederationTerms submits the federation's terms. terms.Base is the number of the terms on which they are based.
func (f *Fleet) SetFederationTerms(terms federation.Terms) *Request {
	return f.Submit(fleetconfig.Command{MeshChange: &federation.Change{Terms: &terms}})
}

// send sends a request to the replicas in turn until one answers.
func (f *Fleet) send(request *Request, attempt int) {
	if request.AnsweredAt > 0 {
		return
	}
	replica := f.Replicas[attempt%len(f.Replicas)]
	f.Network.Send(f.Operator.Name, &replica.Process, func() {
		replica.handleCommand(request.Command, false, func(answer fleetconfig.Answer) {
			f.Network.Send(replica.Name, f.Operator, func() { f.handleAnswer(request, answer) })
		})
	})
	f.Operator.Timer(f.Operator.Now()+requestRetryInterval, func() { f.send(request, attempt+1) })
}

// handleAnswer handles an answer to a request. A request may receive several: the first one is stored, and all are checked.
func (f *Fleet) handleAnswer(request *Request, answer fleetconfig.Answer) {
	if request.AnsweredAt == 0 {
		request.AnsweredAt = f.engine.now
		request.Answer = answer
		f.engine.Trace(f.Operator.Name, "answer", answer.Number, fmt.Sprint(answer.Err))
	}
	if answer.Err == nil && request.Command.Propose != nil {
		f.invariants.checkAnswer(request.Command.Propose.ID, answer.Number)
	}
}
