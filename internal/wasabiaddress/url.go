package wasabiaddress

import "strings"

// HostPort returns the host and port of a URL without a path, and a text
// without a scheme as it is.
func HostPort(url string) string {
	_, address, ok := strings.Cut(url, "://")
	if !ok {
		return url
	}
	return address
}
