package resp

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
)

// Guards against malformed requests and lengths that cost memory, time or a crash before they are checked.
func TestReadCommandMalformed(t *testing.T) {
	for _, in := range []string{
		"PING\r\n", "*\r\n", "*0\r\n", "*-1\r\n", "*1000000000\r\n", "*99999999999999999999\r\n", "*1\n$4\r\nPING\r\n",
		"*1\r\n:4\r\n", "*1\r\n$-1\r\n", "*1\r\n$9223372036854775807\r\n", "*1\r\n$65537\r\n", "*1\r\n$4\r\nPINGxx",
		"*+1\r\n$4\r\nPING\r\n", "\r\n\r\n", "\x00\x00\x00\n", "*" + strings.Repeat("1", 100), "*1\r\n*1\r\n",
	} {
		_, err := readCommand(bufio.NewReader(strings.NewReader(in)), nil)
		if !errors.Is(err, errProtocol) {
			t.Errorf("%q: got %v, want a protocol error", in, err)
		}
	}
}

func TestReadCommandCutOff(t *testing.T) {
	whole := "*2\r\n$4\r\nPING\r\n$2\r\nab\r\n"
	for i := 1; i < len(whole); i++ {
		if _, err := readCommand(bufio.NewReader(strings.NewReader(whole[:i])), nil); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: got %v", whole[:i], err)
		}
	}
	args, err := readCommand(bufio.NewReader(strings.NewReader(whole)), nil)
	if err != nil || len(args) != 2 || string(args[0]) != "PING" || string(args[1]) != "ab" {
		t.Errorf("got %q, %v", args, err)
	}
}
