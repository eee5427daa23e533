package metrics

import "strconv"

// EndpointListSource contains the counters for the source of the endpoint list of a proxy with a control plane. The source is
// a control-plane replica or service discovery.
type EndpointListSource struct {
	Switches             Counter // changes from one source to another
	ControlPlaneFailures Counter // failed calls to control-plane replicas for a list, and lost watches of them
	ListNumber           uint64  // number of the control plane's list in the latest lease; 0: it has no list
}

// AppendMetrics appends one name=value line per metric. replica is the index, from 0, of the control-plane replica that is
// the source of the list; a negative index means service discovery.
func (l *EndpointListSource) AppendMetrics(out []byte, replica int) []byte {
	source := "discovery"
	if replica >= 0 {
		source = strconv.Itoa(replica)
	}
	out = appendMetric(out, "svc.fleet.list_from", source)
	out = appendMetric(out, "svc.fleet.list_number", l.ListNumber)
	out = appendMetric(out, "svc.fleet.list_moves", l.Switches)
	return appendMetric(out, "svc.fleet.list_failures", l.ControlPlaneFailures)
}
