// Command proof checks that every test that docs/PROOF.md names exists and that
// the test suite covers every command on the page.
package main

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

const page = "docs/PROOF.md"

var (
	testFunc   = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w*)\(`)
	testName   = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Z]\\w*)`")
	command    = regexp.MustCompile("`((?:go test|make) [^`]*)`")
	makeTarget = regexp.MustCompile(`(?m)^([a-z]+):`)
	runFlag    = regexp.MustCompile(`-run '?([^' ]+)'?`)
	packageArg = regexp.MustCompile(`\./[\w/.]+`)
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "proof:", err)
		os.Exit(1)
	}
}

func run() error {
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	tests, err := allTests()
	if err != nil {
		return err
	}
	var problems []string
	for _, m := range testName.FindAllStringSubmatch(string(text), -1) {
		if !tests[m[1]] {
			problems = append(problems, "no test is named "+m[1])
		}
	}
	makefile, err := os.ReadFile("Makefile")
	if err != nil {
		return err
	}
	for _, m := range command.FindAllStringSubmatch(string(text), -1) {
		if problem := checkCommand(m[1], string(makefile), tests); problem != "" {
			problems = append(problems, fmt.Sprintf("%s: %s", m[1], problem))
		}
	}
	if len(problems) > 0 {
		return fmt.Errorf("%s:\n%s", page, strings.Join(problems, "\n"))
	}
	return nil
}

// allTests returns the names of all tests, fuzz targets and benchmarks.
func allTests() (map[string]bool, error) {
	names := map[string]bool{}
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, m := range testFunc.FindAllStringSubmatch(string(data), -1) {
			names[m[1]] = true
		}
		return err
	})
	return names, err
}

// checkCommand returns what is wrong with a command, or "". The suite runs every
// test of every package, so it covers a test command if the package and at least
// one test that matches its -run pattern exist.
func checkCommand(cmd, makefile string, tests map[string]bool) string {
	if name, ok := strings.CutPrefix(cmd, "make "); ok {
		for _, m := range makeTarget.FindAllStringSubmatch(makefile, -1) {
			if m[1] == name {
				return ""
			}
		}
		return "the Makefile has no such target"
	}
	for _, dir := range packageArg.FindAllString(cmd, -1) {
		dir = strings.TrimSuffix(dir, "/...")
		if _, err := os.Stat(dir); err != nil {
			return "no package " + dir
		}
	}
	m := runFlag.FindStringSubmatch(cmd)
	if m == nil {
		return ""
	}
	pattern, err := regexp.Compile(m[1])
	if err != nil {
		return err.Error()
	}
	for name := range tests {
		if pattern.MatchString(name) {
			return ""
		}
	}
	return "its -run pattern matches no test"
}
