package main

import (
	"context"
	"flag"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"buckthorndrum/identifier"
	"buckthorndrum/lister"
	"buckthorndrum/router"
	"buckthorndrum/storer"
)

// routerFlags are a router's settings.
type routerFlags struct {
	processFlags
	name      string
	region    string
	seeds     string
	store     string
	instances string
}

// storeCallTimeout bounds one call to the key-value service, watches included.
const storeCallTimeout = 25 * time.Second

func (f *routerFlags) register(fs *flag.FlagSet) {
	f.processFlags.register(fs)
	fs.StringVar(&f.name, "name", "", "name of the router, unique in the fleet")
	fs.StringVar(&f.region, "region", "", "region in which the router runs")
	fs.StringVar(&f.seeds, "seeds", "", "agents' addresses, comma-separated, for a cold start while the key-value service is down")
	fs.StringVar(&f.store, "store", "", "base URL of the key-value service")
	fs.StringVar(&f.instances, "instances", "", "base URL of the instance list")
}

func (f *routerFlags) config() router.Config {
	return router.Config{
		Name:       identifier.Router(f.name),
		DataCentre: identifier.DataCentre(f.dataCentre),
		Region:     identifier.Region(f.region),
		Listen:     f.listen,
		Seeds:      list(f.seeds),
		Store:      storer.New(storer.Config{Address: f.store, Timeout: storeCallTimeout}),
		Instances:  lister.New(f.instances, storeCallTimeout),
		Security:   f.security(),
	}
}

func (f *routerFlags) check() error {
	if err := f.config().Check(); err != nil {
		return settingsError{err}
	}
	if err := checkURL("store", f.store); err != nil {
		return err
	}
	return f.processFlags.check()
}

func newRouterCommand(errOut io.Writer) *ffcli.Command {
	var f routerFlags
	return processCommand("router", "run a router, which takes callers' requests", errOut, f.register, func(ctx context.Context) error { return runRouter(ctx, &f) })
}

func runRouter(ctx context.Context, f *routerFlags) error {
	if err := f.check(); err != nil {
		return err
	}
	return f.run(ctx, func(log *zap.Logger) (drainable, error) {
		cfg := f.config()
		cfg.Log = log
		return router.Start(cfg)
	})
}
