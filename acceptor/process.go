package acceptor

import "golang.org/x/sys/unix"

const (
	// processHeadBytes is the budget of heads in a process without settings for its memory,
	// in bytes.
	processHeadBytes = 16 << 20
	// processMaxConns bounds the connections of such a process, and descriptorShare is the
	// share of its descriptors that they may take up, as a divisor.
	processMaxConns = 4096
	descriptorShare = 2
)

// ProcessConfig returns the configuration of the only port of a process without settings for
// its memory and its descriptors.
func ProcessConfig(address string) Config {
	c := Config{Network: "tcp", Address: address, Budget: NewHeadBudget(processHeadBytes), MaxConns: processMaxConns}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
		c.MaxConns = int(min(processMaxConns, max(1, limit.Cur/descriptorShare)))
	}
	return c
}
