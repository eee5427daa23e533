package config

import (
	"errors"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/simwire"
)

// pushedListInterval is the discovery interval at sites whose lists are pushed. It also bounds the delay of a list in a new
// process and after an outage: the balancer requests a list within a quarter of the interval at the start, and after failures
// within an eighth, growing to three quarters.
const pushedListInterval = time.Second

// settingsInfo is the part of the settings that describes the load reports of endpoints.
type settingsInfo struct {
	FamilyInfo struct {
		TellsLoad  bool
		TellsDelay bool
	}
}

// loadIsLatency returns the value of Config.LoadIsLatency.
func (s settingsInfo) loadIsLatency() bool { return s.FamilyInfo.TellsDelay && !s.FamilyInfo.TellsLoad }

// DecodeSettings decodes the settings object, checks that it is complete and valid, and adapts it to a proxy that runs on
// sockets instead of in the simulator. loadIsLatency is the value of Config.LoadIsLatency.
func DecodeSettings(text []byte) (set balancer.Settings, loadIsLatency bool, err error) {
	var document any
	if err := jsonCodec.Unmarshal(text, &document); err != nil {
		return set, false, malformedMember.Wrap("settings", err)
	}
	if err := checkRequiredKeys(document); err != nil {
		return set, false, err
	}
	if set, err = simwire.DecodeSettings(text); err != nil {
		return set, false, malformedMember.Wrap("settings", err)
	}
	if err := validateSettings(set); err != nil {
		return set, false, err
	}
	var info settingsInfo
	if err := jsonCodec.Unmarshal(text, &info); err != nil {
		return set, false, malformedMember.Wrap("settings", err)
	}
	return subscribeToLists(set), info.loadIsLatency(), nil
}

// validateSettings returns the errors of the balancer's validation and errors in the names of classes.
func validateSettings(set balancer.Settings) error {
	err := set.Validate()
	if err != nil {
		err = invalidValue.Wrap("", err)
	}
	return errors.Join(err, checkClassNames(set.Classes))
}

func checkClassNames(classes []balancer.Class) error {
	seen := map[string]bool{}
	for _, class := range classes {
		if class.Name == "" || seen[class.Name] {
			return invalidValue.New("settings", "class name %q is empty or comes twice", class.Name)
		}
		seen[class.Name] = true
	}
	return nil
}

// subscribeToLists makes a proxy subscribe to lists where the simulator pushes them without a subscription. On sockets a list
// arrives only on a watch that the proxy has opened, so the proxy must open one at the start and after each failure.
func subscribeToLists(set balancer.Settings) balancer.Settings {
	if !set.Subscribe {
		set.Subscribe = true
		set.Rules.DiscoveryInterval = pushedListInterval
	}
	return set
}
