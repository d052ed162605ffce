package inspector

import "strings"

// checkRoutes reports routes that get no requests or have no service, and contradictory
// limits of a route.
func (s *inspection) checkRoutes() {
	services := s.config.serviceNames()
	for i, r := range s.config.Routes {
		path := element("routes", i)
		s.checkMatch(path, i, r)
		s.checkRouteServices(path, r, services)
		s.checkTimes(path, r)
		s.checkAttempts(path, r)
	}
}

// checkMatch reports a route that no request matches.
func (s *inspection) checkMatch(path string, i int, r route) {
	switch {
	case r.Host == "":
		s.add(Error, RouteUnmatchable, path+".host", "route %q has no host, so that only requests without a host match it", r.Name)
	case r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/"):
		s.add(Error, RouteUnmatchable, path+".prefix", "prefix %q of route %q does not begin with /, so that no request matches it", r.Prefix, r.Name)
	case i >= len(s.in.ServedBy) || s.in.ServedBy[i] == i:
	case s.in.ServedBy[i] < 0:
		s.add(Error, RouteUnmatchable, path, "no request matches route %q", r.Name)
	default:
		first := s.in.ServedBy[i]
		s.add(Error, RouteShadowed, path, "route %q gets no requests: %s, %q, has the same host and prefix and is listed before it", r.Name, element("routes", first), s.config.Routes[first].Name)
	}
}

// checkRouteServices reports a route without a usable service, and the parts of its traffic
// split that get no requests.
func (s *inspection) checkRouteServices(path string, r route, services map[string]bool) {
	if len(r.Split) == 0 {
		switch {
		case r.Service == "":
			s.add(Error, RouteUnserved, path, "route %q has neither service nor traffic_split, so that all its requests fail", r.Name)
		case !services[r.Service]:
			s.add(Error, ServiceUnknown, path+".service", "service %q of route %q is not among the services", r.Service, r.Name)
		}
		return
	}
	if r.Service != "" {
		s.add(Warning, ServiceIgnored, path+".service", "service %q of route %q is not used because the route has a traffic_split", r.Service, r.Name)
	}
	total := 0
	for j, p := range r.Split {
		at := element(path+".traffic_split", j)
		total += p.Weight
		if !services[p.Service] {
			s.add(Error, ServiceUnknown, at+".service", "service %q in the traffic_split of route %q is not among the services", p.Service, r.Name)
		}
		switch {
		case p.Weight == 0:
			s.add(Warning, WeightZero, at+".weight", "service %q gets no requests of route %q: its weight is zero", p.Service, r.Name)
		case p.Weight < 0:
			s.add(Error, WeightNegative, at+".weight", "the weight of service %q in route %q is negative", p.Service, r.Name)
		}
	}
	if total <= 0 {
		s.add(Error, RouteUnserved, path+".traffic_split", "the weights of route %q add up to %d, so that all its requests fail", r.Name, total)
	}
}

// checkTimes reports objectives that the timeout makes unreachable, and negative times. A
// timeout of zero is no limit.
func (s *inspection) checkTimes(path string, r route) {
	s.checkNotNegative(path+".timeout_ms", r.TimeoutMS)
	s.checkNotNegative(path+".target_latency_ms", r.TargetLatency)
	s.checkNotNegative(path+".gap_aim_ms", r.GapAim)
	if r.TimeoutMS <= 0 {
		return
	}
	if r.TimeoutMS < r.TargetLatency {
		s.add(Warning, TimeoutTooShort, path+".timeout_ms", "timeout_ms %v of route %q is below its target_latency_ms %v", r.TimeoutMS, r.Name, r.TargetLatency)
	}
	if r.GapAim > r.TimeoutMS {
		s.add(Warning, TimeoutTooShort, path+".gap_aim_ms", "gap_aim_ms %v of route %q is above its timeout_ms %v", r.GapAim, r.Name, r.TimeoutMS)
	}
}

// checkAttempts reports attempts of zero or less, and more attempts than a service of the
// route has targets.
func (s *inspection) checkAttempts(path string, r route) {
	if r.Attempts < 1 && s.has(path+".attempts") {
		s.add(Warning, NotPositive, path+".attempts", "attempts %d of route %q count as 1", r.Attempts, r.Name)
	}
	names := []string{r.Service}
	if len(r.Split) > 0 {
		names = nil
		for _, p := range r.Split {
			names = append(names, p.Service)
		}
	}
	for _, name := range names {
		if n, known := s.in.Targets[name]; known && r.Attempts > n {
			s.add(Warning, AttemptsTooMany, path+".attempts", "route %q has %d attempts, but service %q has %d targets, and each target is tried once", r.Name, r.Attempts, name, n)
		}
	}
}
