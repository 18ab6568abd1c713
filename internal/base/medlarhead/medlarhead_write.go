package medlarhead

import (
	"net/http"
	"strconv"
)

// AppendRequest appends a request line to b.
func AppendRequest(b []byte, method, target string) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	return append(b, " HTTP/1.1\r\n"...)
}

// AppendStatus appends a status line to b.
func AppendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	return append(b, "\r\n"...)
}

// AppendField appends a header field to b.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendLength appends the Content-Length field to b.
func AppendLength(b []byte, n int) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, "\r\n"...)
}

// AppendEnd appends the empty line that ends a head.
func AppendEnd(b []byte) []byte { return append(b, "\r\n"...) }

// AppendChunkedEnd ends a head whose body is chunked: it appends the
// Transfer-Encoding field and the empty line.
func AppendChunkedEnd(b []byte) []byte {
	return AppendEnd(AppendField(b, "Transfer-Encoding", "chunked"))
}

// AppendChunk appends one chunk; data must not be empty, as an empty chunk ends the body.
func AppendChunk(b, data []byte) []byte {
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	b = append(b, data...)
	return append(b, "\r\n"...)
}

// LastChunk ends a chunked body without trailers.
const LastChunk = "0\r\n\r\n"
