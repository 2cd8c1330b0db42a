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

// keys are the fields of Limits, in their order.
func keys() []reflect.StructField {
	return reflect.VisibleFields(reflect.TypeFor[Limits]())
}

// value formats a limit as the file does; ok is false where it is not set.
func value(v reflect.Value) (text string, ok bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return "", false
		}
		if s, is := v.Interface().(*Duration); is {
			return s.Std().String(), true
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
		for _, k := range v.MapKeys() {
			parts = append(parts, fmt.Sprintf("%v=%v", k, v.MapIndex(k)))
		}
		sort.Strings(parts)
		return strings.Join(parts, " "), true
	}
	return "", false
}

// PrintTable writes the limits of each route for each traffic type, with the lines that set them.
func (s *Table) PrintTable(w io.Writer, cfg *settings.Settings) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "line\troute\tpath\ttype\tlimits (line)")
	for i := range s.Routes {
		r := &s.Routes[i]
		for k, p := range r.profileByType {
			if p < 0 {
				continue
			}
			fmt.Fprintf(t, "%d\t%s\t%s%s\t%s\t%s\n", r.Line, r.Name, r.Path, r.conditions(), cfg.TypeNames[k], s.limits(i, k, cfg.TypeNames[k]))
		}
	}
	t.Flush()
	fmt.Fprintf(w, "%d routes, %d sets of figures, %d pools; what no route fits is under the settings alone\n", len(s.Routes), len(s.Profiles), len(s.Pools))
}

// conditions are those of a route beside its path.
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

func (s *Table) limits(route, kind int, typeName string) string {
	var all []string
	l := reflect.ValueOf(s.Routes[route].limitsByType[kind])
	for _, f := range keys() {
		text, ok := value(l.FieldByIndex(f.Index))
		if !ok {
			continue
		}
		key := f.Tag.Get("toml")
		all = append(all, fmt.Sprintf("%s %s (%d)", key, text, s.line(route, typeName, key)))
	}
	if len(all) == 0 {
		return "the settings'"
	}
	return strings.Join(all, ", ")
}

// line is where a limit of a route is set.
func (s *Table) line(route int, typeName, key string) int {
	for _, place := range []string{"routes." + strconv.Itoa(route), "class." + typeName, "defaults"} {
		if s.file.Has(place + "." + key) {
			return s.file.Line(place + "." + key)
		}
	}
	return s.Routes[route].Line
}

// Explain writes which route a request matches, its limits, and why each other route does not match or comes after.
func (s *Table) Explain(w io.Writer, q *Request, cfg *settings.Settings) {
	route, kind := s.Match(q)
	if kind < 0 {
		fmt.Fprintf(w, "no traffic type: the first part of %s is none, and no route sets one; such a request is answered 404\n", q.Path)
		return
	}
	if route < 0 {
		fmt.Fprintf(w, "no route; type %s under the settings alone\n", cfg.TypeNames[kind])
	} else {
		r := &s.Routes[route]
		fmt.Fprintf(w, "route %s (line %d), type %s\n", r.Name, r.Line, cfg.TypeNames[kind])
		fmt.Fprintf(w, "  limits: %s\n", s.limits(route, kind, cfg.TypeNames[kind]))
		for f := r.fallback; f >= 0; f = s.Routes[f].fallback {
			fmt.Fprintf(w, "  falls back to %s (line %d)\n", s.Routes[f].Name, s.Routes[f].Line)
		}
	}
	for i := range s.Routes {
		if i == route {
			continue
		}
		other := &s.Routes[i]
		if why := other.matches(q); why != "" {
			fmt.Fprintf(w, "not %s (line %d): %s\n", other.Name, other.Line, why)
		} else if route >= 0 {
			_, by := compare(&s.Routes[route].Route, &other.Route)
			fmt.Fprintf(w, "fits too, but after it: %s (line %d), decided by %s\n", other.Name, other.Line, by)
		}
	}
}

// Schema is the JSON schema of the operator's file, which `fernvane check` prints.
func Schema() map[string]any {
	limits := properties(reflect.TypeFor[Limits]())
	route := properties(reflect.TypeFor[Route]())
	pool := properties(reflect.TypeFor[Pool]())
	object := func(p map[string]any) map[string]any {
		return map[string]any{"type": "object", "properties": p, "additionalProperties": false}
	}
	list := func(of map[string]any) map[string]any { return map[string]any{"type": "array", "items": of} }
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

func properties(t reflect.Type) map[string]any {
	p := map[string]any{}
	for _, f := range reflect.VisibleFields(t) {
		key := f.Tag.Get("toml")
		if key == "" {
			continue
		}
		kind := f.Type
		if kind.Kind() == reflect.Pointer {
			kind = kind.Elem()
		}
		d := map[string]any{"description": f.Tag.Get("doc") + " (" + f.Tag.Get("unit") + ")"}
		switch {
		case kind == reflect.TypeFor[Duration]():
			d["type"], d["pattern"], d["examples"] = "string", `^[0-9.]+(ns|us|µs|ms|s|m|h)([0-9.]+(ns|us|µs|ms|s|m|h))*$`, []string{(250 * time.Millisecond).String()}
		case kind.Kind() == reflect.Int:
			d["type"] = "integer"
		case kind.Kind() == reflect.Float64:
			d["type"] = "number"
		case kind.Kind() == reflect.Slice:
			d["type"], d["items"] = "array", map[string]any{"type": "string"}
		case kind.Kind() == reflect.Map:
			of := "number"
			if kind.Elem().Kind() == reflect.String {
				of = "string"
			}
			d["type"], d["additionalProperties"] = "object", map[string]any{"type": of}
		default:
			d["type"] = "string"
		}
		p[key] = d
	}
	return p
}
