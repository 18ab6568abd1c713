package main

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// layers are the directories under internal, the lowest layer first. A package imports only
// packages of its own layer and of lower ones.
var layers = []string{"base", "core", "upstream", "agree", "peer", "edge", "ops", "stand"}

// impure are packages that the core must not import, because it does no I/O.
var impure = []string{"net", "os", "net/http", "github.com/valyala/fasthttp", "io/ioutil", "log"}

const module = "medlarfield/internal/"

func TestImportsFollowLayers(t *testing.T) {
	root := filepath.Join("..", "..", "internal")
	files := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		layer := strings.Split(filepath.ToSlash(rel), "/")[0]
		for _, i := range f.Imports {
			name, err := strconv.Unquote(i.Path.Value)
			if err != nil {
				return err
			}
			checkImport(t, path, layer, name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files < 50 {
		t.Errorf("only %d files were checked, want at least 50", files)
	}
}

func checkImport(t *testing.T, path, layer, name string) {
	t.Helper()
	own := slices.Index(layers, layer)
	if own < 0 {
		t.Errorf("%s: unknown layer %q", path, layer)
	}
	if layer == "core" && slices.Contains(impure, name) {
		t.Errorf("%s: package of the core imports %s", path, name)
	}
	rest, ok := strings.CutPrefix(name, module)
	if !ok {
		return
	}
	if other := slices.Index(layers, strings.Split(rest, "/")[0]); other > own {
		t.Errorf("%s: imports %s, which is in a higher layer", path, name)
	}
}
