package simwire

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"example.org/micafront/balancer"
)

// Reply builds one line of output: the actions that a batch caused.
type Reply struct {
	buffer  []byte
	actions int
}

// NewReply starts the reply to a batch, by the number of its frame.
func NewReply(frame int64) *Reply {
	r := &Reply{buffer: make([]byte, 0, 256)}
	r.buffer = append(r.buffer, `{"frame":`...)
	r.buffer = strconv.AppendInt(r.buffer, frame, 10)
	r.buffer = append(r.buffer, `,"output":[`...)
	return r
}

// Line ends the reply and returns it with its newline. Nothing can be added after it.
func (r *Reply) Line() []byte { return append(r.buffer, "]}\n"...) }

// AddFailure says that an instance's decision code has failed; the simulator ends the day with that.
func (r *Reply) AddFailure(node int, reason string) {
	r.beginAction("Broken", node)
	r.text("ReasonText", reason)
	r.endAction()
}

func (r *Reply) beginAction(name string, node int) {
	if r.actions > 0 {
		r.buffer = append(r.buffer, ',')
	}
	r.actions++
	r.buffer = append(r.buffer, `{"`...)
	r.buffer = append(r.buffer, name...)
	r.buffer = append(r.buffer, `":{"Node":`...)
	r.buffer = strconv.AppendInt(r.buffer, int64(node), 10)
}

func (r *Reply) endAction() { r.buffer = append(r.buffer, "}}"...) }

func (r *Reply) member(name string) {
	r.buffer = append(r.buffer, `,"`...)
	r.buffer = append(r.buffer, name...)
	r.buffer = append(r.buffer, `":`...)
}

func (r *Reply) text(name, value string) {
	r.member(name)
	quoted, _ := json.Marshal(value) // a string always marshals
	r.buffer = append(r.buffer, quoted...)
}

func (r *Reply) integer(name string, value int) {
	r.member(name)
	r.buffer = strconv.AppendInt(r.buffer, int64(value), 10)
}

func (r *Reply) seconds(name string, duration time.Duration) {
	r.member(name)
	microseconds := duration.Round(time.Microsecond) / time.Microsecond
	r.buffer = strconv.AppendFloat(r.buffer, float64(microseconds)/1e6, 'f', -1, 64)
}

// Add adds an action of an instance. An action that the wire has no form for gives an error.
func (r *Reply) Add(node int, action balancer.Action) error {
	switch action := action.(type) {
	case balancer.Send:
		r.beginAction("HandOff", node)
		r.text("Rid", action.ID)
		r.text("Host", action.Endpoint)
		if action.Timeout != 0 {
			r.seconds("Limit", action.Timeout)
		}
	case balancer.Reject:
		r.beginAction("Reject", node)
		r.text("Rid", action.ID)
		if action.RetryAfter > 0 {
			r.seconds("NotBeforeFor", action.RetryAfter)
		}
	case balancer.Fail:
		r.beginAction("Lose", node)
		r.text("Rid", action.ID)
	case balancer.Cancel:
		r.beginAction("UndoSend", node)
		r.text("Rid", action.ID)
		r.integer("SendNo", action.Attempt)
	case balancer.SetTimer:
		r.beginAction("Arm", node)
		r.seconds("Delay", action.Delay)
		r.text("Label", action.Token)
	case balancer.Migrate:
		r.beginAction("Migrate", node)
		r.text("Rid", action.ID)
	case balancer.HealthCheck:
		r.beginAction("HealthCheck", node)
		r.text("Host", action.Endpoint)
	case balancer.CloseIdleConnections:
		r.beginAction("FreeLinks", node)
		r.text("Host", action.Endpoint)
	case balancer.Watch:
		r.beginAction("Watch", node)
		r.member("Enable")
		r.buffer = strconv.AppendBool(r.buffer, action.On)
	case balancer.FetchEndpoints:
		r.beginAction("ReadList", node)
	case balancer.SendToPeer:
		r.beginAction("Notify", node)
		r.integer("Peer", action.To)
		r.text("Content", action.Data)
	case balancer.Log:
		r.beginAction("Emit", node)
		r.text("ReasonText", action.Text)
	default:
		return fmt.Errorf("action %T has no form on the wire", action)
	}
	r.endAction()
	return nil
}
