// Command verdict reads the output of "go test -json" on standard input and
// decides whether the run passed. Failures listed in KNOWN-RED.txt are printed
// and ignored; any other failure, or a run in which no test passed, makes it exit
// with status 1.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
)

// testEvent holds the fields of a test2json record that are used here.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// result is the result of a run.
type result struct {
	passed   int
	failures []string
	output   map[string][]string
}

func main() {
	knownPath := flag.String("known", "KNOWN-RED.txt", "file that lists the known failures")
	flag.Parse()
	known, err := readKnown(*knownPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(2)
	}
	res, err := readEvents(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(2)
	}
	os.Exit(report(os.Stdout, res, known))
}

// readKnown returns the lines of the file by the "package.Test" name at their start.
func readKnown(path string) (map[string]string, error) {
	known := map[string]string{}
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return known, nil
	}
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, _, _ := strings.Cut(line, " | ")
		known[strings.TrimSpace(name)] = line
	}
	return known, nil
}

func readEvents(r io.Reader) (*result, error) {
	res := &result{output: map[string][]string{}}
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 1<<20), 1<<26)
	for sc.Scan() {
		var e testEvent
		if err := json.Unmarshal(sc.Bytes(), &e); err != nil {
			fmt.Println(sc.Text())
			continue
		}
		res.add(e)
	}
	return res, sc.Err()
}

func (res *result) add(e testEvent) {
	name := e.Package
	if e.Test != "" {
		name += "." + e.Test
	}
	switch e.Action {
	case "output", "build-output":
		res.output[name] = append(res.output[name], e.Output)
	case "pass":
		delete(res.output, name)
		if e.Test != "" {
			res.passed++
		} else {
			fmt.Println("ok  ", e.Package)
		}
	case "fail", "build-fail":
		res.failures = append(res.failures, name)
	}
}

// report prints every failure and returns the exit status. A package or a parent
// test also fails if one of its children does, so it is only counted if none of
// them failed.
func report(w io.Writer, res *result, known map[string]string) int {
	failed, knownFailed := 0, 0
	for _, name := range res.failures {
		if hasFailedChild(name, res.failures) {
			continue
		}
		if entry, ok := known[name]; ok {
			knownFailed++
			fmt.Fprintln(w, "KNOWN RED", entry)
			continue
		}
		failed++
		fmt.Fprintln(w, "FAIL", name)
		fmt.Fprint(w, strings.Join(res.output[name], ""))
	}
	fmt.Fprintf(w, "known red: %d\n", knownFailed)
	fmt.Fprintf(w, "%d passed, %d failed\n", res.passed, failed)
	if failed > 0 || res.passed == 0 {
		return 1
	}
	return 0
}

func hasFailedChild(name string, failures []string) bool {
	for _, other := range failures {
		if other == name {
			continue
		}
		rest, ok := strings.CutPrefix(other, name)
		if ok && (strings.HasPrefix(rest, "/") || strings.HasPrefix(rest, ".")) {
			return true
		}
	}
	return false
}
