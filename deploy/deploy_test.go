package deploy_test

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// deployValue returns the string value of a key in the deploy file.
func deployValue(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`(?m)^` + name + ` = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		t.Fatalf("balancer.toml has no %q", name)
	}
	return string(match[1])
}

// The platform preloads a library into the proxy, which works only in a program that is dynamically linked against the C
// library. The build command must produce such a program regardless of the toolchain's default.
func TestDeployedProgramsAreLinkedDynamically(t *testing.T) {
	build := exec.Command("sh", "-c", deployValue(t, "build"))
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, name := range []string{"run", "sim"} {
		path, ok := strings.CutPrefix(deployValue(t, name), "exec ")
		if !ok {
			t.Errorf("%s does not start with exec", name)
			continue
		}
		f, err := elf.Open(filepath.Join("..", path))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		defer func() { _ = f.Close() }() // the file was opened for reading only
		if !slices.ContainsFunc(f.Progs, func(program *elf.Prog) bool { return program.Type == elf.PT_INTERP }) {
			t.Errorf("%s: %s is linked statically", name, path)
		}
		libraries, err := f.ImportedLibraries()
		if err != nil || !slices.ContainsFunc(libraries, func(name string) bool { return strings.HasPrefix(name, "libc.") }) {
			t.Errorf("%s: %s is linked against %v, not the C library (%v)", name, path, libraries, err)
		}
	}
}
