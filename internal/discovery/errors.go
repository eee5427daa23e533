package discovery

import "example.org/micafront/internal/apperror"

// listPlace is the place that errors about an endpoint list name.
const listPlace = "endpoint list"

// Kinds of errors that end a call. A CallError names the call.
var (
	// unreachable: the connection failed or was reset.
	unreachable = apperror.NewKind("registry/unreachable",
		"see whether discovery runs at the address in the line and whether this machine reaches it: curl -sS "+
			"http://ADDRESS/registry/instances; the known list stays in use")
	// timedOut: the response, or progress on a watch, did not arrive within the limits of Times.
	timedOut = apperror.NewKind("registry/silent",
		"see whether the network to discovery is cut (curl -sS http://ADDRESS/registry/instances from this machine), or "+
			"discovery hangs; the proxy retries by itself")
	// rejected: the response has a status other than 200.
	rejected = apperror.NewKind("registry/refused",
		"with 503 discovery has too many callers or is down: restart no more proxies until it answers; with another code "+
			"see that EDGE_DISCOVERY names discovery and not some other service")
	// truncated: the response ended too early. A watch must not end, and a fetch must not end before its list is complete.
	truncated = apperror.NewKind("registry/ended",
		"discovery or something between ended the response: look at discovery's own log; the proxy retries by itself")
	// notDiscovery: the server sent something other than an HTTP/1.1 response, or an oversized one.
	notDiscovery = apperror.NewKind("registry/foreign",
		"the server at that address does not speak HTTP/1.1, or its response is too long: check that EDGE_DISCOVERY names "+
			"discovery")
	// superseded: the fetched list is older than a list that the watch has received in the meantime.
	superseded = apperror.NewKind("registry/overtaken",
		"nothing to do: the watch brought a newer list than the response, which was dropped")
	// invalidList: the response contains something other than a list, or an invalid list.
	invalidList = apperror.NewKind("registry/broken",
		"the last good list stays in use: look at the response of that discovery server to GET /registry/instances, and "+
			"correct there the entry or the generation that the line names")
)

// ErrInvalidList matches, with errors.Is, the error for a response that contains something other than a list, or an invalid list.
var ErrInvalidList error = invalidList.New(listPlace, "")

// watchTimedOut returns the error of a watch that received neither an object nor an empty line for WatchTimeout.
func watchTimedOut() error { return timedOut.New("", "the watch timed out") }
