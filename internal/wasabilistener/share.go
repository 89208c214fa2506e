package wasabilistener

import "syscall"

// reservedDescriptors are those that no socket may take, such as those of files. A process
// with fewer than twice as many reserves half of them.
const reservedDescriptors = 200

// The parts of the sockets that the connections of a port may take, as fractions of 64. The
// rest is for connections to backend servers, to other instances and to the platform.
const (
	callerParts    = 24
	peerParts      = 24
	directoryParts = 4
	auxiliaryParts = 1
	allParts       = 64
)

// The parts of the memory of connections, as fractions of 16. Those of other instances get
// three times as much as all others together: there may be a thousand instances, and no client
// reaches their listener.
const (
	callerBytesParts    = 12
	directoryBytesParts = 2
	auxiliaryBytesParts = 1
	allBytesParts       = 16
	peerBytesParts      = 3 * allBytesParts
)

const (
	// minConnections and minBytes are the least that a port gets, if there are descriptors for
	// that.
	minConnections = 8
	minBytes       = 1 << 20
)

// Shares are the shares of the listeners of a process. Directory is also that of the
// listener for operators, and Auxiliary that of each other one.
type Shares struct {
	Caller, Peer, Directory, Auxiliary Share
}

// Divide divides the descriptors of a process, and the bytes that its connections may take,
// among its listeners. Zero means no limit.
func Divide(descriptors int, bytes int64) Shares {
	part := func(parts int, bytesParts int64) Share {
		var s Share
		if sockets := descriptors - min(reservedDescriptors, descriptors/2); descriptors > 0 {
			s.Connections = max(1, min(minConnections, sockets/allBytesParts), sockets*parts/allParts)
		}
		if bytes > 0 {
			s.Bytes = max(minBytes, bytes*bytesParts/allBytesParts)
		}
		return s
	}
	return Shares{
		Caller: part(callerParts, callerBytesParts), Peer: part(peerParts, peerBytesParts),
		Directory: part(directoryParts, directoryBytesParts), Auxiliary: part(auxiliaryParts, auxiliaryBytesParts),
	}
}

// Descriptors returns how many descriptors the process may open: as many as the settings
// name, or as the system allows if that is fewer. Zero means that neither is known.
func Descriptors(setting int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return setting
	}
	const most = 1 << 30
	allowed := int(min(limit.Cur, most))
	if setting > 0 {
		return min(setting, allowed)
	}
	return allowed
}
