// Package medlarupload writes requests to upstreams, and reports whether they were written in full.
//
// Rules:
//
//	R1  A long body is written in the background while the response is read, as the upstream may respond before it has
//	    read all of the body.
package medlarupload

import (
	"io"
	"time"

	"github.com/rotisserie/eris"

	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarprobe"
	"medlarfield/internal/edge/medlarpool"
)

// MaxInlineBody is the size of a body in bytes up to which it is written together with the head of its request.
const MaxInlineBody = 16 << 10

// writeWait bounds the rest of a write in the background after the upstream has ended the connection.
const writeWait = 50 * time.Millisecond

// errUnread reports a response that only the end of the connection delimits, to a request that was not written in full.
var errUnread = &medlarhead.Error{Op: medlarhead.OpBody, Kind: medlarhead.KindBroken, Err: eris.Wrap(io.ErrUnexpectedEOF, "the connection ended before the request was written")}

// Upload is a request that is being written.
type Upload struct {
	conn *medlarpool.Conn
	body chan error // result of a body write in the background; nil for none
}

// Start writes a request (R1).
func Start(c *medlarpool.Conn, head, body []byte) (Upload, error) {
	u := Upload{conn: c}
	if len(body) <= MaxInlineBody {
		_, err := c.Write(append(head, body...))
		return u, err
	}
	if _, err := c.Write(head); err != nil {
		return u, err
	}
	u.body = make(chan error, 1)
	go func() {
		_, err := c.Write(body)
		u.body <- err
	}()
	return u, nil
}

// Await returns a function that is called once the upstream has ended the connection; nil if Start wrote the request in full.
// The function waits for the end of the write, writeWait at most. It returns an error if the body was not written in full, or
// if the upstream had not received all of it when it ended the connection.
func (u Upload) Await() func() error {
	if u.body == nil {
		return nil
	}
	return func() error {
		unread := medlarprobe.Unacknowledged(u.conn.Conn)
		_ = u.conn.SetWriteDeadline(time.Now().Add(writeWait))
		err := <-u.body
		u.body <- err                                                        // for Written
		if err != nil || unread || medlarprobe.Unacknowledged(u.conn.Conn) { // the write may have gone on after the first check
			return errUnread
		}
		return nil
	}
}

// Written reports whether the request was written in full. It is called once.
func (u Upload) Written() bool {
	if u.body == nil {
		return true
	}
	select {
	case err := <-u.body:
		return err == nil
	default:
		return false
	}
}
