// Package kcrjson reads JSON with comments into typed values. Each error gives the
// exact place in the document, file, line and column, with what was expected and
// what was found. Unknown and repeated fields are errors.
//
// This file defines Node, a value in a document, and the functions that read it.
// A function that reads a value stores it in a variable of the caller. On an error
// the variable stays as it was, but Strings may have appended some of the strings.
package kcrjson

import (
	"fmt"
	"net/netip"
	"strconv"

	"github.com/tailscale/hujson"
)

// MaxSize is the maximum size of a document, in bytes.
const MaxSize = 32 << 20

// rootPath is the path of the whole document in errors.
const rootPath = "document"

// Error is an error at a place in a document. Line and Col start at 1; Col counts
// bytes. Path names the value, such as document.plans[0].keys[1].
type Error struct {
	File string
	Line int
	Col  int
	Path string
	Want string
	Got  string
}

// Error returns the place, what was expected and what was found.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: expected %s, got %s", e.File, e.Line, e.Col, e.Path, e.Want, e.Got)
}

// sourceFile is the text of a document and its name in errors.
type sourceFile struct {
	name string
	src  []byte
}

// Node is a value in a document.
type Node struct {
	file  *sourceFile
	path  string
	value *hujson.Value
}

// Fields maps the name of each allowed field of an object to the function that
// reads its value.
type Fields map[string]func(Node) error

// Parse parses a document and returns its root. Errors quote name as the file name.
func Parse(name string, src []byte) (n Node, err error) {
	if len(src) > MaxSize {
		return n, &Error{File: name, Line: 1, Col: 1, Path: rootPath, Want: fmt.Sprintf("at most %d bytes", MaxSize), Got: fmt.Sprintf("%d bytes", len(src))}
	}
	v, err := hujson.Parse(src)
	if err != nil {
		return n, syntaxError(name, err)
	}
	return Node{file: &sourceFile{name: name, src: src}, path: rootPath, value: &v}, nil
}

// syntaxError converts an error of hujson. It takes the place from the text of the
// error, and gives line 1, column 1 if the text has none.
func syntaxError(name string, err error) error {
	converted := &Error{File: name, Line: 1, Col: 1, Path: rootPath, Want: "JSON with comments", Got: err.Error()}
	var line, col int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &col); scanErr == nil {
		converted.Line, converted.Col = line, col
	}
	return converted
}

// NewError returns an Error at the place of the node.
func (n Node) NewError(want, got string) error {
	line, col := n.position()
	return &Error{File: n.file.name, Line: line, Col: col, Path: n.path, Want: want, Got: got}
}

// position returns the line and column at which the node starts.
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

// describe returns what errors say was found at the node: the type of an object or
// array, or the text of a literal.
func (n Node) describe() string {
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

// Object reads each field of an object. Fields named in required must be present.
func (n Node) Object(fields Fields, required ...string) error {
	obj, ok := n.value.Value.(*hujson.Object)
	if !ok {
		return n.NewError("an object", n.describe())
	}
	seen := make(map[string]bool, len(obj.Members))
	for i := range obj.Members {
		if err := n.readMember(&obj.Members[i], fields, seen); err != nil {
			return err
		}
	}
	for _, name := range required {
		if !seen[name] {
			return n.NewError("field "+strconv.Quote(name), "no such field")
		}
	}
	return nil
}

// readMember reads one field of an object. The names of the fields read before are
// in seen.
func (n Node) readMember(m *hujson.ObjectMember, fields Fields, seen map[string]bool) error {
	name := m.Name.Value.(hujson.Literal).String()
	child := Node{file: n.file, path: n.path + "." + name, value: &m.Value}
	label := Node{file: n.file, path: n.path, value: &m.Name}
	if seen[name] {
		return label.NewError("each field once", "a second "+strconv.Quote(name))
	}
	seen[name] = true
	read, ok := fields[name]
	if !ok {
		return label.NewError("a known field", strconv.Quote(name))
	}
	return read(child)
}

// Array calls read with the index and the node of each element of an array.
func (n Node) Array(read func(int, Node) error) error {
	arr, ok := n.value.Value.(*hujson.Array)
	if !ok {
		return n.NewError("an array", n.describe())
	}
	for i := range arr.Elements {
		child := Node{file: n.file, path: fmt.Sprintf("%s[%d]", n.path, i), value: &arr.Elements[i]}
		if err := read(i, child); err != nil {
			return err
		}
	}
	return nil
}

// String reads a string that is not empty.
func String[T ~string](n Node, text *T) error {
	lit, ok := n.value.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		return n.NewError("a string", n.describe())
	}
	if lit.String() == "" {
		return n.NewError("a string that is not empty", `""`)
	}
	*text = T(lit.String())
	return nil
}

// Strings reads an array of distinct strings that are not empty, and appends them to
// texts.
func Strings[T ~string](n Node, texts *[]T) error {
	seen := map[T]bool{}
	return n.Array(func(_ int, child Node) error {
		var item T
		if err := String(child, &item); err != nil {
			return err
		}
		if seen[item] {
			return child.NewError("each item once", "a second "+strconv.Quote(string(item)))
		}
		seen[item] = true
		*texts = append(*texts, item)
		return nil
	})
}

// Int reads a whole number from low to high.
func Int[T ~int | ~int32 | ~int64 | ~uint32 | ~uint64](n Node, number *T, low, high int64) error {
	want := fmt.Sprintf("a whole number from %d to %d", low, high)
	lit, ok := n.value.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		return n.NewError(want, n.describe())
	}
	v, err := strconv.ParseInt(string(lit), 10, 64)
	if err != nil || v < low || v > high {
		return n.NewError(want, string(lit))
	}
	*number = T(v)
	return nil
}

// Number reads a number from low to high, which may have a fraction.
func Number(n Node, number *float64, low, high float64) error {
	want := fmt.Sprintf("a number from %g to %g", low, high)
	lit, ok := n.value.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		return n.NewError(want, n.describe())
	}
	v, err := strconv.ParseFloat(string(lit), 64)
	if err != nil || v < low || v > high {
		return n.NewError(want, string(lit))
	}
	*number = v
	return nil
}

// Address reads a string of the form ip:port.
func Address(n Node, address *string) error {
	var text string
	if err := String(n, &text); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return n.NewError("an address of the form ip:port", text)
	}
	*address = text
	return nil
}

// Bool reads true or false.
func Bool(n Node, value *bool) error {
	switch n.describe() {
	case "true":
		*value = true
	case "false":
		*value = false
	default:
		return n.NewError("true or false", n.describe())
	}
	return nil
}
