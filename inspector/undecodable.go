package inspector

import (
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/pkg/errors"
)

const (
	// endOfInput is the message of encoding/json about a file that ends too early.
	endOfInput = "unexpected end of JSON input"
	// maxTypeLength is the length in bytes to which the description of a value is shortened.
	maxTypeLength = 40
	// maxMismatches bounds the values of a wrong type that are reported, as each is found by
	// decoding the file once more.
	maxMismatches = 20
)

// Undecodable returns the findings about a file that routers cannot decode. decode is the
// decoder of the running system; it stops at the first fault. To find the next one, a value
// of a wrong type is replaced by null in a copy of the file.
func Undecodable(raw []byte, decode func([]byte) error) []Finding {
	var findings []Finding
	original, reported := newPlaces(raw), map[string]bool{}
	for rest := raw; len(findings) < maxMismatches; {
		err := decode(rest)
		if err == nil {
			break
		}
		p := newPlaces(rest)
		f := fault(original, p, err)
		if reported[f.Path] {
			break
		}
		reported[f.Path] = true
		findings = append(findings, f)
		var mismatch *json.UnmarshalTypeError
		if !errors.As(err, &mismatch) {
			break
		}
		v := p.around(int(mismatch.Offset) - 1)
		rest = append(append(append([]byte{}, rest[:v.start]...), "null"...), rest[v.end:]...)
	}
	return findings
}

// fault returns the finding about an error of the decoder. decoded has the places of the
// document that it was given, original those of the file.
func fault(original, decoded *places, err error) Finding {
	f := Finding{Severity: Error, Kind: NotJSON, Message: "routers reject the configuration: " + errors.Cause(err).Error()}
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		// Offset is behind the byte that does not fit. If the file ends too early, all its
		// bytes fit.
		at := int(syntax.Offset)
		if syntax.Error() != endOfInput {
			at--
		}
		f.Line, f.Column = original.position(at)
	case errors.As(err, &mismatch):
		f.Kind = WrongType
		f.Path = decoded.around(int(mismatch.Offset) - 1).path
		f.Line, f.Column = original.find(f.Path)
		f.Message = fmt.Sprintf("routers reject the configuration: the value is of type %s, not %s", mismatch.Value[:min(len(mismatch.Value), maxTypeLength)], typeName(mismatch.Type))
	}
	return f
}

// typeName returns the name of the JSON value that decodes into a Go type.
func typeName(t reflect.Type) string {
	if t == nil {
		return "the expected type"
	}
	switch t.Kind() {
	case reflect.Pointer:
		return typeName(t.Elem())
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "bool"
	case reflect.Slice, reflect.Array:
		return "array"
	case reflect.Float32, reflect.Float64:
		return "number"
	case reflect.Int, reflect.Int64, reflect.Int32:
		return "whole number"
	case reflect.Uint, reflect.Uint64, reflect.Uint32:
		return "whole number of zero or more"
	default:
		return "object"
	}
}
