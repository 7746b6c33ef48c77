package http1

import "strings"

// Class is a bit set of character classes.
type Class uint8

// The character classes.
const (
	TokenChar  Class = 1 << iota // of a token (RFC 9110, 5.6.2)
	ValueChar                    // of a field's value: visible, obs-text, space and tab (RFC 9110, 5.5)
	TargetChar                   // of a request target
	HostChar                     // of a host with its port
)

// charClasses maps each byte to the set of its classes.
var charClasses = func() (classes [256]Class) {
	for c := range 256 {
		alphanumeric := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if alphanumeric || c < 128 && strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0 {
			classes[c] |= TokenChar
		}
		if c >= ' ' && c != 127 || c == '\t' {
			classes[c] |= ValueChar
		}
		if c > ' ' && c < 127 && c != '#' {
			classes[c] |= TargetChar
		}
		if alphanumeric || c < 128 && strings.IndexByte("-._~!$&'()*+,;=:[]%", byte(c)) >= 0 {
			classes[c] |= HostChar
		}
	}
	return classes
}()

// AllOf reports whether s consists of one or more characters of a class.
func AllOf(s string, class Class) bool {
	for i := range len(s) {
		if charClasses[s[i]]&class == 0 {
			return false
		}
	}
	return s != ""
}

// IsToken reports whether s is a token.
func IsToken(s string) bool { return AllOf(s, TokenChar) }

// IsFieldValue reports whether s is a valid field value. The empty value is valid.
func IsFieldValue(s string) bool { return s == "" || AllOf(s, ValueChar) }
