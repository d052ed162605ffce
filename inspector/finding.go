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
	NotJSON          Kind = "not-json"
	WrongType        Kind = "wrong-type"
	ValueIgnored     Kind = "value-ignored"
	FieldRepeated    Kind = "field-repeated"
	NameRepeated     Kind = "name-repeated"
	RouteShadowed    Kind = "route-shadowed"
	RouteUnmatchable Kind = "route-unmatchable"
	RouteUnserved    Kind = "route-unserved"
	ServiceIgnored   Kind = "service-ignored"
	ServiceUnknown   Kind = "service-unknown"
	WeightZero       Kind = "weight-zero"
	WeightNegative   Kind = "weight-negative"
	KeyShared        Kind = "key-shared"
	KeyRepeated      Kind = "key-repeated"
	KeyEmpty         Kind = "key-empty"
	NotPositive      Kind = "not-positive"
	TimeoutTooShort  Kind = "timeout-too-short"
	AttemptsTooMany  Kind = "attempts-too-many"
	BodyTooLarge     Kind = "body-too-large"
	WarmUpIncomplete Kind = "warm-up-incomplete"
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
