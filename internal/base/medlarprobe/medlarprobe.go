// Package medlarprobe detects that the peer of an idle connection has closed it,
// without reading from the connection. A server otherwise notices only at its next
// write. It also tells whether the peer has acknowledged what was written.
package medlarprobe

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unwrapper is a connection that wraps another one, such as a TLS connection.
type unwrapper interface{ NetConn() net.Conn }

// buffer is a connection that reads ahead of what is asked for.
type buffer interface{ Buffered() int }

// Gone reports whether the peer of a TCP connection has closed or reset it. It
// consumes no data. It returns false for connections that it cannot inspect.
func Gone(c net.Conn) bool { return inspect(c) == stateGone }

// Idle reports whether a TCP connection is open and has no unread data. It returns
// true for connections that it cannot inspect.
func Idle(c net.Conn) bool { return inspect(c) == stateIdle }

// state is the observed state of a connection.
type state int

const (
	stateIdle state = iota // open, no unread data
	stateReadable
	stateGone
)

func inspect(c net.Conn) state {
	for {
		if b, ok := c.(buffer); ok && b.Buffered() > 0 {
			return stateReadable
		}
		u, ok := c.(unwrapper)
		if !ok {
			break
		}
		c = u.NetConn()
	}
	raw, ok := rawOf(c)
	switch {
	case !ok:
		return stateIdle
	case raw == nil:
		return stateGone
	}
	return peek(raw)
}

// rawOf returns the raw connection of c, nil if it is closed; ok is false for connections that cannot be inspected.
func rawOf(c net.Conn) (raw syscall.RawConn, ok bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, true
	}
	return raw, true
}

// Unacknowledged reports whether the peer of a TCP connection has not acknowledged all that was written. It returns false for
// connections that it cannot inspect.
func Unacknowledged(c net.Conn) bool {
	for {
		u, ok := c.(unwrapper)
		if !ok {
			break
		}
		c = u.NetConn()
	}
	raw, _ := rawOf(c)
	if raw == nil {
		return false
	}
	left := 0
	err := raw.Control(func(fd uintptr) {
		left, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return err == nil && left > 0
}

// peek examines the receive buffer without consuming it: zero bytes and no error
// mean end of stream. It uses Control because RawConn.Read fails once the read
// deadline of the connection has passed.
func peek(raw syscall.RawConn) state {
	found := stateGone
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN, err == syscall.EINTR:
			found = stateIdle
		case n > 0 && err == nil:
			found = stateReadable
		}
	})
	if err != nil {
		return stateGone
	}
	return found
}
