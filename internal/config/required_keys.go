package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// jsonObject is a decoded JSON object. Only its keys are checked.
type jsonObject = map[string]any

// settingsSection names an object, or an array of objects, in the settings, and the keys that each object must have.
type settingsSection struct {
	name string // key of the section; "": the settings object itself
	keys []string
}

// requiredSections contains all sections with required keys. The decoder of the simulator's wire protocol decodes a missing
// member as 0, but in a file that a person wrote a forgotten timeout must not become a timeout of 0.
var requiredSections = []settingsSection{
	{"", []string{"Balancers", "Categories", "Discovery", "Invariants", "Limits"}},
	{"Categories", []string{"Aim", "Credit", "Effect", "GiveUp", "Name"}},
	{"Invariants", []string{"AnswerSlack", "AskEvery", "Cold", "ColdFrom", "DrainGrace", "Fall", "OverloadFactor"}},
	{"Limits", []string{"AttemptsCap", "ConnectTimeout", "MaxOpen", "MaxRetryAfter"}},
}

// optionalKeys contains keys that a file read by Reload may drop, at any depth.
var optionalKeys = map[string]bool{"AimStretch": true, "Fleet": true}

// checkRequiredKeys returns an error that names the first key of requiredSections that the settings lack.
func checkRequiredKeys(settings any) error {
	root, ok := settings.(jsonObject)
	if !ok {
		return malformedMember.New("settings", "not an object")
	}
	for _, section := range requiredSections {
		value := any(root)
		if section.name != "" {
			value = root[section.name]
		}
		if err := section.check(value); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error that names the first key that the section's value lacks.
func (s settingsSection) check(value any) error {
	elements, ok := value.([]any)
	if !ok {
		elements = []any{value}
	}
	prefix := ""
	if s.name != "" {
		prefix = s.name + "."
	}
	for _, element := range elements {
		object, ok := element.(jsonObject)
		if !ok {
			return malformedMember.New("settings", "%s is not an object", s.name)
		}
		for _, key := range s.keys {
			if _, ok := object[key]; !ok {
				return missingValue.New("settings", "key %s%s is missing", prefix, key)
			}
		}
	}
	return nil
}

// checkDroppedKeys returns an error that names a key that the previous value has and the next one lacks. path is the path of
// both values, "" for the whole document. An array may gain and lose elements, but each element must have the keys that all
// elements had before.
func checkDroppedKeys(previous, next any, path string) error {
	switch previous := previous.(type) {
	case jsonObject:
		object, ok := next.(jsonObject)
		if !ok {
			return droppedKey.New("", "%s is no longer an object", path)
		}
		return checkDroppedMembers(previous, object, path)
	case []any:
		elements, ok := next.([]any)
		if !ok {
			return droppedKey.New("", "%s is no longer a list", path)
		}
		common := commonKeys(previous)
		if common == nil {
			return nil
		}
		for i, element := range elements {
			if err := checkDroppedKeys(common, element, fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkDroppedMembers compares two objects as checkDroppedKeys does.
func checkDroppedMembers(previous, next jsonObject, path string) error {
	for _, key := range slices.Sorted(maps.Keys(previous)) {
		memberPath := strings.TrimPrefix(path+"."+key, ".")
		value, ok := next[key]
		if !ok {
			if optionalKeys[key] {
				continue
			}
			return droppedKey.New("", "key %s is missing", memberPath)
		}
		if path == "" && key == "routing" {
			continue // package routing checks the required keys of routes
		}
		if err := checkDroppedKeys(previous[key], value, memberPath); err != nil {
			return err
		}
	}
	return nil
}

// commonKeys returns an object with the keys that all elements have, or nil if an element is not an object.
func commonKeys(elements []any) jsonObject {
	var common jsonObject
	for _, element := range elements {
		object, ok := element.(jsonObject)
		if !ok {
			return nil
		}
		if common == nil {
			common = jsonObject{}
			for key := range object {
				common[key] = nil
			}
		}
		maps.DeleteFunc(common, func(key string, _ any) bool {
			_, ok := object[key]
			return !ok
		})
	}
	return common
}
