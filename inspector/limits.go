package inspector

// checkServices reports sizes of engines that are not positive, and descriptions of the
// warm-up that are not complete.
func (s *inspection) checkServices() {
	for i, v := range s.config.Services {
		path := element("services", i)
		if v.Engine != nil {
			s.checkSize(path+".engine.slots", float64(v.Engine.Slots))
			s.checkSize(path+".engine.kv_capacity", float64(v.Engine.KVCapacity))
			s.checkSize(path+".engine.stride", v.Engine.Stride)
		}
		s.checkNotNegative(path+".cold_s", v.ColdS)
		s.checkNotNegative(path+".cold_per_s", v.ColdPerS)
		switch {
		case v.ColdPerS > 0 && v.ColdS <= 0:
			s.add(Warning, WarmUpIncomplete, path+".cold_per_s", "service %q has a warm-up rate, cold_per_s %v, but no duration, cold_s", v.Name, v.ColdPerS)
		case v.ColdS > 0 && v.ColdPerS <= 0:
			s.add(Warning, WarmUpIncomplete, path+".cold_s", "service %q has a warm-up duration, cold_s %v, but no rate, cold_per_s", v.Name, v.ColdS)
		}
	}
}

// checkLimits reports limits that are not positive or exceed what an instance can hold.
func (s *inspection) checkLimits() {
	if s.config.Version == 0 {
		s.add(Error, NotPositive, "version", "the configuration has no version above zero, so that routers do not replace another one by it")
	}
	l := s.config.Limits
	s.checkSize("limits.max_body_bytes", float64(l.MaxBodyBytes))
	s.checkSize("limits.max_header_bytes", l.MaxHeaderBytes)
	s.checkNotNegative("limits.idle_timeout_ms", l.IdleTimeoutMS)
	s.checkNotNegative("limits.header_timeout_ms", l.HeaderTimeoutMS)
	s.checkNotNegative("limits.tokens_per_s", l.TokensPerS)
	if s.in.BodyBytes > 0 && l.MaxBodyBytes > s.in.BodyBytes {
		s.add(Error, BodyTooLarge, "limits.max_body_bytes", "max_body_bytes is %d, but an instance of the given settings can hold a body of at most %d bytes; longer ones are always refused", l.MaxBodyBytes, s.in.BodyBytes)
	}
}

// checkSize reports a size in the file that is zero or negative.
func (s *inspection) checkSize(path string, size float64) {
	if size <= 0 && s.has(path) {
		s.add(Warning, NotPositive, path, "the size %v is not positive", size)
	}
}

// checkNotNegative reports a time or rate that is negative.
func (s *inspection) checkNotNegative(path string, v float64) {
	if v < 0 {
		s.add(Warning, NotPositive, path, "the value %v is negative", v)
	}
}
