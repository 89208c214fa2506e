package wasabiaddress

import "strings"

// HostPort returns the host and port of a URL that has no path. It returns a text
// without a scheme unchanged.
func HostPort(url string) string {
	_, address, ok := strings.Cut(url, "://")
	if !ok {
		return url
	}
	return address
}
