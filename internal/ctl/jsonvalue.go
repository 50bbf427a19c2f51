package ctl

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// field is one field of a JSON object.
type field struct {
	name  string
	value json.RawMessage
}

// parseObject returns an object's fields in the order in which the daemon sent them. It
// returns false if the value is not an object.
func parseObject(value json.RawMessage) ([]field, bool) {
	decoder := json.NewDecoder(bytes.NewReader(value))
	token, err := decoder.Token()
	if err != nil || token != json.Delim('{') {
		return nil, false
	}
	var fields []field
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, false
		}
		f := field{name: name.(string)} // the name of a field is always a string
		if err := decoder.Decode(&f.value); err != nil {
			return nil, false
		}
		fields = append(fields, f)
	}
	return fields, true
}

// parseArray returns an array's values. It returns false if the value is not an array.
func parseArray(value json.RawMessage) ([]json.RawMessage, bool) {
	if !bytes.HasPrefix(bytes.TrimSpace(value), []byte("[")) {
		return nil, false
	}
	var values []json.RawMessage
	if err := json.Unmarshal(value, &values); err != nil {
		return nil, false
	}
	return values, true
}

// cellText returns the text of a JSON value in a grid.
func cellText(value json.RawMessage) string {
	var text string
	if err := json.Unmarshal(value, &text); err == nil {
		return displayCell(text)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, value); err != nil {
		return string(value)
	}
	return compact.String()
}

func checkJSON(body []byte) error {
	if !json.Valid(body) {
		return errors.New("response is not valid JSON")
	}
	return nil
}
