package balancer

import "testing"

// An endpoint that reports a load above its capacity, while others have room, loses connections of the groups with the least
// load first. An invalid report migrates no connections.
func TestReportedOverloadMigratesSmallGroups(t *testing.T) {
	for _, c := range []struct {
		name                         string
		load, other                  float64
		migratesSmall, migratesLarge bool // whether connections of the small and of the large group migrate
	}{
		{"above capacity", 1.1, 0.3, true, false},
		{"far above", 2.5, 0.3, true, true},
		{"within capacity", 0.95, 0.3, false, false},
		{"negative load", -1, 0.3, false, false},
	} {
		b := startWithReports(t, loadReportSettings(), 0.1, c.other, c.other)
		endpoint := b.endpoints[endpointID(0)]
		for i := range 20 {
			req := b.newRequest(testRequest(i, 2*sec))
			if req.Group = "many"; i%7 == 0 {
				req.Group = "few"
			}
			req.attempts, req.established, req.answered = 1, true, true
			b.addActive(req, endpoint)
		}
		result := HealthCheckResult{Endpoint: endpoint.id, Load: LoadReport{UtilizationMetric: c.load, ConnectionsMetric: 20}}
		migrated := map[string]int{}
		for _, migration := range actionsOf[Migrate](b.Handle(2*sec, result)) {
			migrated[b.requests[migration.ID].Group]++
		}
		if (migrated["few"] > 0) != c.migratesSmall || migrated["many"] > 5 != c.migratesLarge || migrated["many"] > 0 && migrated["few"] < 3 {
			t.Errorf("%s: migrated connections by group: %v", c.name, migrated)
		}
	}
}
