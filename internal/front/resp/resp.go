package resp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"

	"cometrack/internal/message"
)

// Bounds of a request. A request beyond them is a protocol error.
const (
	maxArgs       = 16              // number of arguments
	maxBulk       = message.MaxBody // bytes of one argument
	maxLengthLine = 64              // bytes of a line with a length
)

// errProtocol reports input that is not a RESP2 request. The connection can't be resynchronized after it.
var errProtocol = errors.New("protocol error")

// readCommand reads one request, an array of bulk strings. It checks each length before it allocates memory, and
// calls admitLarge once before it reads more than smallRequestBytes.
func readCommand(r *bufio.Reader, admitLarge func() error) ([][]byte, error) {
	n, err := readLength(r, '*', maxArgs)
	if err != nil {
		return nil, err
	}
	if n == 0 {
		return nil, fmt.Errorf("%w: empty request", errProtocol)
	}
	args := make([][]byte, n)
	sum, admitted := 0, false
	for i := range args {
		size, err := readLength(r, '$', maxBulk)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if sum += size; sum > maxRequestBytes {
			return nil, fmt.Errorf("%w: request over %d", errProtocol, maxRequestBytes)
		}
		if sum > smallRequestBytes && !admitted {
			admitted = true
			if err := admitLarge(); err != nil {
				return nil, err
			}
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, unexpectedEOF(err)
		}
		if b[size] != '\r' || b[size+1] != '\n' {
			return nil, fmt.Errorf("%w: bulk string without its end", errProtocol)
		}
		args[i] = b[:size]
	}
	return args, nil
}

// readLength reads a line with a length: prefix, decimal digits and CRLF.
func readLength(r *bufio.Reader, prefix byte, maxLength int) (int, error) {
	var line []byte
	for {
		c, err := r.ReadByte()
		if err != nil {
			if len(line) > 0 {
				err = unexpectedEOF(err)
			}
			return 0, err
		}
		line = append(line, c)
		if c == '\n' {
			break
		}
		if len(line) >= maxLengthLine {
			return 0, fmt.Errorf("%w: length line too long", errProtocol)
		}
	}
	if len(line) < 4 || line[0] != prefix || line[len(line)-2] != '\r' {
		return 0, fmt.Errorf("%w: want a line of %q and a length", errProtocol, prefix)
	}
	n, err := strconv.ParseUint(string(line[1:len(line)-2]), 10, 31)
	if err != nil {
		return 0, fmt.Errorf("%w: bad length", errProtocol)
	}
	if n > uint64(maxLength) {
		return 0, fmt.Errorf("%w: length over %d", errProtocol, maxLength)
	}
	return int(n), nil
}

// unexpectedEOF returns err with io.EOF replaced by io.ErrUnexpectedEOF, for input that ends inside a request.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
