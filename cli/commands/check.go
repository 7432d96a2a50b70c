package commands

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"tamarackknot.example/tamarackknot"
	"tamarackknot.example/tamarackknot/cli/manifest"
	"tamarackknot.example/tamarackknot/configcheck"
	"tamarackknot.example/tamarackknot/operator"
	"tamarackknot.example/tamarackknot/platform"
)

// maxConfigBytes limits a file that is read; the largest configurations have a few MB.
const maxConfigBytes = 256 << 20

var (
	errInvalid  = errors.New("the configuration has errors")
	errWarnings = errors.New("the configuration has warnings")
)

// checkFlags are the flags of check.
type checkFlags struct {
	file, against string
	strict        bool
	endpoints     []string
}

func (a *app) check() *command {
	var flags checkFlags
	sub := flaggy.NewSubcommand("check")
	sub.Description = "checks a configuration of the platform (JSON) or a manifest (YAML) without a server.\n" +
		"  Exit codes: 0 nothing found, 1 warnings with --strict, 2 errors"
	sub.AddPositionalValue(&flags.file, "file", 1, true, "the file, - for standard input")
	sub.String(&flags.against, "a", "against", "file with the version in force; says what changes")
	sub.Bool(&flags.strict, "x", "strict", "exit code 1 if there are warnings")
	sub.StringSlice(&flags.endpoints, "e", "endpoints", "SERVICE=NUMBER, number of endpoints of a service of the platform; those not named have none")
	return &command{sub: sub, run: func(context.Context) error { return flags.run(a.out, a.json()) }}
}

func (f checkFlags) run(out io.Writer, asJSON bool) error {
	endpoints, err := parseEndpoints(f.endpoints)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	c, err := readConfig(f.file)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	r := configcheck.Report{File: f.file, Errors: c.errors, Warnings: c.warnings}
	if c.catalog != nil {
		r.Warnings = append(r.Warnings, configcheck.Catalog(c.catalog, endpoints)...)
	}
	if f.against != "" {
		before, err := readConfig(f.against)
		if err != nil {
			return errors.Mark(errors.Wrap(err, "--against"), errUsage)
		}
		if r.Compared, r.Changes, err = compare(before, c); err != nil {
			return errors.Mark(errors.Wrap(err, "--against"), errUsage)
		}
	}
	write := r.WriteText
	if asJSON {
		write = r.WriteJSON
	}
	if err := write(out); err != nil {
		return err
	}
	switch {
	case len(r.Errors) > 0:
		return errInvalid
	case f.strict && len(r.Warnings) > 0:
		return errWarnings
	}
	return nil
}

// config is a configuration of the platform, or the resources of a manifest.
type config struct {
	catalog          *tamarackknot.Catalog
	resources        []tamarackknot.Resource
	isManifest       bool
	errors, warnings []configcheck.Finding
}

// readConfig reads and checks a file. The error is that of reading it.
func readConfig(path string) (config, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(io.LimitReader(os.Stdin, maxConfigBytes))
	} else {
		data, err = os.ReadFile(path) //nolint:gosec // the operator names the file
	}
	if err != nil {
		return config{}, errors.Wrap(err, "file")
	}
	return parseConfig(path, data), nil
}

// parseConfig checks the contents of a file. Configurations of the platform are JSON objects;
// everything else is read as a manifest.
func parseConfig(name string, data []byte) config {
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		catalog, errs, warnings := platform.CheckConfig(data)
		return config{catalog: catalog, errors: errs, warnings: warnings}
	}
	c := config{isManifest: true}
	items, err := manifest.Read(bytes.NewReader(data), name)
	if err != nil {
		c.errors = []configcheck.Finding{{Path: "manifest", Message: err.Error()}}
		return c
	}
	for _, item := range items {
		r, err := operator.FromWire(item.Resource)
		if err != nil {
			c.errors = append(c.errors, configcheck.Finding{Path: item.Source, Message: err.Error()})
			continue
		}
		c.resources = append(c.resources, r)
	}
	errs, warnings := configcheck.Resources(c.resources)
	c.errors, c.warnings = append(c.errors, errs...), append(c.warnings, warnings...)
	return c
}

// compare returns the changes between two configurations; compared is false if the new one
// could not be read.
func compare(before, after config) (compared bool, changes []configcheck.Change, err error) {
	switch {
	case before.isManifest != after.isManifest:
		return false, nil, errors.New("one file is a manifest, the other a configuration of the platform")
	case before.isManifest && before.resources == nil || !before.isManifest && before.catalog == nil:
		return false, nil, fmt.Errorf("not readable: %v", before.errors)
	case after.isManifest:
		return after.resources != nil, configcheck.DiffResources(before.resources, after.resources), nil
	case after.catalog == nil:
		return false, nil, nil
	default:
		return true, configcheck.Diff(before.catalog, after.catalog), nil
	}
}

// parseEndpoints parses SERVICE=NUMBER.
func parseEndpoints(texts []string) (configcheck.Endpoints, error) {
	if len(texts) == 0 {
		return nil, nil //nolint:nilnil // not known
	}
	out := make(configcheck.Endpoints)
	for _, text := range texts {
		service, number, _ := strings.Cut(text, "=")
		n, err := strconv.Atoi(number)
		if err != nil || n < 0 || service == "" {
			return nil, fmt.Errorf("--endpoints: %q is not SERVICE=NUMBER", text)
		}
		out[service] = n
	}
	return out, nil
}
