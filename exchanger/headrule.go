package exchanger

import (
	"bytes"
	"net/http"

	"github.com/pkg/errors"

	"buckthorndrum/validator"
)

// headRule is the rule that the head of an answer keeps, with the interim answers before it.
// It is stricter than http.ReadResponse, which reads a status such as 000, takes a name with a
// blank for that of another field, joins a line that begins with a blank to the one before, and
// takes one of two contradictory statements of where the body ends.
//
// Source: RFC 9112, sections 2 to 6.
type headRule struct {
	// status is the status of the head, zero before its status line, and http10 reports
	// whether it is one of HTTP/1.0.
	status int
	http10 bool
	// hasLength and hasCoding report whether the head states the length of the body, or a
	// transfer coding such as chunks.
	hasLength, hasCoding bool
}

// next checks the next line of a head, without its end. last reports whether it is the last
// one of an answer that is no interim answer.
func (r *headRule) next(line []byte) (last bool, err error) {
	switch {
	case r.status == 0:
		return false, r.readStatusLine(line)
	case len(line) > 0:
		return false, r.readField(line)
	case r.hasCoding && (r.hasLength || r.http10):
		return false, errors.New("answer has a transfer coding beside a length or in HTTP/1.0")
	}
	interim := r.status < http.StatusOK && r.status != http.StatusSwitchingProtocols
	*r = headRule{}
	return !interim, nil
}

const (
	// minStatus and maxStatus bound the status of an answer.
	minStatus = 100
	maxStatus = 599
	// statusDigits is the length of a status.
	statusDigits = 3
)

// readStatusLine reads the status line of a head: the version of the protocol, a blank, the
// status, and possibly a blank and a reason.
func (r *headRule) readStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	if len(version) != len("HTTP/1.x") || !bytes.HasPrefix(version, []byte("HTTP/1.")) || !isDigit(version[len(version)-1]) {
		return errors.Errorf("answer has the version %.40q", version)
	}
	if len(status) != statusDigits || !isDigit(status[0]) || !isDigit(status[1]) || !isDigit(status[2]) {
		return errors.Errorf("answer has the status %.40q", status)
	}
	n := int(status[0]-'0')*100 + int(status[1]-'0')*10 + int(status[2]-'0')
	if n < minStatus || n > maxStatus {
		return errors.Errorf("answer has the status %s, which is not from %d to %d", status, minStatus, maxStatus)
	}
	if !validator.IsFieldValue(reason) {
		return errors.Errorf("reason %.40q of the answer has a control byte", reason)
	}
	r.status, r.http10 = n, bytes.Equal(version, []byte("HTTP/1.0"))
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// readField reads the line of a header field. A line that begins with a blank is none: a
// target must not fold a value, and what stands there may be a field whose name is broken.
func (r *headRule) readField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !validator.IsFieldName(name) {
		return errors.Errorf("answer has a header field with the name %.40q", name)
	}
	if !validator.IsFieldValue(value) {
		return errors.Errorf("header field %.40q of the answer has a control byte", name)
	}
	r.hasLength = r.hasLength || bytes.EqualFold(name, []byte("Content-Length"))
	r.hasCoding = r.hasCoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	return nil
}
