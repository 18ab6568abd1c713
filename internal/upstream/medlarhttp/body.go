package medlarhttp

import (
	"bytes"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// smallBody is the length up to which any number of bodies are read at once, in bytes.
const smallBody = 1 << 20

// errOversized reports a response whose body is longer than the limit.
var errOversized = eris.New("response body exceeds the limit")

// bodyReader reads the bodies of responses. It holds one body beyond smallBody at a time (R6).
type bodyReader struct {
	large chan struct{} // has an element while a large body is read
}

func newBodyReader() *bodyReader { return &bodyReader{large: make(chan struct{}, 1)} }

// read reads a body to its end. A body that is longer than limit is an error.
func (b *bodyReader) read(a *answer, deadline time.Time, limit int) ([]byte, error) {
	if a.length() > int64(limit) {
		return nil, errOversized
	}
	body, err := b.readAll(io.LimitReader(a, int64(limit)+1), deadline)
	switch {
	case err != nil:
		return nil, err
	case len(body) > limit:
		return nil, errOversized
	case time.Now().After(deadline):
		return nil, fasthttp.ErrTimeout
	}
	return body, nil
}

// readAll reads r to its end.
func (b *bodyReader) readAll(r io.Reader, deadline time.Time) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, smallBody+1))
	if err != nil || len(body) <= smallBody {
		return body, err
	}
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case b.large <- struct{}{}:
	case <-timeout.C:
		return nil, fasthttp.ErrTimeout
	}
	defer func() { <-b.large }()
	buf := bytes.NewBuffer(body)
	_, err = io.Copy(buf, r)
	return buf.Bytes(), err
}
