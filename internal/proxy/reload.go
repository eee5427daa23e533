package proxy

import (
	"maps"
	"slices"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/config"
	"example.org/micafront/internal/lifecycle"
	"example.org/micafront/internal/routing"
	"go.uber.org/zap"
)

// Reload applies a reloaded configuration file within one turn of the event loop: settings and routes, the addresses of service
// discovery and the control plane, memory and descriptor limits. All other changes need a restart or an upgrade. Once a version
// of the fleet's configuration is active, that version's settings and routes stay in effect. Reload may be called from any
// goroutine while the proxy runs; its error is that of evloop.Loop.Post.
func (p *Proxy) Reload(c *config.Config) error {
	return p.loop.Post(func() {
		p.loop.SetTurnCause(turnReload)
		if err := c.Settings.Validate(); err != nil { // unexpected, since the caller has checked the file
			p.rejectReload(err)
			return
		}
		p.counters.Reloads++
		p.limits.max = c.MaxDescriptors
		p.memoryLimitMB = c.MemoryMB
		p.setGCMemoryLimit()
		p.reloadFleet(c)
		if p.fleet != nil && p.fleet.hasActiveVersion() {
			p.applyConfig(withNodeIdentity(p.settings, &c.Settings), p.loadIsLatency, p.pools.table)
			p.log.Info("settings and routes of the fleet's active version stay")
		} else {
			p.applyConfig(c.Settings, c.LoadIsLatency, c.Routes)
		}
		p.log.Info("configuration read again", zap.String("discovery", c.Discovery))
		p.reloadListSource(c)
	})
}

// RejectConfig counts and logs an invalid configuration file; the current configuration stays in effect. It may be called from
// any goroutine while the proxy runs; its error is that of evloop.Loop.Post.
func (p *Proxy) RejectConfig(err error) error {
	return p.loop.Post(func() { p.rejectReload(err) })
}

func (p *Proxy) rejectReload(err error) {
	p.counters.ReloadErrors++
	p.log.Warn("configuration rejected", zap.Error(err))
}

// withNodeIdentity returns settings with the zone and the node number of own, which belong to this node and not to the fleet's
// version.
func withNodeIdentity(settings balancer.Settings, own *balancer.Settings) balancer.Settings {
	settings.Zone = own.Zone
	settings.NodeIndex = own.NodeIndex
	return settings
}

func (p *Proxy) reloadFleet(c *config.Config) {
	switch {
	case (p.fleet == nil) != (c.Fleet == nil):
		p.log.Info("fleet record not changed: joining or leaving a fleet needs a restart or an upgrade")
	case p.fleet != nil:
		p.fleet.reload(c.Fleet)
	}
}

// applyConfig activates settings and routes, either of the configuration file or of a version of the fleet's configuration.
func (p *Proxy) applyConfig(settings balancer.Settings, loadIsLatency bool, table *routing.Table) {
	p.drainer.RecordScheduleChange(p.loop.Now(), lifecycle.NewSchedule(p.settings))
	for _, class := range p.settings.Classes {
		p.droppedClasses[class.Name] = class
	}
	p.settings = settings
	p.removeActiveFromDropped()
	p.loadIsLatency = loadIsLatency
	p.discoveryClient.PollInterval = settings.Rules.DiscoveryInterval
	p.registerOutcomes()
	if !maps.Equal(table.Set.Listeners, p.pools.table.Set.Listeners) {
		p.log.Info("extra listeners not changed: changing them needs a restart or an upgrade")
	}
	p.reconfigureBalancers(table)
}

func (p *Proxy) removeActiveFromDropped() {
	for _, class := range p.settings.Classes {
		delete(p.droppedClasses, class.Name)
	}
}

// reconfigureBalancers applies the routes and the active settings to the pools.
func (p *Proxy) reconfigureBalancers(table *routing.Table) {
	now := p.loop.Now()
	if err := p.pools.applyTable(table); err != nil {
		p.log.Warn("routes rejected", zap.Error(err))
	}
	for _, pool := range slices.Concat(p.pools.active, p.pools.retired) {
		actions, err := pool.balancer.Reconfigure(now, p.pools.balancerSettings(pool))
		if err != nil {
			continue // impossible: the settings have passed the same checks
		}
		p.events.executeActions(pool, actions)
	}
}
