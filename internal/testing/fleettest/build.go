package fleettest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// RaceEnv names the environment variable that, if set, makes Build enable the race detector.
const RaceEnv = "FLEETTEST_RACE"

// Build compiles the named programs under cmd into dir and returns their paths by name. The working directory must be inside
// this module.
func Build(dir string, names ...string) (map[string]string, error) {
	root, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	out := map[string]string{}
	for _, name := range names {
		out[name] = filepath.Join(dir, name)
		args := []string{"build", "-o", out[name]}
		if os.Getenv(RaceEnv) != "" {
			args = append(args, "-race")
		}
		cmd := exec.Command("go", append(args, "./cmd/"+name)...)
		cmd.Dir = strings.TrimSpace(string(root))
		if text, err := cmd.CombinedOutput(); err != nil {
			return nil, fmt.Errorf("go build %s: %w\n%s", name, err, text)
		}
	}
	return out, nil
}
