// Package medlartunnel opens connections to replicas through other instances.
//
// Rules:
//
//	R1  The first message names the sender, the key of the instance that is asked, and the replica
//	    by its id. An instance opens connections only for a sender that knows its key, only to
//	    replicas that it knows under the same incarnation and sends requests to itself, and
//	    only directly, so that nothing is relayed twice.
//	R2  The answer is one byte. After ResultOpened the bytes of both sides are copied, unread and
//	    unchanged: the instance that asked decides, counts and retries as on any connection.
//	R3  The bytes of the replica come in frames, and an end frame follows when the replica has ended the connection
//	    in an orderly way and has received all that was written to it. Without an end frame the bytes were broken off, by the
//	    replica or by the instance between.
//	R4  When the instance that asked closes the connection, the one to the replica is closed too.
//	R5  An instance can also be asked whether a replica answers it now. A connection that opens does not prove that.
//	R6  What a replica has stated to one side about further requests is passed to the other one, and by the instance
//	    between to all for which it relays, since the replica states it to the instance between and does not know who has
//	    asked.
//	R7  An instance can also be asked for the contents of KV stores (medlarstorerelay). An instance that does not pass them
//	    on answers ResultUnused, as for a replica that it does not know. These connections don't delay a stop.
package medlartunnel

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"medlarfield/internal/base/medlarid"
)

// Timeouts and sizes.
const (
	helloTimeout  = 500 * time.Millisecond // for the first message of a connection
	dialTimeout   = 200 * time.Millisecond // to another instance
	answerTimeout = 400 * time.Millisecond // for the answer of another instance
	readBuffer    = 4096                   // bytes
)

// Key authenticates requests to one start of an instance (R1).
type Key uint64

// Peer is where another instance takes requests, and the key that they need.
type Peer struct {
	Address medlarid.Address
	Key     Key
}

// Result is the answer to a request.
type Result byte

// Results.
const (
	ResultOpened  Result = 1
	ResultRefused Result = 2 // the replica refuses connections
	ResultSilent  Result = 3 // the replica does not answer
	ResultCut     Result = 4 // the instance does not reach the replica itself, while others do
	ResultUnused  Result = 5 // the instance does not know the replica, or sends it nothing at present
	ResultDenied  Result = 6 // wrong key, too many connections, or no memory for another one
	ResultTaken   Result = 7 // a hint was taken
	ResultAnswers Result = 8 // the replica has answered the instance just now
	ResultFollows Result = 9 // the contents of KV stores follow
)

// Op names the operation that failed.
type Op string

// Operations.
const (
	OpListen Op = "listen"
	OpOpen   Op = "open"
	OpTell   Op = "tell"
	OpProve  Op = "prove"

	OpSubscribe Op = "subscribe"
)

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindUnreachable Kind = "unreachable" // the other instance
	KindAnswered    Kind = "answered"    // the other instance answered otherwise, see Result
)

// Error is a failed operation.
type Error struct {
	Op     Op
	Kind   Kind
	Result Result // with KindAnswered
	Err    error
}

// Error returns operation, kind and cause.
func (e *Error) Error() string {
	return fmt.Sprintf("tunnel: %s: %s %d: %v", e.Op, e.Kind, e.Result, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client asks other instances for connections to replicas. It is safe for concurrent use.
type Client struct {
	self    medlarid.InstanceID
	control func(network, address string, c syscall.RawConn) error // sets the options of sockets
}

// NewClient returns a Client of an instance. control sets the options of its sockets; nil sets none.
func NewClient(self medlarid.InstanceID, control func(network, address string, c syscall.RawConn) error) *Client {
	return &Client{self: self, control: control}
}

// Open opens a connection to a replica through another instance.
func (c *Client) Open(ctx context.Context, p Peer, replica medlarid.InstanceID, incarnation medlarid.Incarnation) (*Conn, error) {
	q := request{sender: c.self, key: p.Key, hint: Hint{Replica: replica, Incarnation: incarnation}}
	conn, result, err := c.ask(ctx, OpOpen, p, &q)
	if err != nil {
		return nil, err
	}
	if result != ResultOpened {
		_ = conn.Close()
		return nil, &Error{Op: OpOpen, Kind: KindAnswered, Result: result, Err: eris.New("connection is not opened")}
	}
	return &Conn{Conn: conn, frames: frameReader{r: bufio.NewReaderSize(conn, readBuffer)}}, nil
}

// Prove asks another instance whether a replica answers it now, and returns nil if it does (R5).
func (c *Client) Prove(ctx context.Context, p Peer, replica medlarid.InstanceID, incarnation medlarid.Incarnation) error {
	q := request{sender: c.self, key: p.Key, prove: true, hint: Hint{Replica: replica, Incarnation: incarnation}}
	conn, result, err := c.ask(ctx, OpProve, p, &q)
	if err != nil {
		return err
	}
	_ = conn.Close()
	if result != ResultAnswers {
		return &Error{Op: OpProve, Kind: KindAnswered, Result: result, Err: eris.New("replica does not answer there")}
	}
	return nil
}

// Subscribe opens a connection on which another instance passes on the contents of KV stores (R7).
func (c *Client) Subscribe(ctx context.Context, p Peer) (net.Conn, error) {
	conn, result, err := c.ask(ctx, OpSubscribe, p, &request{sender: c.self, key: p.Key, subscribe: true})
	if err != nil {
		return nil, err
	}
	if result != ResultFollows {
		_ = conn.Close()
		return nil, &Error{Op: OpSubscribe, Kind: KindAnswered, Result: result, Err: eris.New("contents of stores are not passed on")}
	}
	return conn, nil
}

// Tell passes on what a replica has stated to this instance (R6).
func (c *Client) Tell(ctx context.Context, p Peer, h Hint) error {
	conn, result, err := c.ask(ctx, OpTell, p, &request{sender: c.self, key: p.Key, hint: h})
	if err != nil {
		return err
	}
	_ = conn.Close()
	if result != ResultTaken {
		return &Error{Op: OpTell, Kind: KindAnswered, Result: result, Err: eris.New("hint is not taken")}
	}
	return nil
}

// ask sends a request on a new connection and returns the answer.
func (c *Client) ask(ctx context.Context, op Op, p Peer, q *request) (net.Conn, Result, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: c.control}
	conn, err := d.DialContext(ctx, "tcp4", string(p.Address))
	if err != nil {
		return nil, 0, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	var answer [1]byte
	if _, err = conn.Write(q.encode()); err == nil {
		_, err = conn.Read(answer[:])
	}
	if err != nil {
		_ = conn.Close()
		return nil, 0, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	_ = conn.SetDeadline(time.Time{})
	return conn, Result(answer[0]), nil
}

// Conn is a connection to a replica through another instance.
type Conn struct {
	net.Conn
	frames frameReader
}

// Read reads what the replica sends. It returns io.EOF only if the replica has ended the connection (R3).
func (c *Conn) Read(b []byte) (int, error) { return c.frames.read(b) }

// Buffered returns the number of bytes that were received and not read.
func (c *Conn) Buffered() int { return c.frames.buffered() }

// NetConn returns the connection to the other instance.
func (c *Conn) NetConn() net.Conn { return c.Conn }
