package wasabirule

import (
	"net/http"
	"strings"
)

// TargetOf returns the path and query of a request, byte for byte as its caller sent them. Of
// an absolute address, the scheme and the host are left out.
func TargetOf(r *http.Request) string {
	target := r.RequestURI
	if target == "" {
		// The request was not received by a server.
		return r.URL.RequestURI()
	}
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, absolute := strings.Cut(target, "://")
	if !absolute {
		return target
	}
	start := strings.IndexAny(rest, "/?")
	switch {
	case start < 0:
		return "/"
	case rest[start] == '?':
		return "/" + rest[start:]
	}
	return rest[start:]
}

// PathOf returns the path of a request that rules are compared with. Octets that are escaped
// although they need not be (RFC 3986, 6.2.2.2) are the same as unescaped ones. An escaped
// slash is no slash, and "." and ".." are names like others, since the backend server is sent
// the path as it is.
//
// The failure it guards against: a path is compared in another form than the one that the
// server receives, so that a rule applies to requests for which it was not made, and with it
// its pool and whether a key is required.
func PathOf(r *http.Request) string {
	path, _, _ := strings.Cut(TargetOf(r), "?")
	if !strings.Contains(path, "%") {
		return path
	}
	var out strings.Builder
	for i := 0; i < len(path); i++ {
		if octet, ok := unreservedAt(path[i:]); ok {
			out.WriteByte(octet)
			i += len("%xx") - 1
			continue
		}
		out.WriteByte(path[i])
	}
	return out.String()
}

// unreservedAt decodes the escape of an unreserved character at the begin of a text.
func unreservedAt(s string) (byte, bool) {
	if len(s) < len("%xx") || s[0] != '%' {
		return 0, false
	}
	high, ok := hexDigit(s[1])
	low, also := hexDigit(s[2])
	octet := high<<4 | low
	return octet, ok && also && isUnreserved(octet)
}

func hexDigit(c byte) (byte, bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}
