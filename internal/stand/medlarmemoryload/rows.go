package medlarmemoryload

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"medlarfield/internal/base/medlarid"
)

// Sizes of requests in bytes.
const (
	wholeBody   = 1 << 20 // the limit of the emulated platform
	missing     = 10      // bytes that an unfinished body lacks
	bigChunk    = 64 << 10
	smallChunks = 200_000 // chunks of one byte in a body
	farOver     = 8 << 20
	headBytes   = 8000 // below the limit of the emulated platform
	answerBody  = 256 << 10
)

// Row is a kind of client.
type Row struct {
	Name    string
	Clients int
	// Platform has the flags of medlarstand platform that the row needs.
	Platform string
	// send writes the request of client n. It may stop short of its end.
	send func(w io.Writer, n int) error
	// slow clients read their answers byte by byte.
	slow bool
}

// slots lets the replicas of the emulated platform take more requests at once than a row has clients.
const slots = "--slots 400"

// Rows lists the kinds of clients.
var Rows = []Row{
	{Name: "chunked bodies, 10 bytes short", Clients: 200, send: func(w io.Writer, _ int) error { return sendChunked(w, wholeBody-missing, false) }},
	{Name: "bodies of a length, 10 bytes short", Clients: 200, send: func(w io.Writer, _ int) error { return sendLength(w, wholeBody, wholeBody-missing) }},
	{Name: "chunks of one byte", Clients: 200, send: sendSmallChunks},
	{Name: "whole bodies", Clients: 200, Platform: slots, send: func(w io.Writer, _ int) error { return sendLength(w, wholeBody, wholeBody) }},
	{Name: "bodies far over the limit", Clients: 200, send: sendFarOver},
	{Name: "unfinished heads", Clients: 600, send: func(w io.Writer, _ int) error { return sendHead(w) }},
	{
		Name: "answers read slowly", Clients: 200, Platform: slots + " --answer 1048576", slow: true,
		send: func(w io.Writer, _ int) error { return sendLength(w, answerBody, answerBody) },
	},
	{
		Name: "bodies that replicas read late", Clients: 200, Platform: slots + " --read-delay 2s",
		send: func(w io.Writer, _ int) error { return sendLength(w, wholeBody, wholeBody) },
	},
}

// filler is the content of bodies.
var filler = bytes.Repeat([]byte("x"), bigChunk)

// sendLength announces a body of length bytes and sends the first n of them.
func sendLength(w io.Writer, length, n int) error {
	if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", requestHead("POST", "/read/body"), length); err != nil {
		return err
	}
	for n > 0 {
		sent, err := w.Write(filler[:min(n, len(filler))])
		if err != nil {
			return err
		}
		n -= sent
	}
	return nil
}

// sendChunked sends n bytes of a body in large chunks; the last chunk lacks its end unless whole is set.
func sendChunked(w io.Writer, n int, whole bool) error {
	if err := sendChunkedHead(w); err != nil {
		return err
	}
	for n > 0 {
		size := min(n, len(filler))
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", size, filler[:size]); err != nil {
			return err
		}
		n -= size
	}
	if whole {
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err
	}
	return nil
}

func sendChunkedHead(w io.Writer) error {
	_, err := io.WriteString(w, requestHead("POST", "/read/body")+"Transfer-Encoding: chunked\r\n\r\n")
	return err
}

// sendSmallChunks sends a body in chunks of one byte, without the last one.
func sendSmallChunks(w io.Writer, _ int) error {
	if err := sendChunkedHead(w); err != nil {
		return err
	}
	const atOnce = 1000
	chunks := strings.Repeat("1\r\nx\r\n", atOnce)
	for range smallChunks / atOnce {
		if _, err := io.WriteString(w, chunks); err != nil {
			return err
		}
	}
	return nil
}

// sendFarOver sends a body far over the limit: announced by every other client, in chunks by the rest.
func sendFarOver(w io.Writer, n int) error {
	if n%2 == 0 {
		return sendLength(w, farOver, farOver)
	}
	return sendChunked(w, farOver, true)
}

// sendHead sends a head without its end.
func sendHead(w io.Writer) error {
	head := requestHead("POST", "/read/body") + "Padding: "
	_, err := io.WriteString(w, head+strings.Repeat("x", headBytes-len(head)))
	return err
}

func dial(at medlarid.Address) (net.Conn, error) {
	return net.DialTimeout("tcp", string(at), probeTimeout)
}

// Pace and receive buffer of a client that reads slowly. The buffer is small so that the answer stays with the instance.
const (
	slowInterval = 100 * time.Millisecond
	slowBuffer   = 4096 // bytes
)

// runClient runs client n of a row until end and returns what it got.
func runClient(at medlarid.Address, r Row, n int, end time.Time) string {
	c, err := dial(at)
	if err != nil {
		return "not connected"
	}
	defer func() { _ = c.Close() }()
	if tcp, ok := c.(*net.TCPConn); ok && r.slow {
		_ = tcp.SetReadBuffer(slowBuffer)
	}
	_ = c.SetDeadline(end)
	sendErr := r.send(c, n) // an instance may answer and close before it has read the request
	buf := make([]byte, len("HTTP/1.1 200"))

	if _, err := io.ReadFull(c, buf); err != nil {
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() && sendErr == nil {
			return "open"
		}
		return "closed"
	}
	if r.slow {
		for time.Now().Before(end) {
			time.Sleep(slowInterval)
			if _, err := c.Read(buf[:1]); err != nil {
				break
			}
		}
		return string(buf[len(buf)-3:])
	}
	_, _ = io.Copy(io.Discard, c) // stays connected until the instance closes, or until the end
	return string(buf[len(buf)-3:])
}
