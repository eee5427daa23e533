package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { plays["repeat"] = playRepeat }

// Figures of the case.
const (
	repeatMeshes  = 16
	repeatFor     = 60 * time.Second // within which the meshes' changes have to have become versions
	repeatChanges = 1100             // versions of the catalog
	repeatQuiet   = 2 * time.Second  // after which none of these waits to become active
)

// proposed is the answer to a proposal.
type proposed struct {
	Number uint64 `json:"number"`
	State  string `json:"state"`
}

// playRepeat proposes a fleet's first version, then another one, lets meshes publish changes, each of which becomes a version as the
// page says, and repeats the first proposal as it was, under its id. It may not be applied again.
func playRepeat(w *world) error {
	f, err := newFleet(w, "")
	if err != nil {
		return err
	}
	if err := f.startReplicas(); err != nil {
		return err
	}
	first := proposalText("first of the fleet", overflowRoutes("b"))
	before, err := f.proposeText(first)
	if err != nil {
		return err
	}
	if _, err := f.proposeText(proposalText("overflow to zone c", overflowRoutes("c"))); err != nil {
		return err
	}
	if w.trouble {
		if err := publishChanges(f); err != nil {
			return err
		}
		time.Sleep(repeatQuiet)
	}
	active, err := f.activeVersion()
	if err != nil {
		return err
	}
	w.logf("version %d is active; the first proposal, which became version %d, is repeated under its id", active, before.Number)
	again, err := f.proposeText(first)
	if err != nil {
		return err
	}
	if again.Number != before.Number {
		w.breakRule("the proposal under the id %q was applied as version %d and, repeated, as version %d", "first of the fleet",
			before.Number, again.Number)
	}
	time.Sleep(time.Second)
	now, err := f.activeVersion()
	if err != nil {
		return err
	}
	w.logf("version %d is active after the repeat", now)
	if now != active {
		w.breakRule("the repeat has replaced version %d by version %d, which has the first proposal's routes", active, now)
	}
	return nil
}

// proposalText returns a proposal with these routes. It is made on no version, as a fleet's first one is.
func proposalText(id, routing string) string {
	return fmt.Sprintf(`{"id":%q,"base":0,"by":"Awa","why":"test","body":{"settings":%s,"routing":%s,"list_floor":0,
"fleet":{"within_us":2000000,"know_us":10000000,"on_silence":"hold","drift_ppm":1000}}}`, id, albumSettings(2), routing)
}

// proposeText sends a proposal until a replica answers it, and returns the answer.
func (f *fleet) proposeText(text string) (answer proposed, err error) {
	err = eventually(startTimeout, func() error {
		status, body, err := f.call(http.MethodPost, "/v1/propose?wait=active", text)
		f.world.logf("POST /v1/propose: %d %s", status, body)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("propose: %d %s", status, body)
		}
		if err == nil {
			err = json.Unmarshal([]byte(body), &answer)
		}
		return err
	})
	return answer, err
}

// activeVersion returns the number of the active version.
func (f *fleet) activeVersion() (uint64, error) {
	var status struct{ Active struct{ Number uint64 } }
	code, body, err := f.call(http.MethodGet, "/v1/status", "")
	if err == nil && code != http.StatusOK {
		err = fmt.Errorf("status: %d %s", code, body)
	}
	if err == nil {
		err = json.Unmarshal([]byte(body), &status)
	}
	if err == nil && status.Active.Number == 0 {
		err = errors.New("no version is active")
	}
	return status.Active.Number, err
}

// publishChanges lets meshes publish changes of a service's spare capacity in turn, until enough of them have become versions.
func publishChanges(f *fleet) error {
	var meshes []map[string]any
	for i := range repeatMeshes {
		meshes = append(meshes, map[string]any{"name": fmt.Sprint("m", i)})
	}
	terms, err := json.Marshal(map[string]any{"base": 0, "by": "Awa", "meshes": meshes})
	if err != nil {
		return err
	}
	if status, body, err := f.call(http.MethodPost, "/v1/terms", string(terms)); err != nil || status != http.StatusOK {
		return fmt.Errorf("terms: %d %s: %w", status, body, err)
	}
	start, err := f.activeVersion()
	if err != nil {
		return err
	}
	began := time.Now()
	for seq := 1; time.Since(began) < repeatFor; seq++ {
		for i := range repeatMeshes {
			publication := fmt.Sprintf(`{"mesh":"m%d","epoch":1,"seq":%d,"services":[{"name":"mail%d","owner":"post","contract":"m1",
"zones":["a"],"spare":%g,"pool":{"name":"mail"}}]}`, i, seq, i, float64(seq%100)/100)
			if status, body, err := f.call(http.MethodPost, "/v1/publish", publication); err != nil || status != http.StatusOK {
				return fmt.Errorf("publish: %d %s: %w", status, body, err)
			}
		}
		active, err := f.activeVersion()
		if err != nil {
			return err
		}
		f.world.logf("each of %d meshes has published %d changes, version %d is active", repeatMeshes, seq, active)
		if active-start >= repeatChanges {
			return nil
		}
	}
	return errors.New("the meshes' changes have not become enough versions")
}
