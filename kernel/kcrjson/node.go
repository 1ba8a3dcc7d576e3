// Package kcrjson reads JSON with comments into typed values and says exactly
// where a document is wrong: file, line, column, what was expected, what was
// found. Unknown and repeated fields are errors.
package kcrjson

import (
	"fmt"
	"net/netip"
	"strconv"

	"github.com/tailscale/hujson"
)

// MaxSize is the largest document that Parse accepts, in bytes.
const MaxSize = 32 << 20

// root is the path of the whole document.
const root = "document"

// Error is a fault in a document. Line and Col start at 1.
type Error struct {
	File string
	Line int
	Col  int
	Path string
	Want string
	Got  string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: expected %s, got %s", e.File, e.Line, e.Col, e.Path, e.Want, e.Got)
}

type file struct {
	name string
	src  []byte
}

// Node is a value in a document.
type Node struct {
	file  *file
	path  string
	value *hujson.Value
}

// Fields maps the name of each known field of an object to its reader.
type Fields map[string]func(Node) error

// Parse reads a document. The name stands in errors.
func Parse(name string, src []byte) (n Node, err error) {
	if len(src) > MaxSize {
		return n, &Error{File: name, Line: 1, Col: 1, Path: root, Want: fmt.Sprintf("at most %d bytes", MaxSize), Got: fmt.Sprintf("%d bytes", len(src))}
	}
	v, err := hujson.Parse(src)
	if err != nil {
		return n, syntaxError(name, err)
	}
	return Node{file: &file{name: name, src: src}, path: root, value: &v}, nil
}

func syntaxError(name string, err error) error {
	out := &Error{File: name, Line: 1, Col: 1, Path: root, Want: "JSON with comments", Got: err.Error()}
	var line, col int
	if _, scan := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &col); scan == nil {
		out.Line, out.Col = line, col
	}
	return out
}

// Fault returns an error at the node.
func (n Node) Fault(want, got string) error {
	line, col := n.position()
	return &Error{File: n.file.name, Line: line, Col: col, Path: n.path, Want: want, Got: got}
}

func (n Node) position() (line, col int) {
	line, col = 1, 1
	for _, b := range n.file.src[:n.value.StartOffset] {
		if b == '\n' {
			line, col = line+1, 0
		}
		col++
	}
	return line, col
}

func (n Node) kind() string {
	switch v := n.value.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		return string(v)
	default:
		return "nothing"
	}
}

// Object reads each field of an object. Fields named in need must be there.
func (n Node) Object(fields Fields, need ...string) error {
	obj, ok := n.value.Value.(*hujson.Object)
	if !ok {
		return n.Fault("an object", n.kind())
	}
	seen := make(map[string]bool, len(obj.Members))
	for i := range obj.Members {
		if err := n.member(&obj.Members[i], fields, seen); err != nil {
			return err
		}
	}
	for _, name := range need {
		if !seen[name] {
			return n.Fault("field "+strconv.Quote(name), "no such field")
		}
	}
	return nil
}

func (n Node) member(m *hujson.ObjectMember, fields Fields, seen map[string]bool) error {
	name := m.Name.Value.(hujson.Literal).String()
	child := Node{file: n.file, path: n.path + "." + name, value: &m.Value}
	label := Node{file: n.file, path: n.path, value: &m.Name}
	if seen[name] {
		return label.Fault("each field once", "a second "+strconv.Quote(name))
	}
	seen[name] = true
	read, ok := fields[name]
	if !ok {
		return label.Fault("a known field", strconv.Quote(name))
	}
	return read(child)
}

// Array reads each element of an array.
func (n Node) Array(read func(int, Node) error) error {
	arr, ok := n.value.Value.(*hujson.Array)
	if !ok {
		return n.Fault("an array", n.kind())
	}
	for i := range arr.Elements {
		child := Node{file: n.file, path: fmt.Sprintf("%s[%d]", n.path, i), value: &arr.Elements[i]}
		if err := read(i, child); err != nil {
			return err
		}
	}
	return nil
}

// Text reads a string that is not empty.
func Text[T ~string](n Node, to *T) error {
	lit, ok := n.value.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		return n.Fault("a string", n.kind())
	}
	if lit.String() == "" {
		return n.Fault("a string that is not empty", `""`)
	}
	*to = T(lit.String())
	return nil
}

// Texts reads an array of strings, each of them once.
func Texts[T ~string](n Node, to *[]T) error {
	seen := map[T]bool{}
	return n.Array(func(_ int, child Node) error {
		var item T
		if err := Text(child, &item); err != nil {
			return err
		}
		if seen[item] {
			return child.Fault("each item once", "a second "+strconv.Quote(string(item)))
		}
		seen[item] = true
		*to = append(*to, item)
		return nil
	})
}

// Int reads a whole number between low and high.
func Int[T ~int | ~int32 | ~int64 | ~uint32 | ~uint64](n Node, to *T, low, high int64) error {
	want := fmt.Sprintf("a whole number from %d to %d", low, high)
	lit, ok := n.value.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		return n.Fault(want, n.kind())
	}
	v, err := strconv.ParseInt(string(lit), 10, 64)
	if err != nil || v < low || v > high {
		return n.Fault(want, string(lit))
	}
	*to = T(v)
	return nil
}

// Number reads a number between low and high, which may have a fraction.
func Number(n Node, to *float64, low, high float64) error {
	want := fmt.Sprintf("a number from %g to %g", low, high)
	lit, ok := n.value.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		return n.Fault(want, n.kind())
	}
	v, err := strconv.ParseFloat(string(lit), 64)
	if err != nil || v < low || v > high {
		return n.Fault(want, string(lit))
	}
	*to = v
	return nil
}

// Address reads a string of the form ip:port.
func Address(n Node, to *string) error {
	var text string
	if err := Text(n, &text); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return n.Fault("an address of the form ip:port", text)
	}
	*to = text
	return nil
}

// Bool reads true or false.
func Bool(n Node, to *bool) error {
	switch n.kind() {
	case "true":
		*to = true
	case "false":
		*to = false
	default:
		return n.Fault("true or false", n.kind())
	}
	return nil
}
