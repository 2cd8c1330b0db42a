package route

import (
	"fmt"
	"io"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"fernvane/internal/config/settings"
)

// keys returns the fields of Limits in the order of their declaration.
func keys() []reflect.StructField {
	return reflect.VisibleFields(reflect.TypeFor[Limits]())
}

// value formats a limit in the notation of the file. ok is false if the limit is not set.
func value(v reflect.Value) (text string, ok bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return "", false
		}
		if duration, isDuration := v.Interface().(*Duration); isDuration {
			return duration.Std().String(), true
		}
		return fmt.Sprint(v.Elem().Interface()), true
	case reflect.Slice:
		if v.IsNil() {
			return "", false
		}
		return "[" + strings.Join(v.Interface().([]string), " ") + "]", true
	case reflect.Map:
		if v.IsNil() {
			return "", false
		}
		var parts []string
		for _, key := range v.MapKeys() {
			parts = append(parts, fmt.Sprintf("%v=%v", key, v.MapIndex(key)))
		}
		sort.Strings(parts)
		return strings.Join(parts, " "), true
	}
	return "", false
}

// PrintTable writes a table with the limits of each route for each traffic type, and the lines that set them.
func (t *Table) PrintTable(w io.Writer, cfg *settings.Settings) {
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(columns, "line\troute\tpath\ttype\tlimits (line)")
	for i := range t.Routes {
		r := &t.Routes[i]
		for trafficType, profile := range r.profileByType {
			if profile < 0 {
				continue
			}
			fmt.Fprintf(columns, "%d\t%s\t%s%s\t%s\t%s\n", r.Line, r.Name, r.Path, r.conditions(), cfg.TypeNames[trafficType], t.limits(i, trafficType, cfg.TypeNames[trafficType]))
		}
	}
	columns.Flush()
	fmt.Fprintf(w, "%d routes, %d distinct sets of limits, %d pools; requests without a matching route use the settings alone\n", len(t.Routes), len(t.Profiles), len(t.Pools))
}

// conditions returns the conditions of a route other than its path, in parentheses, or "" for none.
func (r *Route) conditions() string {
	var all []string
	if len(r.Methods) > 0 {
		all = append(all, strings.Join(r.Methods, "|"))
	}
	if len(r.Tenants) > 0 {
		all = append(all, "tenant "+strings.Join(r.Tenants, "|"))
	}
	for name, value := range r.Headers {
		all = append(all, name+": "+value)
	}
	sort.Strings(all)
	if len(all) == 0 {
		return ""
	}
	return " (" + strings.Join(all, ", ") + ")"
}

// limits returns the limits of a route for one traffic type, with the lines that set them.
func (t *Table) limits(route, trafficType int, typeName string) string {
	var parts []string
	values := reflect.ValueOf(t.Routes[route].limitsByType[trafficType])
	for _, field := range keys() {
		text, ok := value(values.FieldByIndex(field.Index))
		if !ok {
			continue
		}
		key := field.Tag.Get("toml")
		parts = append(parts, fmt.Sprintf("%s %s (%d)", key, text, t.line(route, typeName, key)))
	}
	if len(parts) == 0 {
		return "settings only"
	}
	return strings.Join(parts, ", ")
}

// line returns the line that sets a limit of a route.
func (t *Table) line(route int, typeName, key string) int {
	for _, place := range []string{"routes." + strconv.Itoa(route), "class." + typeName, "defaults"} {
		if t.file.Has(place + "." + key) {
			return t.file.Line(place + "." + key)
		}
	}
	return t.Routes[route].Line
}

// Explain writes the route that a request matches, its limits, and why each other route does not match or is less specific.
func (t *Table) Explain(w io.Writer, request *Request, cfg *settings.Settings) {
	route, trafficType := t.Match(request)
	if trafficType < 0 {
		fmt.Fprintf(w, "no traffic type: the first segment of %s names none and no route assigns one; the request is answered with status 404\n", request.Path)
		return
	}
	if route < 0 {
		fmt.Fprintf(w, "no route; type %s uses the settings alone\n", cfg.TypeNames[trafficType])
	} else {
		r := &t.Routes[route]
		fmt.Fprintf(w, "route %s (line %d), type %s\n", r.Name, r.Line, cfg.TypeNames[trafficType])
		fmt.Fprintf(w, "  limits: %s\n", t.limits(route, trafficType, cfg.TypeNames[trafficType]))
		for fallback := r.fallback; fallback >= 0; fallback = t.Routes[fallback].fallback {
			fmt.Fprintf(w, "  falls back to %s (line %d)\n", t.Routes[fallback].Name, t.Routes[fallback].Line)
		}
	}
	for i := range t.Routes {
		if i == route {
			continue
		}
		other := &t.Routes[i]
		if unmet := other.matches(request); unmet != "" {
			fmt.Fprintf(w, "not %s (line %d): %s\n", other.Name, other.Line, unmet)
		} else if route >= 0 {
			_, by := compare(&t.Routes[route].Route, &other.Route)
			fmt.Fprintf(w, "also matches, but is less specific: %s (line %d), decided by %s\n", other.Name, other.Line, by)
		}
	}
}

// Schema returns the JSON schema of the operator's file, which `fernvane check --schema` prints.
func Schema() map[string]any {
	limits := properties(reflect.TypeFor[Limits]())
	route := properties(reflect.TypeFor[Route]())
	pool := properties(reflect.TypeFor[Pool]())
	object := func(keys map[string]any) map[string]any {
		return map[string]any{"type": "object", "properties": keys, "additionalProperties": false}
	}
	list := func(items map[string]any) map[string]any { return map[string]any{"type": "array", "items": items} }
	top := object(map[string]any{
		"fastcgi":  object(properties(reflect.TypeFor[FastCGI]())),
		"defaults": object(limits),
		"class":    map[string]any{"type": "object", "additionalProperties": object(limits), "description": "limits by traffic type"},
		"pools":    list(object(pool)),
		"routes":   list(object(route)),
	})
	top["$schema"], top["title"] = "https://json-schema.org/draft/2020-12/schema", "fernvane operator's file"
	return top
}

// properties returns the JSON schemas of the keys of a struct.
func properties(t reflect.Type) map[string]any {
	schemas := map[string]any{}
	for _, field := range reflect.VisibleFields(t) {
		key := field.Tag.Get("toml")
		if key == "" {
			continue
		}
		kind := field.Type
		if kind.Kind() == reflect.Pointer {
			kind = kind.Elem()
		}
		schema := map[string]any{"description": field.Tag.Get("doc") + " (" + field.Tag.Get("unit") + ")"}
		switch {
		case kind == reflect.TypeFor[Duration]():
			schema["type"], schema["pattern"], schema["examples"] = "string", `^[0-9.]+(ns|us|µs|ms|s|m|h)([0-9.]+(ns|us|µs|ms|s|m|h))*$`, []string{(250 * time.Millisecond).String()}
		case kind.Kind() == reflect.Int:
			schema["type"] = "integer"
		case kind.Kind() == reflect.Float64:
			schema["type"] = "number"
		case kind.Kind() == reflect.Slice:
			schema["type"], schema["items"] = "array", map[string]any{"type": "string"}
		case kind.Kind() == reflect.Map:
			values := "number"
			if kind.Elem().Kind() == reflect.String {
				values = "string"
			}
			schema["type"], schema["additionalProperties"] = "object", map[string]any{"type": values}
		default:
			schema["type"] = "string"
		}
		schemas[key] = schema
	}
	return schemas
}
