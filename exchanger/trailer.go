package exchanger

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"buckthorndrum/validator"
)

// trailerChecker is the body of an answer in chunks. It fails instead of ending if a field of
// the trailer has a malformed name, which net/http accepts.
type trailerChecker struct {
	io.ReadCloser
	resp *http.Response
}

// checkTrailer makes the body of an answer in chunks check its trailer.
func checkTrailer(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailerChecker{ReadCloser: resp.Body, resp: resp}
	}
}

// Read implements io.Reader.
func (c *trailerChecker) Read(b []byte) (int, error) {
	n, err := c.ReadCloser.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for name := range c.resp.Trailer {
		if !validator.IsFieldName([]byte(name)) {
			return n, errors.Errorf("answer has a trailer field with the name %.40q", name)
		}
	}
	return n, err
}
