// Package medlarjson strictly decodes JSON with comments and reports each error with
// its file, line and column.
//
// Rules:
//
//	R1  Comments and trailing commas are allowed; everything else is standard JSON.
//	R2  Unknown members, duplicate members and wrong types are errors.
//	R3  Each error states the file, line and column, and what was expected.
package medlarjson

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Op names the operation that failed.
type Op string

// Operations.
const (
	OpRead   Op = "read"
	OpParse  Op = "parse"
	OpDecode Op = "decode"
	OpCheck  Op = "check"
)

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindMissing Kind = "missing"
	KindSyntax  Kind = "syntax"
	KindField   Kind = "field"
	KindRange   Kind = "range"
)

// Position is a location in a file. Line and Column start at 1; both are 0 if the
// position is the file as a whole.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns the position as file:line:column.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Error reports a document that could not be read, parsed, decoded or validated.
type Error struct {
	Op   Op
	Kind Kind
	At   Position
	Err  error
}

// Error returns the position and the cause in one line.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.At, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Document is a parsed file that knows the positions of its fields.
type Document struct {
	file  string
	data  []byte
	value hujson.Value
}

// ReadFile reads and parses a file.
func ReadFile(file string) (*Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Op: OpRead, Kind: KindMissing, At: Position{File: file}, Err: eris.Wrap(err, "cannot read the file")}
	}
	return Parse(file, data)
}

// Parse parses data (R1); file is the name that errors give as its source.
func Parse(file string, data []byte) (*Document, error) {
	v, err := hujson.Parse(data)
	if err != nil {
		return nil, &Error{Op: OpParse, Kind: KindSyntax, At: syntaxPosition(file, err), Err: eris.New(syntaxMessage(err))}
	}
	return &Document{file: file, data: data, value: v}, nil
}

// Decode unmarshals the document into dst, a pointer to a struct (R2).
func (d *Document) Decode(dst any) error {
	v := d.value.Clone()
	v.Standardize()
	err := json.Unmarshal(v.Pack(), dst, json.RejectUnknownMembers(true))
	if err == nil {
		return nil
	}
	return d.decodeError(err)
}

// Errorf returns an error positioned at the field with the given JSON pointer, such
// as "/plans/large/rate", or at its nearest existing parent (R3).
func (d *Document) Errorf(pointer, format string, args ...any) error {
	return &Error{Op: OpCheck, Kind: KindRange, At: d.At(pointer), Err: eris.New(fmt.Sprintf(format, args...))}
}

// At returns the position of the field with the given JSON pointer, or of its nearest
// existing parent.
func (d *Document) At(pointer string) Position {
	for {
		if v := d.value.Find(pointer); v != nil {
			return positionAt(d.file, d.data, v.StartOffset)
		}
		i := strings.LastIndexByte(pointer, '/')
		if i < 0 {
			return Position{File: d.file}
		}
		pointer = pointer[:i]
	}
}

func (d *Document) decodeError(err error) error {
	out := &Error{Op: OpDecode, Kind: KindField, At: Position{File: d.file}}
	var semantic *json.SemanticError
	var syntactic *jsontext.SyntacticError
	switch {
	case errors.As(err, &semantic):
		out.At = d.At(string(semantic.JSONPointer))
		out.Err = eris.New(semanticMessage(semantic))
	case errors.As(err, &syntactic):
		out.At = positionAt(d.file, d.data, int(syntactic.ByteOffset))
		out.Err = eris.New(syntactic.Err.Error())
		if errors.Is(err, jsontext.ErrDuplicateName) {
			out.Err = eris.New(fmt.Sprintf("field %q appears twice", syntactic.JSONPointer.LastToken()))
		}
	default:
		out.Err = err
	}
	return out
}

func semanticMessage(e *json.SemanticError) string {
	name := e.JSONPointer.LastToken()
	if errors.Is(e, json.ErrUnknownName) {
		return fmt.Sprintf("unknown field %q", name)
	}
	if e.Err != nil && e.GoType != nil && !strings.Contains(e.Err.Error(), "want ") {
		return fmt.Sprintf("field %q: want %s: %v", name, typeName(e), e.Err)
	}
	if e.Err != nil {
		return fmt.Sprintf("field %q: %v", name, e.Err)
	}
	return fmt.Sprintf("field %q: want %s, got %s", name, typeName(e), e.JSONKind)
}

// typeName describes the expected type in JSON terms.
func typeName(e *json.SemanticError) string {
	if e.GoType == nil {
		return "another type"
	}
	switch kind := e.GoType.Kind().String(); {
	case strings.HasPrefix(kind, "int"), strings.HasPrefix(kind, "uint"):
		return "a whole number"
	case strings.HasPrefix(kind, "float"):
		return "a number"
	case kind == "struct", kind == "map":
		return "an object"
	case kind == "slice", kind == "array":
		return "a list"
	case kind == "bool":
		return "true or false"
	default:
		return "a string"
	}
}

// syntaxPosition extracts the line and column from the message of a parser error.
func syntaxPosition(file string, err error) Position {
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return Position{File: file}
	}
	return Position{File: file, Line: line, Column: column}
}

func syntaxMessage(err error) string {
	if _, cause, ok := strings.Cut(err.Error(), ": "); ok {
		if _, rest, more := strings.Cut(cause, ": "); more {
			return rest
		}
	}
	return err.Error()
}

func positionAt(file string, data []byte, offset int) Position {
	offset = min(max(offset, 0), len(data))
	before := data[:offset]
	line := 1 + bytes.Count(before, []byte{'\n'})
	column := offset - bytes.LastIndexByte(before, '\n')
	return Position{File: file, Line: line, Column: column}
}
