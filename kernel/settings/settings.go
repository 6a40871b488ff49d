// Package settings decodes YAML settings files and rejects unknown keys. Every
// error carries a result code, and names file, line and column where they are
// known.
package settings

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"heatherway.dev/kernel/result"
)

// Document is a parsed settings file.
type Document struct {
	Name string
	body ast.Node
}

// Load reads and parses a file.
func Load(path string) (*Document, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrap(result.SettingsMissing, err, "cannot read the settings file")
	}
	return Parse(path, b)
}

// Parse parses the text of a settings file. The name appears in errors.
func Parse(name string, text []byte) (*Document, error) {
	f, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, locate(name, err, result.SettingsSyntax)
	}
	if len(f.Docs) != 1 || f.Docs[0].Body == nil {
		return nil, result.New(result.SettingsSyntax, "%s: the file must contain exactly one YAML document", name)
	}
	return &Document{Name: name, body: f.Docs[0].Body}, nil
}

// Decode decodes the whole document into v. An unknown key is an error.
func (d *Document) Decode(v any) error { return decode(d.Name, d.body, v) }

func decode(name string, node ast.Node, v any) error {
	if err := yaml.NodeToValue(node, v, yaml.Strict()); err != nil {
		var y yaml.Error
		if !errors.As(err, &y) {
			err = &yaml.SyntaxError{Message: err.Error(), Token: quotedNode(node, err.Error()).GetToken()}
		}
		return locate(name, err, result.SettingInvalid)
	}
	return nil
}

// quotedNode returns the string node below node whose value the error text quotes.
// It locates errors that carry no position, such as those of time.ParseDuration. If
// there is no such node, it returns node.
func quotedNode(node ast.Node, text string) ast.Node {
	found := node
	ast.Walk(visitorFunc(func(n ast.Node) {
		if s, ok := n.(*ast.StringNode); ok && found == node && strings.Contains(text, strconv.Quote(s.Value)) {
			found = n
		}
	}), node)
	return found
}

// visitorFunc is an ast.Visitor that calls itself for every node.
type visitorFunc func(ast.Node)

// Visit implements ast.Visitor.
func (v visitorFunc) Visit(n ast.Node) ast.Visitor {
	v(n)
	return v
}

// locate returns an error of the YAML library with file, line, column and result
// code. An error that has a result code already is returned as it is.
func locate(name string, err error, code result.Code) error {
	var known *result.Error
	if errors.As(err, &known) {
		return known
	}
	var y yaml.Error
	if !errors.As(err, &y) {
		return result.New(code, "%s: %v", name, err)
	}
	if _, unknown := y.(*yaml.UnknownFieldError); unknown {
		code = result.SettingUnknown
	}
	pos := y.GetToken().Position
	return result.New(code, "%s:%d:%d: %s", name, pos.Line, pos.Column, y.GetMessage())
}

// Plugin is a setting that selects a plug-in: either the plug-in's name alone, or a
// mapping with the name as its only key and the plug-in's settings as the value.
type Plugin struct {
	Name string
	file string
	key  ast.Node
	node ast.Node
}

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (p *Plugin) UnmarshalYAML(n ast.Node) error {
	if s, ok := n.(*ast.StringNode); ok {
		p.Name, p.key = s.Value, n
		return nil
	}
	var kv *ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingValueNode:
		kv = m
	case *ast.MappingNode:
		if len(m.Values) == 1 {
			kv = m.Values[0]
		}
	}
	if kv == nil {
		return &yaml.SyntaxError{Message: "must be a mapping with one key, the name of the plug-in", Token: n.GetToken()}
	}
	p.Name, p.key, p.node = kv.Key.String(), kv.Key, kv.Value
	return nil
}

// SetFile sets the file name that errors report.
func (p *Plugin) SetFile(name string) { p.file = name }

// Empty reports whether the setting was left out.
func (p Plugin) Empty() bool { return p.Name == "" }

// Decode decodes the plug-in's settings into v. Settings that are left out keep the
// values that v holds.
func (p Plugin) Decode(v any) error {
	if p.node == nil {
		return nil
	}
	if _, null := p.node.(*ast.NullNode); null {
		return nil
	}
	return decode(p.file, p.node, v)
}

// Unknown returns the error for a plug-in that is not registered. It lists the
// registered names.
func (p Plugin) Unknown(kind string, have []string) error {
	pos := p.key.GetToken().Position
	return result.New(result.UnknownModule, "%s:%d:%d: no %s named %q; known names: %s",
		p.file, pos.Line, pos.Column, kind, p.Name, strings.Join(have, ", "))
}

// Invalid returns the error for an invalid value. The path is that of the key
// below the plug-in's settings, such as "queue.limit".
func (p Plugin) Invalid(path, format string, args ...any) error {
	pos := p.nodeAt(path).GetToken().Position
	return result.New(result.SettingInvalid, "%s:%d:%d: %s: %s",
		p.file, pos.Line, pos.Column, path, fmt.Sprintf(format, args...))
}

// nodeAt returns the node at a path of the plug-in's settings, or the node of the
// plug-in's name if the setting was left out.
func (p Plugin) nodeAt(path string) ast.Node {
	if p.node == nil {
		return p.key
	}
	y, err := yaml.PathString("$." + path)
	if err != nil {
		return p.key
	}
	n, err := y.FilterNode(p.node)
	if err != nil || n == nil {
		return p.key
	}
	return n
}

// FieldError is an error about one setting, returned by Validate or Provision of a
// module. The kernel adds file, line and column.
type FieldError struct {
	Path    string
	Message string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Path + ": " + e.Message }

// Field returns a FieldError.
func Field(path, format string, args ...any) error {
	return &FieldError{Path: path, Message: fmt.Sprintf(format, args...)}
}

// InRange returns a FieldError unless low <= v <= high.
func InRange[T int | int64 | uint64 | float64](path string, v, low, high T) error {
	if v < low || v > high {
		return Field(path, "%v is outside %v to %v", v, low, high)
	}
	return nil
}

// DurationInRange returns a FieldError unless low <= v <= high.
func DurationInRange(path string, v, low, high time.Duration) error {
	if v < low || v > high {
		return Field(path, "%v is outside %v to %v", v, low, high)
	}
	return nil
}

// First returns the first error that is not nil.
func First(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
