package config

import (
	"errors"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/simwire"
)

// pushedListInterval is the discovery interval at sites whose lists are pushed. The interval applies at once, also after
// an outage and in a new process: the balancer asks for a list within a quarter of it at the start, and after failures
// within an eighth, growing to three quarters.
const pushedListInterval = time.Second

// settingsInfo is the part of the settings that says what endpoints report.
type settingsInfo struct {
	FamilyInfo struct {
		TellsLoad  bool
		TellsDelay bool
	}
}

// loadIsLatency is described at Config.LoadIsLatency.
func (s settingsInfo) loadIsLatency() bool { return s.FamilyInfo.TellsDelay && !s.FamilyInfo.TellsLoad }

// DecodeSettings decodes the settings object, checks that it is complete and valid, and returns it as a proxy on sockets needs
// it. loadIsLatency is described at Config.LoadIsLatency.
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

// validateSettings joins what the balancer finds wrong with the settings and what is wrong with the names of classes.
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

// subscribeToLists turns settings under which the simulator pushes lists into those of a proxy on sockets. There too a
// list arrives only on a watch that the proxy has opened, and it has to open one at once and again after each failure.
func subscribeToLists(set balancer.Settings) balancer.Settings {
	if !set.Subscribe {
		set.Subscribe = true
		set.Rules.DiscoveryInterval = pushedListInterval
	}
	return set
}
