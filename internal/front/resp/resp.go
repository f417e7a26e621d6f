package resp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"

	"cometrack/internal/message"
)

// Bounds of a request. A longer one is a protocol error.
const (
	maxArgs = 16
	maxBulk = message.MaxBody
	maxLine = 64 // length lines
)

// errProtocol marks what is not a RESP2 request; the connection cannot go on.
var errProtocol = errors.New("protocol error")

// readCommand reads one request: an array of bulk strings. All lengths are
// checked before memory is taken for them; large is asked once before a request
// takes more than a small one's.
func readCommand(r *bufio.Reader, large func() error) ([][]byte, error) {
	n, err := readLength(r, '*', maxArgs)
	if err != nil {
		return nil, err
	}
	if n == 0 {
		return nil, fmt.Errorf("%w: empty request", errProtocol)
	}
	args := make([][]byte, n)
	sum, asked := 0, false
	for i := range args {
		size, err := readLength(r, '$', maxBulk)
		if err != nil {
			return nil, unexpected(err)
		}
		if sum += size; sum > largeRequest {
			return nil, fmt.Errorf("%w: request over %d", errProtocol, largeRequest)
		}
		if sum > smallRequest && !asked {
			asked = true
			if err := large(); err != nil {
				return nil, err
			}
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, unexpected(err)
		}
		if b[size] != '\r' || b[size+1] != '\n' {
			return nil, fmt.Errorf("%w: bulk string without its end", errProtocol)
		}
		args[i] = b[:size]
	}
	return args, nil
}

func readLength(r *bufio.Reader, mark byte, most int) (int, error) {
	var line []byte
	for {
		c, err := r.ReadByte()
		if err != nil {
			if len(line) > 0 {
				err = unexpected(err)
			}
			return 0, err
		}
		line = append(line, c)
		if c == '\n' {
			break
		}
		if len(line) >= maxLine {
			return 0, fmt.Errorf("%w: length line too long", errProtocol)
		}
	}
	if len(line) < 4 || line[0] != mark || line[len(line)-2] != '\r' {
		return 0, fmt.Errorf("%w: want a line of %q and a length", errProtocol, mark)
	}
	n, err := strconv.ParseUint(string(line[1:len(line)-2]), 10, 31)
	if err != nil {
		return 0, fmt.Errorf("%w: bad length", errProtocol)
	}
	if n > uint64(most) {
		return 0, fmt.Errorf("%w: length over %d", errProtocol, most)
	}
	return int(n), nil
}

// unexpected turns the end of the input into one inside a request.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
