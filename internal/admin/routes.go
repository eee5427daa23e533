package admin

import "net/http"

// route is the handler of a path. GET routes also answer HEAD.
type route struct {
	method string
	serve  func(Proxy) response
}

// routes maps paths to routes.
var routes = makeRoutes()

func makeRoutes() map[string]route {
	routes := map[string]route{
		"/api/ready":     {http.MethodGet, ready},
		"/api/telemetry": {http.MethodGet, func(p Proxy) response { return ok(p.Telemetry()) }},
		"/api/evacuate": {http.MethodPut, func(p Proxy) response {
			p.Evacuate()
			return ok([]byte("clients are sent away\n"))
		}},
		"/api/rejoin": {http.MethodPut, func(p Proxy) response {
			p.Rejoin()
			return ok([]byte("back to work\n"))
		}},
		"/api/log": {http.MethodGet, func(p Proxy) response { return ok([]byte(p.LogLevel() + "\n")) }},
	}
	for _, level := range []string{"debug", "info", "warn", "error"} {
		routes["/api/log/"+level] = route{http.MethodPut, func(p Proxy) response { return setLogLevel(p, level) }}
	}
	return routes
}

func ok(body []byte) response { return response{status: http.StatusOK, body: body} }

func ready(p Proxy) response {
	if !p.Ready() {
		return response{status: http.StatusServiceUnavailable, body: []byte("no\n")}
	}
	return ok([]byte("yes\n"))
}

func setLogLevel(p Proxy, level string) response {
	if err := p.SetLogLevel(level); err != nil {
		return response{status: http.StatusBadRequest, body: []byte(err.Error() + "\n")}
	}
	return ok([]byte("logged from " + level + " on\n"))
}

// dispatch returns the response of the route for a request.
func (s *Server) dispatch(req *request) response {
	r, known := routes[req.path]
	if !known {
		return response{status: http.StatusNotFound, body: []byte("no such call\n")}
	}
	if req.method == r.method || req.method == http.MethodHead && r.method == http.MethodGet {
		return r.serve(s.proxy)
	}
	allow := r.method
	if r.method == http.MethodGet {
		allow = "GET, HEAD"
	}
	return response{status: http.StatusMethodNotAllowed, allow: allow, body: []byte("not by this method\n")}
}
