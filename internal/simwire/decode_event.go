package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"example.org/micafront/balancer"
)

// wireEvent is the body of an event: the union of the members of all events.
type wireEvent struct {
	Node       *int
	Seed       *json.Number       `json:"Entropy"`
	Settings   *wireSettings      `json:"Env"`
	ListKind   *string            `json:"How"`
	Version    int64              `json:"SeqNo"`
	Entries    []wireEntry        `json:"Items"`
	RequestID  *string            `json:"Rid"`
	LoadHint   float64            `json:"Predicted"`
	Class      *string            `json:"Grade"`
	Deadline   *float64           `json:"ValidUntil"` // in seconds
	Group      string             `json:"Group"`
	Flags      int                `json:"StateBits"`
	Tenant     json.RawMessage    `json:"Realm"` // a string; 0 at sites without tenants
	Key        *string            `json:"PartitionKey"`
	Attempt    *int               `json:"SendNo"`
	Endpoint   *string            `json:"Host"`
	UpdateKind int                `json:"Kind"`
	Value      *float64           `json:"Level"`
	Latency    float64            `json:"DelaySeen"` // in seconds
	Status     *string            `json:"StateCode"`
	Load       map[string]float64 `json:"Feedback"`
	From       *int               `json:"By"`
	Data       *string            `json:"Content"`
	Token      *string            `json:"Label"`
	Final      bool               `json:"NoMore"`
}

// wireEntry is one entry of an endpoint list.
type wireEntry struct {
	Endpoint  *string `json:"Host"`
	Phase     *string `json:"StageState"`
	StartedAt float64 // in seconds
	Size      float64
	Zone      string `json:"Campus"`
	Cell      int
}

// Bits of wireEvent.Flags.
const (
	flagLoadHint    = 1 << 0
	flagClientRetry = 1 << 1
	flagResumed     = 1 << 3
	flagReturning   = 1 << 4
)

// Kinds of an UpdateOf event, and the units of its value. Other kinds are ignored.
const (
	updateLoad    = 1
	updateLatency = 2

	millionthsPerUnit     = 1e6 // the value of a load update is in millionths of a unit of work per second
	millisecondsPerSecond = 1e3
)

var statuses = map[string]balancer.Status{
	"delivered":   balancer.OK,
	"app_error":   balancer.AppError,
	"shed":        balancer.RejectedByEndpoint,
	"expired":     balancer.Timeout,
	"dial_failed": balancer.ConnectFailed,
	"dropped":     balancer.Reset,
	"revoked":     balancer.Canceled,
	"unused":      balancer.NotSent,
}

var listKinds = map[string]balancer.ListKind{
	"INCREMENTAL": balancer.DeltaList,
	"FULL":        balancer.FullList,
	"SAVED":       balancer.CachedList,
	"FAILED":      balancer.ListFailed,
}

var phases = map[string]balancer.Phase{
	"healthy":      balancer.Ready,
	"cordoned":     balancer.Draining,
	"deregistered": balancer.Removed,
}

// eventDecoder decodes events with one name.
type eventDecoder struct {
	required []string // required members besides Node, which all events require
	decode   func(event *wireEvent, input *Input) error
}

// eventDecoders holds the decoders by the name of the event on the wire.
var eventDecoders = map[string]eventDecoder{
	"Configure":      {[]string{"Entropy", "Env"}, decodeStart},
	"CrashNow":       {nil, decodeKill},
	"Endpoints":      {[]string{"How"}, decodeEndpointUpdate},
	"Call":           {[]string{"Rid", "Grade", "ValidUntil"}, decodeRequest},
	"Adopted":        {[]string{"Rid", "Grade", "Host"}, decodeAdopted},
	"TimedOutClient": {[]string{"Rid"}, decodeClientDisconnected},
	"UpdateOf":       {[]string{"Rid", "Host", "SendNo", "Level"}, decodeConnectionUpdate},
	"Health":         {[]string{"Host", "StateCode"}, decodeHealthCheckResult},
	"Mail":           {[]string{"By", "Content"}, decodePeerMessage},
	"AckFirst":       {[]string{"Rid", "Host", "SendNo"}, decodeEstablished},
	"Reminder":       {[]string{"Label"}, decodeTimer},
	"Result":         {[]string{"Rid", "Host", "SendNo", "StateCode"}, decodeAttemptEnded},
}

