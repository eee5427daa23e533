package balancer

import (
	"fmt"
	"time"
)

// Reconfigure replaces the settings. Invalid settings return an error and leave the previous ones in force. Requests
// keep the class under which they arrived, and the observed state of the fleet is kept.
func (b *Balancer) Reconfigure(now Instant, settings Settings) ([]Action, error) {
	if err := settings.cloneAndValidate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	b.beginEvent(now)
	b.advanceEpoch()
	previous := b.settings
	b.applySettings(settings)
	if settings.Rules.OverloadWindow != previous.Rules.OverloadWindow {
		b.rescaleEpochs(previous.Rules.OverloadWindow)
	}
	if !b.started {
		return b.actions, nil
	}
	if settings.Zone != previous.Zone || settings.LoadReports != previous.LoadReports {
		b.rebuildZoneTables()
	}
	if settings.LoadReports && !previous.LoadReports {
		b.scheduleLoadReports()
	}
	if settings.Subscribe && !previous.Subscribe {
		b.setTimer(watchTimer, 0)
	}
	return b.actions, nil
}

// rescaleEpochs converts epoch numbers to the new epoch length.
func (b *Balancer) rescaleEpochs(previousLength time.Duration) {
	b.lastChangeEpoch = int64(time.Duration(b.lastChangeEpoch) * previousLength / b.epochLength())
	b.lastEpoch = b.currentEpoch()
}

// rebuildZoneTables rebuilds the zone tables after a change of this node's zone or of whether zones have tables.
func (b *Balancer) rebuildZoneTables() {
	b.localTable = &slotTable{}
	b.baselineLocalShare = 0
	ready := b.readyEndpoints()
	b.forEachZoneTable(ready, func(table *slotTable, zoneEndpoints []*endpointState) { table.update(zoneEndpoints) })
	b.recomputeCapacity(ready)
}
