package agent

import (
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"buckthorndrum/identifier"
	"buckthorndrum/securer"
)

// Config is the configuration of an agent.
type Config struct {
	// Target is the target that the agent serves.
	Target identifier.Target
	// DataCentre is the data centre in which the agent runs.
	DataCentre identifier.DataCentre
	// Listen is the address on which the agent listens, as host:port.
	Listen string
	// TargetURL is the target's base URL.
	TargetURL string
	Security  securer.Config
	Log       *zap.Logger
	// Retain is how long an answer is kept for repeats and resumption after it has ended.
	// Zero means DefaultRetain.
	Retain time.Duration
}

// Check returns an error for the first invalid field of the configuration.
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

// DefaultRetain is the default of Config.Retain.
const DefaultRetain = time.Minute
