package inspector

// Severity is how serious a finding is.
type Severity string

// Severities of a Finding.
const (
	// Error means that routers reject the configuration, or that requests or an entry of it
	// are not served as it says.
	Error Severity = "error"
	// Warning means that a value has no effect or contradicts another one.
	Warning Severity = "warning"
)

// Kind identifies what a finding is about. Its values are part of the JSON output and do not
// change.
type Kind string

// Kinds of a Finding. docs/operators.md has what each means and what to do.
const (
	// NotJSON means that the file is not JSON, or its decoder refuses it for another
	// reason than a value's type.
	NotJSON Kind = "not-json"
	// WrongType means that a value is of another JSON type than routers decode.
	WrongType Kind = "wrong-type"
	// ValueIgnored means that routers use another value in place of a malformed one.
	ValueIgnored Kind = "value-ignored"
	// RegionsUnreadable means that a restriction of regions names none that can be read, so
	// that it allows no target.
	RegionsUnreadable Kind = "regions-unreadable"
	// FieldRepeated means that an object has a field twice.
	FieldRepeated Kind = "field-repeated"
	// NameRepeated means that two entries of one list have the same name.
	NameRepeated Kind = "name-repeated"
	// RouteShadowed means that an earlier route has the same host and prefix.
	RouteShadowed Kind = "route-shadowed"
	// RouteUnmatchable means that no request matches the host and prefix of a route.
	RouteUnmatchable Kind = "route-unmatchable"
	// RouteUnserved means that a route has no service, or no weight above zero in all.
	RouteUnserved Kind = "route-unserved"
	// ServiceIgnored means that the service of a route with a traffic split is not used.
	ServiceIgnored Kind = "service-ignored"
	// ServiceUnknown means that a route names a service that is not in the list.
	ServiceUnknown Kind = "service-unknown"
	// WeightZero means that a part of a traffic split gets no requests.
	WeightZero Kind = "weight-zero"
	// WeightNegative means that a part of a traffic split has a negative weight.
	WeightNegative Kind = "weight-negative"
	// KeyShared means that two workspaces have the same API key.
	KeyShared Kind = "key-shared"
	// KeyRepeated means that a workspace has an API key twice.
	KeyRepeated Kind = "key-repeated"
	// KeyEmpty means that an API key is empty.
	KeyEmpty Kind = "key-empty"
	// NotPositive means that a time or rate is negative, or a size zero or negative.
	NotPositive Kind = "not-positive"
	// TimeoutTooShort means that an objective of a route exceeds its timeout.
	TimeoutTooShort Kind = "timeout-too-short"
	// AttemptsTooMany means that a route has more attempts than a service has targets.
	AttemptsTooMany Kind = "attempts-too-many"
	// BodyTooLarge means that bodies of the maximum size exceed the memory of an instance.
	BodyTooLarge Kind = "body-too-large"
	// WarmUpIncomplete means that a service has a warm-up rate without a duration, or the reverse.
	WarmUpIncomplete Kind = "warm-up-incomplete"
	// VersionNotHigher means that the version is not above the one in force.
	VersionNotHigher Kind = "version-not-higher"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Kind     Kind     `json:"kind"`
	// Path is the JSON path of the value, such as routes[2].timeout_ms. It is empty if the
	// file is not JSON.
	Path string `json:"path,omitempty"`
	// Line and Column are where the value begins in the file, or the object that lacks it.
	// Both count from 1, columns in characters. They are zero if the place is not known.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Message says what is wrong. It contains no API key in full.
	Message string `json:"message"`
}

// HasErrors reports whether one of the findings is an Error.
func HasErrors(findings []Finding) bool {
	for _, f := range findings {
		if f.Severity == Error {
			return true
		}
	}
	return false
}