// hasMember reports whether an event contains a member, which must be one that eventDecoders requires.
func (e *wireEvent) hasMember(member string) bool {
	switch member {
	case "Rid":
		return e.RequestID != nil
	case "Host":
		return e.Endpoint != nil
	case "Grade":
		return e.Class != nil
	case "ValidUntil":
		return e.Deadline != nil
	case "SendNo":
		return e.Attempt != nil
	case "StateCode":
		return e.Status != nil
	case "Label":
		return e.Token != nil
	case "How":
		return e.ListKind != nil
	case "Level":
		return e.Value != nil
	case "By":
		return e.From != nil
	case "Content":
		return e.Data != nil
	case "Entropy":
		return e.Seed != nil
	case "Env":
		return e.Settings != nil
	}
	return false
}

func decodeEvent(text []byte) (Input, error) {
	var input Input
	name, body, err := splitEvent(text)
	if err != nil {
		return input, err
	}
	var event wireEvent
	if err := json.Unmarshal(body, &event); err != nil {
		return input, fmt.Errorf("%s: %w", name, err)
	}
	if event.Node == nil {
		return input, missingMember(name, "Node")
	}
	input.Node = *event.Node
	decoder, known := eventDecoders[name]
	if !known {
		return input, fmt.Errorf("unknown event %q", name)
	}
	for _, member := range decoder.required {
		if !event.hasMember(member) {
			return input, missingMember(name, member)
		}
	}
	if err := decoder.decode(&event, &input); err != nil {
		return input, fmt.Errorf("%s: %w", name, err)
	}
	return input, nil
}

func missingMember(event, member string) error {
	return fmt.Errorf("%s: member %s is missing", event, member)
}

func decodeStart(event *wireEvent, input *Input) error {
	seed, err := decodeSeed(*event.Seed)
	if err != nil {
		return err
	}
	input.Start = &Start{Node: input.Node, Seed: seed, Settings: event.Settings.settings()}
	return nil
}

// decodeSeed decodes a signed or unsigned 64-bit integer.
func decodeSeed(number json.Number) (uint64, error) {
	if seed, err := strconv.ParseUint(number.String(), 10, 64); err == nil {
		return seed, nil
	}
	seed, err := strconv.ParseInt(number.String(), 10, 64)
	if err != nil {
		return 0, errors.New("Entropy is not an integer") //nolint:staticcheck // Entropy is the name of a member
	}
	return uint64(seed), nil
}

func decodeKill(_ *wireEvent, input *Input) error {
	input.Kill = true
	return nil
}

func decodeEndpointUpdate(event *wireEvent, input *Input) error {
	kind, known := listKinds[*event.ListKind]
	if !known {
		return fmt.Errorf("unknown How %q", *event.ListKind)
	}
	update := balancer.EndpointUpdate{Kind: kind, Version: event.Version}
	for i := range event.Entries {
		endpoint, err := event.Entries[i].endpoint()
		if err != nil {
			return fmt.Errorf("entry %d: %w", i, err)
		}
		update.Entries = append(update.Entries, endpoint)
	}
	input.Event = update
	return nil
}

