package main

import (
	"context"
	"encoding/json"
	"flag"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"heatherway.dev/kernel/pki"
	"heatherway.dev/kernel/result"
)

func init() { add(certsCommand) }

// Default validities.
const (
	day               = 24 * time.Hour
	authorityValidity = 3650 * day
	leafValidity      = 365 * day
)

// certOptions holds the flags of certs.
type certOptions struct {
	folder, name, role, addrs, output string
	validity                          time.Duration
}

func certsCommand(s outputs) *ffcli.Command {
	flags := flag.NewFlagSet("heatherwayctl certs", flag.ContinueOnError)
	var c certOptions
	flags.StringVar(&c.folder, "folder", "certs", "folder of the certificate authority and the new files")
	flags.StringVar(&c.name, "name", "", "name of the instance or operator; without it only the authority is made")
	flags.StringVar(&c.role, "role", "", "entry, agent, control or operator; several, separated by commas, for a process with several roles")
	flags.StringVar(&c.addrs, "address", "", "IP addresses of the instance, separated by commas")
	flags.DurationVar(&c.validity, "validity", leafValidity, "how long the certificate is valid")
	flags.StringVar(&c.output, "output", outputTable, "form of the output: table or json")
	return &ffcli.Command{
		Name:       "certs",
		ShortUsage: "heatherwayctl certs [flags]",
		ShortHelp:  "Make a certificate authority, and certificates signed by it.",
		LongHelp:   "The authority is made once; NAME.pem and NAME-key.pem are replaced. A process with both roles control and admin needs the role control.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 || c.output != outputTable && c.output != outputJSON {
				return result.New(result.Usage, "certs takes no arguments, and --output must be table or json")
			}
			files, err := c.make(time.Now())
			if err != nil {
				return err
			}
			return printFiles(s, c.output, files)
		},
	}
}

func printFiles(s outputs, output string, files []string) error {
	raw, err := json.Marshal(map[string][]string{"files": files})
	if err != nil {
		return errors.Wrap(err, "encode the answer")
	}
	t := newTable("FILE")
	for _, f := range files {
		t.add(f)
	}
	return (&api{out: s.out, output: output}).print(raw, t)
}

func (c *certOptions) make(now time.Time) ([]string, error) {
	if c.name != "" {
		if err := c.check(); err != nil {
			return nil, err
		}
	}
	authority, err := c.authority(now)
	if err != nil {
		return nil, err
	}
	files := []string{filepath.Join(c.folder, "ca.pem")}
	if c.name == "" {
		return files, nil
	}
	addrs, err := c.addresses()
	if err != nil {
		return nil, err
	}
	pair, err := authority.Issue(c.name, c.role, addrs, now, c.validity)
	if err != nil {
		return nil, errors.Wrap(err, "issue the certificate")
	}
	if err := pair.Write(c.folder, c.name); err != nil {
		return nil, err
	}
	base := filepath.Join(c.folder, c.name)
	return append(files, base+".pem", base+"-key.pem"), nil
}

// roles are the roles that a certificate may contain.
var roles = []string{"entry", "agent", "control", "operator"}

func (c *certOptions) check() error {
	for _, role := range strings.Split(c.role, ",") {
		if !slices.Contains(roles, role) {
			return result.New(result.Usage, "--role %q is none of entry, agent, control and operator", role)
		}
	}
	if c.name == "ca" || strings.ContainsAny(c.name, "/\\") || c.validity <= 0 {
		return result.New(result.Usage, "--name must be a file name other than ca, and --validity above zero")
	}
	return nil
}

// authority loads the certificate authority of the folder, or creates it if there
// is none.
func (c *certOptions) authority(now time.Time) (*pki.Authority, error) {
	_, err := os.Stat(filepath.Join(c.folder, "ca.pem"))
	if err == nil {
		a, err := pki.LoadAuthority(c.folder)
		if err != nil {
			return nil, errors.Wrap(err, "load the authority")
		}
		return a, nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	a, err := pki.NewAuthority(now, authorityValidity)
	if err != nil {
		return nil, errors.Wrap(err, "make the authority")
	}
	pair, err := a.Pair()
	if err != nil {
		return nil, err
	}
	return a, pair.Write(c.folder, "ca")
}

func (c *certOptions) addresses() ([]net.IP, error) {
	var out []net.IP
	for _, text := range strings.FieldsFunc(c.addrs, func(r rune) bool { return r == ',' }) {
		ip := net.ParseIP(text)
		if ip == nil {
			return nil, result.New(result.Usage, "--address %q is not an IP address", text)
		}
		out = append(out, ip)
	}
	return out, nil
}
