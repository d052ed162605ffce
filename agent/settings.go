package agent

import (
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"buckthorndrum/identifier"
	"buckthorndrum/securer"
)

// Config sets up an agent.
type Config struct {
	// Target is the target beside which the agent runs.
	Target identifier.Target
	// DataCentre is where it runs.
	DataCentre identifier.DataCentre
	// Listen is the agent's own address, as host:port.
	Listen string
	// TargetURL is the target's base URL.
	TargetURL string
	Security  securer.Config
	Log       *zap.Logger
	// Retain is how long an answer is kept for repeats and resumption.
	Retain time.Duration
}

// Check reports the first fault of the configuration.
func (c Config) Check() error {
	if err := identifier.CheckName("target", string(c.Target)); err != nil {
		return err
	}
	if err := identifier.CheckName("data centre", string(c.DataCentre)); err != nil {
		return err
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return fmt.Errorf("listen address %q is not host:port", c.Listen)
	}
	if c.TargetURL == "" {
		return fmt.Errorf("target %q has no URL", c.Target)
	}
	return nil
}

// DefaultRetain is how long an answer is kept for repeats and resumption.
const DefaultRetain = time.Minute
