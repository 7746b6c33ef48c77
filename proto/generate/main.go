// Command generate writes the Go code for the .proto files under proto/, with the generators that go.mod pins.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if err := generate(); err != nil {
		fmt.Fprintln(os.Stderr, "generate:", err)
		os.Exit(1)
	}
}

// generate writes the generated files. The working directory must be proto/.
func generate() error {
	var names []string
	err := filepath.WalkDir("saffronyard", func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".proto") {
			names = append(names, filepath.ToSlash(path))
		}
		return err
	})
	if err != nil {
		return err
	}
	compiler := protocompile.Compiler{Resolver: &protocompile.SourceResolver{ImportPaths: []string{"."}}, SourceInfoMode: protocompile.SourceInfoStandard}
	files, err := compiler.Compile(context.Background(), names...)
	if err != nil {
		return err
	}
	parameter := "paths=source_relative"
	req := &pluginpb.CodeGeneratorRequest{Parameter: &parameter}
	for _, f := range files {
		req.ProtoFile = append(req.ProtoFile, protoutil.ProtoFromFileDescriptor(f))
	}
	tier := func(name string) bool { return strings.HasPrefix(name, "saffronyard/tier/") } // the serving tier uses twirp instead of gRPC
	for plugin, wants := range map[string]func(string) bool{
		"protoc-gen-go":      func(string) bool { return true },
		"protoc-gen-go-grpc": func(name string) bool { return !tier(name) },
		"protoc-gen-twirp":   tier,
	} {
		req.FileToGenerate = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !wants(name) })
		in, err := proto.Marshal(req)
		if err != nil {
			return err
		}
		run := exec.Command("go", "tool", plugin)
		run.Stdin, run.Stderr = bytes.NewReader(in), os.Stderr
		out, err := run.Output()
		if err != nil {
			return fmt.Errorf("%s: %w", plugin, err)
		}
		var resp pluginpb.CodeGeneratorResponse
		if err := proto.Unmarshal(out, &resp); err != nil {
			return fmt.Errorf("%s: %w", plugin, err)
		}
		if resp.Error != nil {
			return &pluginError{plugin: plugin, problem: *resp.Error}
		}
		for _, f := range resp.File {
			if err := os.WriteFile(filepath.FromSlash(f.GetName()), []byte(f.GetContent()), 0o644); err != nil {
				return err
			}
		}
	}
	return nil
}

// pluginError is an error that a generator reports in its response.
type pluginError struct{ plugin, problem string }

// Error implements error.
func (e *pluginError) Error() string { return e.plugin + ": " + e.problem }
