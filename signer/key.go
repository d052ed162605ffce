package signer

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"buckthorndrum/identifier"
)

// Key is a minted key: a promise of one agent incarnation to run at most one
// request under it.
type Key struct {
	Origin   identifier.Origin
	Sequence uint64
	Class    identifier.Class
}

// keyVersion starts every minted key.
const keyVersion = "bk1"

// macLength is the length of the authentication code, in bytes.
const macLength = 16

// Signer signs keys with a secret that all processes of one fleet share.
type Signer struct {
	secret []byte
}

// New returns a signer with the fleet's secret.
func New(secret string) *Signer { return &Signer{secret: []byte(secret)} }

// Format renders key k with its authentication code:
// bk1~target~incarnation~sequence~kind~code. The workspace is not rendered; it
// is that of the caller who presents the key.
func (s *Signer) Format(k Key) string {
	return strings.Join([]string{
		keyVersion,
		string(k.Origin.Target),
		strconv.FormatUint(uint64(k.Origin.Incarnation), 16),
		strconv.FormatUint(k.Sequence, 10),
		string(k.Class.Kind),
		s.code(k),
	}, "~")
}

// Minted tells whether v looks like a minted key rather than a caller's own.
func Minted(v string) bool { return strings.HasPrefix(v, keyVersion+"~") }

// Parse checks a rendered key that a caller of workspace w presents.
func (s *Signer) Parse(v string, w identifier.Workspace) (Key, error) {
	f := strings.Split(v, "~")
	if len(f) != keyFields || f[0] != keyVersion {
		return Key{}, fmt.Errorf("key %.64q is not of the form %s~target~incarnation~sequence~kind~code", v, keyVersion)
	}
	incarnation, err := strconv.ParseUint(f[2], 16, 64)
	if err != nil {
		return Key{}, fmt.Errorf("key %.64q has incarnation %.32q, which is not a hexadecimal number", v, f[2])
	}
	sequence, err := strconv.ParseUint(f[3], 10, 64)
	if err != nil {
		return Key{}, fmt.Errorf("key %.64q has sequence %.32q, which is not a number", v, f[3])
	}
	k := Key{
		Origin:   identifier.Origin{Target: identifier.Target(f[1]), Incarnation: identifier.Incarnation(incarnation)},
		Sequence: sequence,
		Class:    identifier.Class{Kind: identifier.Kind(f[4]), Workspace: w},
	}
	if !hmac.Equal([]byte(s.code(k)), []byte(f[5])) {
		return Key{}, fmt.Errorf("key %.64q was not minted for workspace %q", v, w)
	}
	return k, nil
}

// keyFields is how many parts a rendered key has.
const keyFields = 6

func (s *Signer) code(k Key) string {
	m := hmac.New(sha256.New, s.secret)
	_, _ = fmt.Fprintf(m, "%s|%x|%d|%s|%s", k.Origin.Target, uint64(k.Origin.Incarnation), k.Sequence, k.Class.Kind, k.Class.Workspace)
	return hex.EncodeToString(m.Sum(nil)[:macLength])
}

// HashToken returns the stored form of a bearer token.
func HashToken(token string) string {
	h := sha256.Sum256([]byte(token))
	return hex.EncodeToString(h[:])
}

// SameHash compares two stored forms in constant time.
func SameHash(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
