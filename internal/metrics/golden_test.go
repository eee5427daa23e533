package metrics

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"example.org/micafront/internal/fleetconfig"
)

// The tests in this file pin the names that operators scrape and the line that the program writes when it exits. Each
// metric has a unique value, so that swapped names are detected. The fixtures are never rewritten.

// numberFields sets each integer field of a struct to the next number after last. It skips the outcomes of classes and
// tenants, the fleet's counters and the lease state, and fails on a field of any other type.
func numberFields(t *testing.T, target any, last uint64) {
	t.Helper()
	v := reflect.ValueOf(target).Elem()
	for i := range v.NumField() {
		last++
		switch field := v.Field(i); field.Kind() {
		case reflect.Int, reflect.Int64:
			field.SetInt(int64(last))
		case reflect.Uint64:
			field.SetUint(last)
		case reflect.Pointer, reflect.Struct, reflect.String:
			if kind := field.Type(); kind != reflect.TypeFor[*Fleet]() && kind != reflect.TypeFor[outcomesByName]() &&
				kind != reflect.TypeFor[fleetconfig.LeaseState]() {
				t.Fatalf("field %s has an unexpected type", v.Type().Field(i).Name)
			}
		default:
			t.Fatalf("field %s has an unexpected type", v.Type().Field(i).Name)
		}
	}
}

func goldenCounters(t *testing.T) *Counters {
	t.Helper()
	c := &Counters{Fleet: &Fleet{}}
	numberFields(t, c, 1000)
	numberFields(t, c.Fleet, 2000)
	numberFields(t, c.Class("light"), 3000)
	numberFields(t, c.Class("heavy"), 3100)
	numberFields(t, c.Tenant("tenant"), 3200)
	return c
}

// TestGoldenMetrics compares the telemetry text and the line of counters with the fixtures.
func TestGoldenMetrics(t *testing.T) {
	c := goldenCounters(t)
	var gauges Gauges
	numberFields(t, &gauges, 4000)
	status := fleetconfig.LeaseStatus{State: fleetconfig.Leased}
	numberFields(t, &status, 5000)
	status.LeaseRemaining = 5123 * time.Millisecond
	var list EndpointListSource
	numberFields(t, &list, 6000)
	for fixture, got := range map[string][]byte{
		"figures.txt":                 c.AppendMetrics(nil, gauges),
		"figures_fleet.txt":           c.Fleet.AppendMetrics(nil, status),
		"figures_lists_keeper.txt":    list.AppendMetrics(nil, 2),
		"figures_lists_discovery.txt": list.AppendMetrics(nil, -1),
		"print.txt":                   printed(c),
		"print_without_fleet.txt":     printed(&Counters{}),
	} {
		want, err := os.ReadFile(filepath.Join("testdata", "golden", fixture))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(want, got) {
			t.Errorf("%s:\nwant %s\n got %s", fixture, want, got)
		}
	}
}

func printed(c *Counters) []byte {
	var out bytes.Buffer
	c.WriteLine(&out)
	return out.Bytes()
}
