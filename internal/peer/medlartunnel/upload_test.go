package medlartunnel

import (
	"io"
	"net"
	"testing"
	"time"

	"medlarfield/internal/base/medlarprobe"
)

// TestEndDuringUpload guards against an answer that looks complete although the replica ended the connection while the instance
// between wrote the upload: the failed write takes the error of the connection, and the read that follows finds an orderly end.
// What the instance between has not received yet shows at the one that asked.
func TestEndDuringUpload(t *testing.T) {
	const uploadBytes, rounds = 600_000, 20
	for _, tc := range []struct {
		name string
		end  func(far *net.TCPConn)
	}{
		{"reset", func(far *net.TCPConn) { _ = far.SetLinger(0) }},
		{"reset a moment later", func(far *net.TCPConn) {
			time.Sleep(20 * time.Millisecond)
			_ = far.SetLinger(0)
		}},
		{"orderly end, then reset", func(far *net.TCPConn) {
			_ = far.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_ = far.SetLinger(0)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.writeBuffer = 16 << 10
			complete := 0
			for range rounds {
				near, far := f.open()
				written := make(chan error, 1)
				go func() {
					_, err := near.Write(make([]byte, uploadBytes))
					written <- err
				}()
				time.Sleep(10 * time.Millisecond) // the upload fills the buffers
				send(t, far, "half")
				assertReads(t, near, "half")
				tc.end(far.(*net.TCPConn))
				_ = far.Close()
				_, err := near.Read(make([]byte, 8))
				unread := medlarprobe.Unacknowledged(near)
				_ = near.SetWriteDeadline(time.Now().Add(writeWait))
				if writeErr := <-written; err == io.EOF && !unread && writeErr == nil {
					complete++
				}
				_ = near.Close()
			}
			if complete > 0 {
				t.Errorf("%d of %d answers that were broken off look complete", complete, rounds)
			}
		})
	}
}
