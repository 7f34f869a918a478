// Command capac generates the tables of docs/CAPACITY.md from the output of the
// benchmarks, so that the page always matches the measurements.
//
//	go run ./internal/tool/capac            # rewrites the page
//	go run ./internal/tool/capac -check     # fails if the page differs
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	page := flag.String("page", "docs/CAPACITY.md", "page whose tables are rewritten")
	dir := flag.String("figures", "docs/figures", "folder with the benchmarks' output")
	check := flag.Bool("check", false, "fail if the page differs")
	flag.Parse()
	if err := run(*page, *dir, *check); err != nil {
		fmt.Fprintln(os.Stderr, "capac:", err)
		os.Exit(1)
	}
}

func run(page, dir string, check bool) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.txt"))
	if err != nil {
		return err
	}
	var measured measurements
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		measured = append(measured, parseBenchmarks(string(data))...)
	}
	current, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	updated := current
	for name, table := range map[string]func(measurements) (string, error){"slopes": slopeTable, "size": sizeTable} {
		body, err := table(measured)
		if err != nil {
			return err
		}
		if updated, err = replaceTable(updated, name, body); err != nil {
			return err
		}
	}
	if check && !bytes.Equal(current, updated) {
		return fmt.Errorf("%s does not match the figures in %s; run go run ./internal/tool/capac", page, dir)
	}
	return os.WriteFile(page, updated, 0o644)
}

// replaceTable replaces the text between the begin and end comments of that name.
func replaceTable(page []byte, name, body string) ([]byte, error) {
	begin, end := []byte("<!-- begin "+name+" -->\n"), []byte("<!-- end "+name+" -->")
	i, j := bytes.Index(page, begin), bytes.Index(page, end)
	if i < 0 || j < i {
		return nil, fmt.Errorf("the page has no begin and end comments for %q", name)
	}
	var out bytes.Buffer
	out.Write(page[:i+len(begin)])
	out.WriteString(body)
	out.Write(page[j:])
	return out.Bytes(), nil
}
