package api

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

// schemaFile is the published schema, which GET /v1/schema returns.
//
//go:embed schema.json
var schemaFile []byte

// schema checks request bodies; its map holds the compiled schema of each type of body.
type schema struct {
	byName map[string]*jsonschema.Schema
}

func loadSchema() *schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaFile))
	if err != nil {
		panic(err) // the schema is part of the program, and the tests load it
	}
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	if err := c.AddResource("urn:cleatpick:v1", doc); err != nil {
		panic(err)
	}
	s := &schema{byName: map[string]*jsonschema.Schema{}}
	for _, name := range []string{"job", "hold", "cordon"} {
		s.byName[name] = c.MustCompile("urn:cleatpick:v1#/$defs/" + name)
	}
	return s
}

// read checks a body against the named schema and decodes it.
func (s *schema) read(name string, body []byte, into any) *problem {
	bad := func(p problem) *problem { return &p }
	v, err := jsonschema.UnmarshalJSON(bytes.NewReader(body))
	if err != nil {
		return bad(invalidBody.withDetail("the body is not JSON: %v", err))
	}
	if err := s.byName[name].Validate(v); err != nil {
		field, why := innermostFault(err)
		return bad(invalidBody.withDetail("%s", why).inField(field))
	}
	if err := json.Unmarshal(body, into); err != nil {
		return bad(invalidBody.withDetail("%v", err))
	}
	return nil
}

// innermostFault returns the field and the text of the innermost validation error, which names the field at fault most
// precisely.
func innermostFault(err error) (field, why string) {
	e, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return "", err.Error()
	}
	for len(e.Causes) > 0 {
		e = e.Causes[0]
	}
	at := e.InstanceLocation
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		at = append(at[:len(at):len(at)], k.Properties[0])
		why = "unknown field"
	case *kind.Required:
		at = append(at[:len(at):len(at)], k.Missing[0])
		why = "the field is missing"
	default:
		why = e.Error()
		if i := strings.LastIndex(why, ": "); i >= 0 {
			why = why[i+2:]
		}
	}
	return "/" + strings.Join(at, "/"), why
}
