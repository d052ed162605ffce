package validator

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestFieldNames(t *testing.T) {
	g := NewWithT(t)
	for _, name := range []string{"X", "x-y", "!#$%&'*+-.^_`|~09AZaz"} {
		g.Expect(IsFieldName([]byte(name))).To(BeTrue(), "%q", name)
	}
	for _, name := range []string{"", " ", "X ", " X", "X Y", "X\t", "X:", "X\x00", "X\x1f", "X\x7f", "\xc3\xa4", "\"X\"", "(X)", "X/Y", "X,Y"} {
		g.Expect(IsFieldName([]byte(name))).To(BeFalse(), "%q", name)
	}
}

func TestFieldValues(t *testing.T) {
	g := NewWithT(t)
	for _, value := range []string{"", " ", "a\tb", "\"(x)\", {y}", "\xc3\xa4\xff"} {
		g.Expect(IsFieldValue([]byte(value))).To(BeTrue(), "%q", value)
	}
	for _, value := range []string{"\x00", "a\rb", "a\nb", "\x1f", "\x7f"} {
		g.Expect(IsFieldValue([]byte(value))).To(BeFalse(), "%q", value)
	}
}
