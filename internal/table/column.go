package table

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Bounds of numeric cells.
const (
	maxWeight        = 1000
	maxRate          = 1e9
	minRate          = 0.001
	maxCount         = 1_000_000
	maxBytesPerToken = 1 << 30
	maxLinkBytes     = 1 << 50
	maxLoadCap       = 1000
	keyDigestBytes   = 32
)

// idColumn is the first column of every sheet.
const idColumn = "id"

const allowedName = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// column describes one column of a sheet whose rows have type T. parse stores a cell's text
// in a row; format returns the cell's canonical text.
type column[T any] struct {
	name    string
	allowed string
	parse   func(row *T, text string) error
	format  func(row *T) string
}

// cellParseError is the reason why a cell can't be parsed.
type cellParseError string

// Error implements the error interface.
func (r cellParseError) Error() string { return string(r) }

func nameColumn[T any, S ~string](name string, optional bool, field func(*T) *S) column[T] {
	allowed := allowedName
	if optional {
		allowed += ", or empty"
	}
	return column[T]{
		name:    name,
		allowed: allowed,
		parse: func(row *T, text string) error {
			if text == "" && optional {
				*field(row) = ""
				return nil
			}
			if !namePattern.MatchString(text) {
				return cellParseError("not a valid name")
			}
			*field(row) = S(text)
			return nil
		},
		format: func(row *T) string { return string(*field(row)) },
	}
}

func intColumn[T any, N ~int | ~int64](name string, low, high int64, field func(*T) *N) column[T] {
	return column[T]{
		name:    name,
		allowed: fmt.Sprintf("whole number %d..%d", low, high),
		parse: func(row *T, text string) error {
			n, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				return cellParseError("not a whole number")
			}
			if n < low || n > high {
				return cellParseError("out of range")
			}
			*field(row) = N(n)
			return nil
		},
		format: func(row *T) string { return strconv.FormatInt(int64(*field(row)), 10) },
	}
}

func rateColumn[T any](name string, field func(*T) *float64) column[T] {
	return column[T]{
		name:    name,
		allowed: fmt.Sprintf("number %g..%g", minRate, maxRate),
		parse: func(row *T, text string) error {
			f, err := strconv.ParseFloat(text, 64)
			if err != nil || math.IsNaN(f) {
				return cellParseError("not a number")
			}
			if f < minRate || f > maxRate {
				return cellParseError("out of range")
			}
			*field(row) = f
			return nil
		},
		format: func(row *T) string { return strconv.FormatFloat(*field(row), 'g', -1, 64) },
	}
}

func boolColumn[T any](name string, field func(*T) *bool) column[T] {
	return column[T]{
		name:    name,
		allowed: "true, false, or empty for false",
		parse: func(row *T, text string) error {
			switch text {
			case "true":
				*field(row) = true
			case "false", "":
				*field(row) = false
			default:
				return cellParseError("not a boolean")
			}
			return nil
		},
		format: func(row *T) string { return strconv.FormatBool(*field(row)) },
	}
}

func addressColumn[T any](name string, field func(*T) *string) column[T] {
	return column[T]{
		name:    name,
		allowed: "host:port, host an IP address, port 1..65535",
		parse: func(row *T, text string) error {
			addr, err := netip.ParseAddrPort(text)
			if err != nil {
				return cellParseError("not an IP address with a port")
			}
			if addr.Port() == 0 {
				return cellParseError("port is 0")
			}
			*field(row) = addr.String()
			return nil
		},
		format: func(row *T) string { return *field(row) },
	}
}

func kindColumn(name string) column[Target] {
	return column[Target]{
		name:    name,
		allowed: "engine, service",
		parse: func(row *Target, text string) error {
			kind := TargetKind(text)
			if kind != KindEngine && kind != KindService {
				return cellParseError("unknown kind")
			}
			row.Kind = kind
			return nil
		},
		format: func(row *Target) string { return string(row.Kind) },
	}
}

func keyDigestColumn(name string) column[Organisation] {
	return column[Organisation]{
		name:    name,
		allowed: "64 hexadecimal digits (SHA-256 of the key)",
		parse: func(row *Organisation, text string) error {
			raw, err := hex.DecodeString(text)
			if err != nil || len(raw) != keyDigestBytes {
				return cellParseError("not a SHA-256 digest")
			}
			row.KeySHA256 = hex.EncodeToString(raw)
			return nil
		},
		format: func(row *Organisation) string { return row.KeySHA256 },
	}
}

// splitList splits a cell into its semicolon-separated values.
func splitList(text string) []string {
	if strings.TrimSpace(text) == "" {
		return nil
	}
	parts := strings.Split(text, ";")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

func modelsColumn(name string) column[Organisation] {
	return column[Organisation]{
		name:    name,
		allowed: "model or model=version, separated by ';', each model once",
		parse:   parseModels,
		format: func(row *Organisation) string {
			parts := make([]string, 0, len(row.Models))
			for model, version := range row.Models {
				part := string(model)
				if version != "" {
					part += "=" + string(version)
				}
				parts = append(parts, part)
			}
			sort.Strings(parts)
			return strings.Join(parts, ";")
		},
	}
}

func parseModels(row *Organisation, text string) error {
	row.Models = make(map[request.Model]request.Version)
	for _, part := range splitList(text) {
		model, version, hasVersion := strings.Cut(part, "=")
		if !namePattern.MatchString(model) {
			return cellParseError(fmt.Sprintf("%q is not a valid model name", model))
		}
		if hasVersion && !namePattern.MatchString(version) {
			return cellParseError(fmt.Sprintf("%q is not a valid version", version))
		}
		if _, duplicate := row.Models[request.Model(model)]; duplicate {
			return cellParseError(fmt.Sprintf("model %q is listed more than once", model))
		}
		row.Models[request.Model(model)] = request.Version(version)
	}
	return nil
}

func servicesColumn(name string) column[Organisation] {
	return column[Organisation]{
		name:    name,
		allowed: "names of services, separated by ';', each once",
		parse: func(row *Organisation, text string) error {
			services := splitList(text)
			sort.Strings(services)
			for i, service := range services {
				if !namePattern.MatchString(service) {
					return cellParseError(fmt.Sprintf("%q is not a valid service name", service))
				}
				if i > 0 && services[i-1] == service {
					return cellParseError(fmt.Sprintf("service %q is listed more than once", service))
				}
			}
			row.Services = services
			return nil
		},
		format: func(row *Organisation) string { return strings.Join(row.Services, ";") },
	}
}
