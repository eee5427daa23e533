package simwire

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"example.org/micafront/balancer"
)

// Reply builds one line of output: the actions in response to a batch.
type Reply struct {
	buffer  []byte
	actions int
}

// initialReplyCapacity is in bytes; it fits a reply with a few actions.
const initialReplyCapacity = 256

// NewReply starts the reply to the batch with the given frame number.
func NewReply(frame int64) *Reply {
	r := &Reply{buffer: make([]byte, 0, initialReplyCapacity)}
	r.buffer = append(r.buffer, `{"frame":`...)
	r.buffer = strconv.AppendInt(r.buffer, frame, 10)
	r.buffer = append(r.buffer, `,"output":[`...)
	return r
}

// Line completes the reply and returns it with a trailing newline. The reply must not be used afterwards.
func (r *Reply) Line() []byte { return append(r.buffer, "]}\n"...) }

// AddFailure reports that an instance's Balancer failed. The simulator stops its run on such a report.
func (r *Reply) AddFailure(node int, reason string) {
	r.beginAction("Broken", node)
	r.appendString("ReasonText", reason)
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

func (r *Reply) appendMemberName(name string) {
	r.buffer = append(r.buffer, `,"`...)
	r.buffer = append(r.buffer, name...)
	r.buffer = append(r.buffer, `":`...)
}

func (r *Reply) appendString(name, value string) {
	r.appendMemberName(name)
	quoted, _ := json.Marshal(value) // marshaling a string never fails
	r.buffer = append(r.buffer, quoted...)
}

func (r *Reply) appendInt(name string, value int) {
	r.appendMemberName(name)
	r.buffer = strconv.AppendInt(r.buffer, int64(value), 10)
}

func (r *Reply) appendSeconds(name string, duration time.Duration) {
	r.appendMemberName(name)
	microseconds := duration.Round(time.Microsecond) / time.Microsecond
	r.buffer = strconv.AppendFloat(r.buffer, float64(microseconds)/1e6, 'f', -1, 64)
}

// Add appends an action of an instance. It returns an error for an action that the wire format cannot express.
func (r *Reply) Add(node int, action balancer.Action) error {
	switch action := action.(type) {
	case balancer.Send:
		r.beginAction("HandOff", node)
		r.appendString("Rid", action.ID)
		r.appendString("Host", action.Endpoint)
		if action.Timeout != 0 {
			r.appendSeconds("Limit", action.Timeout)
		}
	case balancer.Reject:
		r.beginAction("Reject", node)
		r.appendString("Rid", action.ID)
		if action.RetryAfter > 0 {
			r.appendSeconds("NotBeforeFor", action.RetryAfter)
		}
	case balancer.Fail:
		r.beginAction("Lose", node)
		r.appendString("Rid", action.ID)
	case balancer.Cancel:
		r.beginAction("UndoSend", node)
		r.appendString("Rid", action.ID)
		r.appendInt("SendNo", action.Attempt)
	case balancer.SetTimer:
		r.beginAction("Arm", node)
		r.appendSeconds("Delay", action.Delay)
		r.appendString("Label", action.Token)
	case balancer.Migrate:
		r.beginAction("Migrate", node)
		r.appendString("Rid", action.ID)
	case balancer.HealthCheck:
		r.beginAction("HealthCheck", node)
		r.appendString("Host", action.Endpoint)
	case balancer.CloseIdleConnections:
		r.beginAction("FreeLinks", node)
		r.appendString("Host", action.Endpoint)
	case balancer.Watch:
		r.beginAction("Watch", node)
		r.appendMemberName("Enable")
		r.buffer = strconv.AppendBool(r.buffer, action.On)
	case balancer.FetchEndpoints:
		r.beginAction("ReadList", node)
	case balancer.SendToPeer:
		r.beginAction("Notify", node)
		r.appendInt("Peer", action.To)
		r.appendString("Content", action.Data)
	case balancer.Log:
		r.beginAction("Emit", node)
		r.appendString("ReasonText", action.Text)
	default:
		return fmt.Errorf("action %T cannot be encoded in the simulator's wire format", action)
	}
	r.endAction()
	return nil
}
