package validator

// IsFieldName reports whether the name of a header field has only characters that RFC 9110,
// section 5.6.2, allows.
func IsFieldName(name []byte) bool {
	for _, c := range name {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(name) > 0
}

// tokenBytes holds the bytes that a token may have.
var tokenBytes = func() (is [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz" {
		is[c] = true
	}
	return is
}()

// IsFieldValue reports whether the value of a header field, or the reason of an answer, has
// only bytes that RFC 9110, section 5.5, allows: no control bytes other than tabs.
func IsFieldValue(value []byte) bool {
	for _, c := range value {
		if c < ' ' && c != '\t' || c == '\x7f' {
			return false
		}
	}
	return true
}
