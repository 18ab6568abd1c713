package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// promises has the word that the row of each guarantee in docs/PROMISES.md starts with.
var promises = []string{"blocks", "accounts", "versions", "answers", "refusals", "once", "leaving", "stopping", "configuration"}

var testName = regexp.MustCompile("`(Test[A-Za-z0-9]+)`")

// testNames returns the names of all test functions under root.
func testNames(t *testing.T, root string) map[string]bool {
	t.Helper()
	declared := regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9]+)\(`)
	out := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range declared.FindAllSubmatch(text, -1) {
			out[string(m[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func TestPagesCiteExistingTests(t *testing.T) {
	root := filepath.Join("..", "..")
	known := testNames(t, root)
	for _, page := range []string{"PROMISES.md", "THREATS.md"} {
		text, err := os.ReadFile(filepath.Join(root, "docs", page))
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range testName.FindAllStringSubmatch(string(text), -1) {
			if !known[m[1]] {
				t.Errorf("%s cites %s, which does not exist", page, m[1])
			}
		}
	}
}

func TestEveryPromiseCitesATest(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "PROMISES.md"))
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string]string{}
	for _, line := range strings.Split(string(text), "\n") {
		if name, rest, ok := strings.Cut(strings.TrimPrefix(line, "| "), ": "); ok && strings.HasPrefix(line, "| ") {
			rows[name] = rest
		}
	}
	for _, p := range promises {
		if !testName.MatchString(rows[p]) {
			t.Errorf("docs/PROMISES.md: the promise %q has no row that cites a test", p)
		}
	}
}