func (e *wireEntry) endpoint() (balancer.Endpoint, error) {
	if e.Endpoint == nil || e.Phase == nil {
		return balancer.Endpoint{}, errors.New("member Host or StageState is missing")
	}
	phase, known := phases[*e.Phase]
	if !known {
		return balancer.Endpoint{}, fmt.Errorf("unknown StageState %q", *e.Phase)
	}
	return balancer.Endpoint{
		ID:        *e.Endpoint,
		Phase:     phase,
		StartedAt: Seconds(e.StartedAt),
		Size:      e.Size,
		Zone:      e.Zone,
		Cell:      e.Cell,
	}, nil
}

func decodeRequest(event *wireEvent, input *Input) error {
	input.Event = event.request()
	return nil
}

func decodeAdopted(event *wireEvent, input *Input) error {
	input.Event = balancer.Adopted{Request: event.request(), Endpoint: *event.Endpoint}
	return nil
}

func (e *wireEvent) request() balancer.Request {
	request := balancer.Request{
		ID:          *e.RequestID,
		Class:       *e.Class,
		Group:       e.Group,
		Resumed:     e.Flags&flagResumed != 0,
		ClientRetry: e.Flags&flagClientRetry != 0,
		Returning:   e.Flags&flagReturning != 0,
	}
	if e.Key != nil {
		request.Key = *e.Key
	}
	if e.Deadline != nil {
		request.Deadline = Seconds(*e.Deadline)
	}
	if e.Flags&flagLoadHint != 0 {
		request.LoadHint = e.LoadHint
	}
	if json.Unmarshal(e.Tenant, &request.Tenant) != nil {
		request.Tenant = ""
	}
	return request
}

func decodeClientDisconnected(event *wireEvent, input *Input) error {
	input.Event = balancer.ClientDisconnected{ID: *event.RequestID}
	return nil
}

func decodeConnectionUpdate(event *wireEvent, input *Input) error {
	switch event.UpdateKind {
	case updateLoad:
		input.Event = balancer.LoadChanged{
			ID:       *event.RequestID,
			Endpoint: *event.Endpoint,
			Attempt:  *event.Attempt,
			Load:     *event.Value / millionthsPerUnit,
		}
	case updateLatency:
		input.Event = balancer.LatencyChanged{
			ID:       *event.RequestID,
			Endpoint: *event.Endpoint,
			Attempt:  *event.Attempt,
			Latency:  Seconds(*event.Value / millisecondsPerSecond),
		}
	}
	return nil
}

func decodeHealthCheckResult(event *wireEvent, input *Input) error {
	status, err := event.status()
	if err != nil {
		return err
	}
	input.Event = balancer.HealthCheckResult{
		Endpoint: *event.Endpoint,
		Status:   status,
		Latency:  Seconds(event.Latency),
		Load:     balancer.LoadReport(event.Load),
	}
	return nil
}

func (e *wireEvent) status() (balancer.Status, error) {
	status, known := statuses[*e.Status]
	if !known {
		return 0, fmt.Errorf("unknown StateCode %q", *e.Status)
	}
	return status, nil
}

func decodePeerMessage(event *wireEvent, input *Input) error {
	input.Event = balancer.PeerMessage{From: *event.From, Data: *event.Data}
	return nil
}

func decodeEstablished(event *wireEvent, input *Input) error {
	input.Event = balancer.Established{
		ID:       *event.RequestID,
		Endpoint: *event.Endpoint,
		Attempt:  *event.Attempt,
		Latency:  Seconds(event.Latency),
	}
	return nil
}

func decodeTimer(event *wireEvent, input *Input) error {
	input.Event = balancer.Timer{Token: *event.Token}
	return nil
}

func decodeAttemptEnded(event *wireEvent, input *Input) error {
	status, err := event.status()
	if err != nil {
		return err
	}
	input.Event = balancer.AttemptEnded{
		ID:       *event.RequestID,
		Endpoint: *event.Endpoint,
		Attempt:  *event.Attempt,
		Status:   status,
		Latency:  Seconds(event.Latency),
		Final:    event.Final,
		Load:     balancer.LoadReport(event.Load),
	}
	return nil
}
