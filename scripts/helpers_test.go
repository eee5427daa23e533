package scripts_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// write writes a file below dir and creates its parent directories.
func write(t *testing.T, dir, name, text string, mode os.FileMode) {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), mode); err != nil {
		t.Fatal(err)
	}
}

// run runs a command and returns its combined output and exit code.
func run(t *testing.T, cmd *exec.Cmd) (string, int) {
	t.Helper()
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode()
	} else if err != nil {
		t.Fatal(err)
	}
	return string(out), 0
}

// fakeKit writes a fake operators' kit whose benches print the given texts, and returns its directory.
func fakeKit(t *testing.T, mass, later, sim string) string {
	t.Helper()
	dir := t.TempDir()
	printing := func(text string) string { return "cat <<'E'\n" + text + "E\n" }
	write(t, dir, "sites/thies-albums.toml", "", 0o644)
	write(t, dir, "users/couva-main.toml", "", 0o644)
	write(t, dir, "real/bin/lbreal", "#!/bin/sh\n"+printing("upgrade   G 0.9  score 0.91\nscore of the real nodes 0.940 (the weighted mean of the days)\n"), 0o755)
	write(t, dir, "more/mass/bin/lbreal", "#!/bin/sh\ncase \"$*\" in *later*) "+printing(later)+";; *) "+printing(mass)+";; esac\n", 0o755)
	write(t, dir, "more/bin/lbreal", "#!/bin/sh\n"+printing("herd+vast   G 0.8  score 0.79\nscore of the real nodes 0.792 (seven tenths)\n"), 0o755)
	write(t, dir, "bin/lbsim", "#!/bin/sh\n"+printing(sim), 0o755)
	return dir
}

// benchOutput is the output of a fake bench for a call whose arguments contain a text.
type benchOutput struct {
	arguments string
	output    string
}

// fakeBench returns a shell script that appends its arguments to the file argumentsPath and prints the first output whose text
// they contain.
func fakeBench(argumentsPath string, outputs ...benchOutput) string {
	var b strings.Builder
	b.WriteString("#!/bin/sh\necho \"$*\" >>'" + argumentsPath + "'\ncase \"$*\" in\n")
	for _, o := range outputs {
		b.WriteString("*'" + o.arguments + "'*) cat <<'E'\n" + o.output + "E\n;;\n")
	}
	b.WriteString("esac\n")
	return b.String()
}
