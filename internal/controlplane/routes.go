package controlplane

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"example.org/micafront/internal/consensus"
	"example.org/micafront/internal/federation"
	"example.org/micafront/internal/fleetconfig"
)

// Bounds of request bodies, in bytes.
const (
	maxRenewalBytes      = 64 << 10
	maxProposalBytes     = fleetconfig.MaxBodyBytes + 1<<20
	maxPublicationBytes  = federation.MaxPublicationBytes + 64<<10
	maxTermsBytes        = 2 << 20 // the federation's own bound is lower
	maxSmallRequestBytes = 64 << 10
)

// Time limits of requests, and the transfer rates that callers have to sustain for large bodies, in bytes per second.
const (
	requestReadTimeout   = 2 * time.Minute // for any request, even the largest
	bodyReadGrace        = 2 * time.Second // in addition to the time that minUploadRate allows for the body
	minUploadRate        = 1 << 20
	responseWriteTimeout = 15 * time.Second // in addition to the time that minDownloadRate allows for a version
	minDownloadRate      = 256 << 10
	readTimeout          = 1500 * time.Millisecond // for a response that needs no proposal
)

// requestLimits bounds the number of requests in flight. Each channel is the semaphore of a group of routes. A request beyond
// its limit fails with Overloaded at once. The limits of proposals and publications bound the memory of their bodies, each of
// which takes up to maxProposalBytes or maxPublicationBytes.
type requestLimits struct {
	renewals      chan struct{}
	proposals     chan struct{}
	versions      chan struct{}
	small         chan struct{} // all other routes
	peerMessages  chan struct{}
	endpointLists chan struct{}
	publications  chan struct{}
}

func newRequestLimits() requestLimits {
	limit := func(requests int) chan struct{} { return make(chan struct{}, requests) }
	return requestLimits{
		renewals:      limit(4096),
		proposals:     limit(8),
		versions:      limit(256),
		small:         limit(64),
		peerMessages:  limit(4 * maxReplicas),
		endpointLists: limit(maxWatches),
		publications:  limit(64),
	}
}

// route holds the limits and the handler of the requests that match a pattern.
type route struct {
	limit        chan struct{}
	maxBodyBytes int64 // 0: the request has no body
	handle       func(w http.ResponseWriter, req *http.Request, body []byte) error
}

func (r *Replica) handler() http.Handler {
	mux := http.NewServeMux()
	limits := &r.limits
	for pattern, served := range map[string]route{
		"POST /v1/renew":           {limits.renewals, maxRenewalBytes, r.handleRenew},
		"POST /v1/propose":         {limits.proposals, maxProposalBytes, r.handlePropose},
		"POST /v1/withdraw":        {limits.small, maxSmallRequestBytes, r.handleWithdraw},
		"GET /v1/version/{number}": {limits.versions, 0, r.handleVersion},
		"GET /v1/status":           {limits.small, 0, r.handleStatus},
		"GET /v1/history":          {limits.small, 0, r.handleHistory},
		"POST /v1/publish":         {limits.publications, maxPublicationBytes, r.handlePublish},
		"POST /v1/terms":           {limits.small, maxTermsBytes, r.handleSetTerms},
		"GET /v1/terms":            {limits.small, 0, r.handleTerms},
		"GET /v1/catalog":          {limits.small, 0, r.handleCatalog},
		"GET /v1/catalog/{name}":   {limits.small, 0, r.handleCatalogName},
		"POST " + peerPath:         {limits.peerMessages, maxPeerRequestBytes, r.handlePeerMessages},
		"GET " + endpointListPath:  {limits.endpointLists, 0, r.handleEndpointList},
	} {
		mux.HandleFunc(pattern, r.handlerFunc(served))
	}
	mux.Handle("GET /metrics", r.metrics.handler())
	mux.HandleFunc("/", func(w http.ResponseWriter, req *http.Request) {
		writeError(w, BadRequest.New(req.Method+" "+req.URL.Path, "there is no such call"), 0)
	})
	return mux
}

// handlerFunc returns a handler that serves a route within its limits and sends its errors.
func (r *Replica) handlerFunc(route route) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		select {
		case route.limit <- struct{}{}:
			defer func() { <-route.limit }()
		default:
			writeError(w, Overloaded.New(req.URL.Path, "%d such requests are in flight", cap(route.limit)), 0)
			return
		}
		body, err := route.readBody(w, req)
		if err == nil {
			err = route.handle(w, req, body)
		}
		if err != nil {
			leader := uint64(0)
			if consensus.NotLeading.Matches(err) {
				leader = r.leader.Load()
			}
			writeError(w, err, leader)
		}
	}
}

// readBody reads the request's body within the route's bounds of size and time.
func (r route) readBody(w http.ResponseWriter, req *http.Request) ([]byte, error) {
	if r.maxBodyBytes == 0 {
		return nil, nil
	}
	if req.ContentLength < 0 || req.ContentLength > r.maxBodyBytes {
		return nil, BadRequest.New("Content-Length", "%d is not from 0 to %d", req.ContentLength, r.maxBodyBytes)
	}
	controller := http.NewResponseController(w)
	transferTime := time.Duration(req.ContentLength) * time.Second / minUploadRate
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadGrace + transferTime)) // supported by net/http's server
	// Memory grows as bytes arrive, whatever Content-Length says.
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, BadRequest.Wrap("body", err)
	}
	_ = controller.SetReadDeadline(time.Time{}) // the caller sends nothing while it waits for the response
	return body, nil
}

// decode decodes a body that must hold exactly one JSON value. The error is a BadRequest.
func decode(place string, body []byte, to any) error {
	if err := json.Unmarshal(body, to); err != nil {
		return BadRequest.Wrap(place, err)
	}
	return nil
}
