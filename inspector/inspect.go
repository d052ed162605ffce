package inspector

import (
	"fmt"
	"sort"
)

// inspection collects the findings of one configuration.
type inspection struct {
	in       Input
	config   config
	places   *places
	decoded  *places
	redactor redactor
	findings []Finding
}

// Inspect returns the findings about a configuration that routers can decode, in the order
// of the file.
func Inspect(in Input) []Finding {
	c, err := readConfig(in)
	if err != nil {
		return []Finding{fault(newPlaces(in.Raw), newPlaces(in.Decoded), err)}
	}
	s := &inspection{in: in, config: c, places: newPlaces(in.Raw), decoded: newPlaces(in.Decoded), redactor: newRedactor(c)}
	s.checkRepeatedFields()
	s.checkIgnoredValues()
	s.checkNames()
	s.checkRoutes()
	s.checkServices()
	s.checkLimits()
	s.checkKeys()
	sort.SliceStable(s.findings, func(i, j int) bool {
		a, b := s.findings[i], s.findings[j]
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
	return s.findings
}

// add adds a finding about the value at path.
func (s *inspection) add(severity Severity, kind Kind, path, format string, args ...any) {
	line, column := s.places.find(path)
	// %q changes some characters, after which a key would not be recognised.
	for i, v := range args {
		if text, isString := v.(string); isString {
			args[i] = s.redactor.redact(text)
		}
	}
	s.findings = append(s.findings, Finding{
		Severity: severity, Kind: kind, Path: s.redactor.redact(path), Line: line, Column: column,
		Message: s.redactor.redact(fmt.Sprintf(format, args...)),
	})
}

// has reports whether the file has a value at path that routers read.
func (s *inspection) has(path string) bool { return s.places.has(path) && s.decoded.has(path) }

// checkRepeatedFields reports fields that an object has twice. Decoding merges their values.
func (s *inspection) checkRepeatedFields() {
	for _, p := range s.places.repeated {
		line, column := s.places.position(p.start)
		s.findings = append(s.findings, Finding{
			Severity: Error, Kind: FieldRepeated, Path: s.redactor.redact(p.path), Line: line, Column: column,
			Message: "the object has this field twice; routers use the later value or a mixture of both",
		})
	}
}

// checkNames reports entries of one list that have the same name.
func (s *inspection) checkNames() {
	routes, services, tenants := map[string]int{}, map[string]int{}, map[string]int{}
	for i, r := range s.config.Routes {
		s.checkName(routes, Warning, "routes", i, r.Name, "logs, metrics and differences cannot tell them apart")
	}
	for i, v := range s.config.Services {
		s.checkName(services, Error, "services", i, v.Name, "the later one applies")
	}
	for i, t := range s.config.Tenants {
		s.checkName(tenants, Error, "tenants", i, t.Name, "they share one workspace's part of the capacity")
	}
}

// checkName reports element i of a list if its name is in seen, which has the first index of
// each name.
func (s *inspection) checkName(seen map[string]int, severity Severity, list string, i int, name, consequence string) {
	first, found := seen[name]
	if !found {
		seen[name] = i
		return
	}
	s.add(severity, NameRepeated, element(list, i)+".name", "%s has the same name, %q; %s", element(list, first), name, consequence)
}
