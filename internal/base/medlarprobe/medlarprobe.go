// Package medlarprobe finds out whether the peer of an idle connection has gone,
// which a server otherwise notices at its next write only.
package medlarprobe

import (
	"net"
	"syscall"
)

// unwrapper is a connection around another one, such as a TLS connection.
type unwrapper interface{ NetConn() net.Conn }

// Gone reports whether the peer of a TCP connection has closed it. It looks
// without reading. It returns false for connections that it cannot look into.
func Gone(c net.Conn) bool { return look(c) == stateGone }

// Idle reports whether a TCP connection is open and nothing has come that was not
// read. It returns true for connections that it cannot look into.
func Idle(c net.Conn) bool { return look(c) == stateQuiet }

// state is what a look at a connection finds.
type state int

const (
	stateQuiet state = iota // open, nothing to read
	stateReadable
	stateGone
)

func look(c net.Conn) state {
	for {
		u, ok := c.(unwrapper)
		if !ok {
			break
		}
		c = u.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return stateQuiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return stateGone
	}
	return peek(raw)
}

// peek looks at the receive buffer: no byte and no error means end of stream. It
// uses Control, since Read fails once a deadline of the connection has passed.
func peek(raw syscall.RawConn) state {
	found := stateGone
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN, err == syscall.EINTR:
			found = stateQuiet
		case n > 0 && err == nil:
			found = stateReadable
		}
	})
	if err != nil {
		return stateGone
	}
	return found
}
