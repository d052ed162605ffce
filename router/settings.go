package router

import (
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"buckthorndrum/identifier"
	"buckthorndrum/lister"
	"buckthorndrum/securer"
	"buckthorndrum/storer"
)

// Store is the part of the platform's key-value service that a router uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Swap(ctx context.Context, key string, value []byte, v storer.Version, ttl time.Duration) (storer.Entry, error)
	Watch(ctx context.Context, key string, v storer.Version, wait time.Duration) (storer.Entry, error)
}

// Instances is the part of the platform's instance list that a router uses.
type Instances interface {
	List(ctx context.Context) ([]lister.Instance, error)
}

// Config is the settings of a router.
type Config struct {
	Name       identifier.Router
	DataCentre identifier.DataCentre
	Region     identifier.Region
	// Listen is the address for callers and operators, as host:port.
	Listen string
	// Seeds are addresses of agents from which a router without a configuration obtains
	// it, even while the key-value service is down.
	Seeds     []string
	Store     Store
	Instances Instances
	Security  securer.Config
	Log       *zap.Logger
}

// Check returns an error for the first setting that is not valid.
func (c Config) Check() error {
	if err := identifier.CheckName("router", string(c.Name)); err != nil {
		return err
	}
	if err := identifier.CheckName("data centre", string(c.DataCentre)); err != nil {
		return err
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return fmt.Errorf("listen address %q is not host:port", c.Listen)
	}
	for _, s := range c.Seeds {
		if _, _, err := net.SplitHostPort(s); err != nil {
			return fmt.Errorf("seed address %q is not host:port", s)
		}
	}
	return nil
}
