package wasabiheld

import (
	"errors"
	"io"

	"github.com/wasabiridge/wasabiridge"
)

// ErrNoRoom is returned for a body that finds no room.
var ErrNoRoom = wasabiridge.ErrUnavailable.New("held: no room for the body of the request")

const (
	// firstBytes is the most that is allocated for a body before any of it was received, and
	// unknownBytes if its length is not known.
	firstBytes   = 64 << 10
	unknownBytes = 4 << 10
)

// ReadAll reads a body to its end and reserves the memory that it takes, times a factor.
// Memory is taken as the body arrives: a caller that only declares a length holds next to
// none. A declared length of zero or less means that it is not known. It returns
// ErrNoRoom as soon as it is clear that the body finds no room, and else the error of the
// source, if any; what was read is returned in each case.
func (h *Handle) ReadAll(source io.Reader, declared, factor int64) ([]byte, error) {
	if !h.hasRoom(max(declared, 0) * factor) {
		return nil, ErrNoRoom
	}
	capacity := int64(unknownBytes)
	if declared > 0 {
		capacity = min(declared, firstBytes)
	}
	if !h.Reserve(capacity * factor) {
		return nil, ErrNoRoom
	}
	body := make([]byte, 0, capacity)
	for {
		if len(body) == cap(body) {
			if int64(len(body)) == declared {
				return h.expectEnd(source, body)
			}
			next := grown(int64(cap(body)), declared)
			if !h.Reserve((next - int64(cap(body))) * factor) {
				return body, ErrNoRoom
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := h.read(source, body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// expectEnd reads the end of a body whose bytes were all received. net/http notices only
// then that the caller closes its connection.
func (h *Handle) expectEnd(source io.Reader, body []byte) ([]byte, error) {
	_, err := h.read(source, make([]byte, 1))
	if errors.Is(err, io.EOF) {
		return body, nil
	}
	return body, err
}

// read is a transfer from the caller.
func (h *Handle) read(source io.Reader, p []byte) (int, error) {
	h.Begin()
	defer h.End()
	return source.Read(p)
}

// grown returns the capacity after one that is used up.
func grown(capacity, declared int64) int64 {
	next := 2 * capacity
	if declared > 0 {
		return min(next, declared)
	}
	if capacity >= firstBytes {
		next = capacity + capacity/2
	}
	return next
}
