package configbundle

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/testing/testkit"
)

const settings = `{"Balancers":1,"Discovery":"subscribe","Categories":[{"Name":"feed","Aim":1,"GiveUp":2,"Credit":1,"Effect":"safe"}],
	"Limits":{"AttemptsCap":1,"ConnectTimeout":1,"MaxOpen":1,"MaxRetryAfter":1},
	"Invariants":{"AnswerSlack":0,"AskEvery":1,"Cold":1,"ColdFrom":1,"DrainGrace":1,"Fall":1,"OverloadFactor":1}}`

// albumCatalog is the format string of a catalog with a service of two providers, of which the mesh caroni imports only the one in
// thies. Its argument is the text of further meshes, such as lagosMesh, which imports neither provider.
const albumCatalog = `{"number":7,"at":1,"entries":[{"name":"album","owner":"o","contract":"c","since":1,"standing":"held","cause":"sole",
	"rivals":[{"mesh":"caroni","owner":"p","as":"album.caroni"}],
	"homes":[{"mesh":"dakar","zones":["b"],"pool":{"name":"album.dakar","select":{}}},
		{"mesh":"thies","zones":["a"],"pool":{"name":"album.thies","select":{}}}]}],
	"meshes":[{"mesh":"caroni","import":[{"from":"thies"}]}%s]}`

const lagosMesh = `,{"mesh":"lagos","import":[{"from":"caroni"}]}`

// routesTo returns routes with one route to a pool or service.
func routesTo(pool string) string {
	return fmt.Sprintf(`{"pools":[{"name":"x"}],"routes":[{"name":"r","to":[{"pool":%q,"ppm":1000000}]}]}`, pool)
}

func newBody(settings, routes, state string) fleetconfig.Body {
	return fleetconfig.Body{Settings: json.RawMessage(settings), Routing: json.RawMessage(routes), Catalog: json.RawMessage(state)}
}

// TestServicesAreBoundForLocality checks that a service is bound to the pools of its imported providers, those of the zone first, and
// that a body without a catalog is valid if its routes name no service.
func TestServicesAreBoundForLocality(t *testing.T) {
	body := newBody(settings, routesTo("service:album"), fmt.Sprintf(albumCatalog, ""))
	for locality, want := range map[Locality][]string{
		{}:                               {"album.dakar", "album.thies"},
		{Zone: "a"}:                      {"album.thies", "album.dakar"},
		{Zone: "b"}:                      {"album.dakar", "album.thies"},
		{Zone: "b", Mesh: "caroni"}:      {"album.thies"},
		{Zone: "zone without providers"}: {"album.dakar", "album.thies"},
	} {
		bundle, err := Decode(body, locality)
		if err != nil {
			t.Fatal(locality, err)
		}
		service := Service{Name: "album", Pools: want, Explanation: bundle.Catalog.Explain("album"), Conflict: true}
		testkit.Equal(t, fmt.Sprintf("services for %+v", locality), []Service{service}, bundle.Services)
		testkit.Equal(t, fmt.Sprintf("route for %+v", locality), want[0], bundle.Routing.Routes[0].To[0].Pool)
		if _, err := routing.New(bundle.Routing); err != nil {
			t.Errorf("%v does not compile: %v", locality, err)
		}
	}
	bundle, err := decode(body)
	testkit.Equal(t, "decoded", []any{nil, "service:album", 1}, []any{err, bundle.Routing.Routes[0].To[0].Pool, len(bundle.Settings.Classes)})
	for name, state := range map[string]string{"absent": "", "null": "null"} {
		bundle, err := Decode(newBody(settings, routesTo("x"), state), Locality{Mesh: "dakar"})
		if err != nil || bundle.Catalog != nil || bundle.Services != nil {
			t.Errorf("%s: %+v, %v", name, bundle.Catalog, err)
		}
	}
}

// TestErrorsNameTheSection checks that an error starts with its section and has the kind of the package that decodes the section.
func TestErrorsNameTheSection(t *testing.T) {
	for prefix, test := range map[string]struct {
		body fleetconfig.Body
		mesh string
		kind *apperror.Kind
	}{
		"settings: key Balancers is missing": {body: newBody(`{}`, "", "")},
		`settings: class "feed"`:             {body: newBody(strings.Replace(settings, `"GiveUp":2`, `"GiveUp":-1`, 1), "", "")},
		"routing: ":                          {body: newBody(settings, `{"rotes":[]}`, "")},
		"catalog: ":                          {body: newBody(settings, routesTo("x"), `[1]`), kind: catalog.BadState},
		"catalog: catalog state: entry 1":    {body: newBody(settings, routesTo("x"), `{"entries":[{"name":"b"},{"name":"a"}]}`), kind: catalog.BadState},
		`catalog: the version has none, and its routes name service "album"`: {body: newBody(settings, routesTo("service:album"), "null"), kind: catalog.UnknownService},
		`routing: route r: service "notes": notes means nothing`:             {body: newBody(settings, routesTo("service:notes"), fmt.Sprintf(albumCatalog, "")), kind: catalog.UnknownService},
		`routing: route r: service "album": mesh "lagos" imports none`: {body: newBody(settings, routesTo("service:album"), fmt.Sprintf(albumCatalog, lagosMesh)),
			mesh: "lagos", kind: catalog.UnknownService},
	} {
		_, err := Decode(test.body, Locality{Mesh: test.mesh})
		if err == nil || !strings.HasPrefix(err.Error(), prefix) || test.kind != nil && !test.kind.Matches(err) {
			t.Errorf("error %v does not start with %q or has the wrong kind", err, prefix)
		}
	}
}

// TestCatalogMemoryIsWithinItsEstimate checks that a decoded catalog uses at most the estimated memory, and that the estimate is at
// most 2.25 times the memory in use. The estimate includes the smaller array that the decoder replaced while the entries grew, which
// lives until the next garbage collection.
func TestCatalogMemoryIsWithinItsEstimate(t *testing.T) {
	for name, entry := range map[string]string{
		"plain": `{"name":"s%06d","owner":"o","contract":"c","since":1,"standing":"held","cause":"sole","homes":[{"mesh":"a","zones":["z"],"pool":{"name":"s%[1]06d.a","select":{}}}]}`,
		"bare":  `{"name":"s%06d"}`,
		"homes": `{"name":"s%06d","homes":[{},{},{},{},{},{},{},{}]}`,
	} {
		var entries []string
		for i := range 20_000 {
			entries = append(entries, fmt.Sprintf(entry, i))
		}
		body := newBody(settings, routesTo("x"), `{"number":1,"at":1,"entries":[`+strings.Join(entries, ",")+`]}`)
		entries = nil
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		bundle, err := Decode(body, Locality{})
		runtime.GC()
		runtime.ReadMemStats(&after)
		if err != nil {
			t.Fatal(name, err)
		}
		inUse := after.HeapAlloc - before.HeapAlloc
		estimate := bundle.Catalog.MemoryBytes()
		textBytes := float64(len(body.Catalog))
		t.Logf("%s: memory per byte of text: %.2f in use, %.2f estimated", name, float64(inUse)/textBytes, float64(estimate)/textBytes)
		if inUse > estimate || estimate > 2*inUse+inUse/4 {
			t.Errorf("%s: a catalog of %d bytes uses %d bytes of memory, and the estimate is %d", name, len(body.Catalog), inUse, estimate)
		}
		runtime.KeepAlive(bundle)
		runtime.KeepAlive(body)
	}
}
