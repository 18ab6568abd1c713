package medlarfakereplica

import "strings"

// endlessBlock is the least size of one write of bytes without end.
const endlessBlock = 32 << 10

// endless returns what a fault without end sends first, and then again and again; ok is false for
// any other fault.
func (x *exchange) endless() (start, repeat string, ok bool) {
	ok200 := "HTTP/1.1 200 OK\r\n"
	signed := ok200 + x.requestIDField() + "Medlarfield-Server-Signature: sig\r\n"
	stream := signed + "Content-Type: text/event-stream\r\n\r\n"
	switch x.fault {
	case FaultEndlessLine:
		return "", "x", true
	case FaultEndlessHead:
		return signed, "X-More: 1\r\n", true
	case FaultEndlessHeads:
		return "", "HTTP/1.1 102 Processing\r\n\r\n", true
	case FaultEndlessForeign:
		return ok200 + headerID + ": another\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", true
	case FaultEndlessBusy:
		return "HTTP/1.1 503 Busy\r\n" + x.requestIDField() + notExecuted + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", true
	case FaultEndlessUnsigned:
		return ok200 + x.requestIDField() + "\r\n", "x", true
	case FaultEndlessChunk:
		return signed + "Transfer-Encoding: chunked\r\n\r\n", "0", true
	case FaultEndlessBody:
		return signed + "\r\n", "x", true
	case FaultEndlessEvent:
		return stream + "data: ", "x", true
	case FaultEndlessComment:
		return stream, ": x\n\n", true
	}
	return "", "", false
}

// sendEndlessly sends bytes until the caller closes the connection.
func (x *exchange) sendEndlessly(start, repeat string) bool {
	text := start
	block := strings.Repeat(repeat, endlessBlock/len(repeat)+1)
	for {
		n, err := x.conn.Write([]byte(text))
		x.replica.endless.Add(int64(n))
		if err != nil {
			return false
		}
		text = block
	}
}
