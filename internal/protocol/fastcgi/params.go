package fastcgi

import (
	"bytes"
	"strconv"
	"strings"

	"fernvane/internal/protocol/message"
)

// The mapping between HTTP requests and params. A field X-Y is HTTP_X_Y. Fields whose names contain an underscore are left
// out, for X_Y and X-Y would be the same param and a client could forge one with the other. HTTP_PROXY is left out both
// ways, for programs read it as a setting of theirs. Content-Type and Content-Length have params of their own, and
// hop-by-hop fields are not forwarded.
//
//	REQUEST_METHOD    method                 REQUEST_URI     target
//	SCRIPT_NAME       path                   QUERY_STRING    behind the question mark
//	CONTENT_LENGTH    bytes of STDIN         CONTENT_TYPE    Content-Type
//	REMOTE_ADDR       client's address       HTTP_*          the other fields
const (
	paramMethod = "REQUEST_METHOD"
	paramURI    = "REQUEST_URI"
	paramScript = "SCRIPT_NAME"
	paramInfo   = "PATH_INFO"
	paramQuery  = "QUERY_STRING"
	paramLength = "CONTENT_LENGTH"
	paramType   = "CONTENT_TYPE"
	paramProxy  = "HTTP_PROXY"
	prefix      = "HTTP_"
)

// appendParams appends the params of a request, with the time left for it in seconds and the client's address.
func appendParams(b []byte, r *message.Request, left, from string) []byte {
	path, query, _ := bytes.Cut(r.Target, []byte{'?'})
	b = appendPair(b, "GATEWAY_INTERFACE", "CGI/1.1")
	b = appendPair(b, "SERVER_PROTOCOL", "HTTP/1.1")
	b = appendPair(b, "SERVER_SOFTWARE", "fernvane")
	b = appendPair(b, "SERVER_NAME", string(r.Get("Host")))
	b = appendPair(b, "SERVER_PORT", "0")
	b = appendPair(b, paramMethod, string(r.Method))
	b = appendPair(b, paramURI, string(r.Target))
	b = appendPair(b, paramScript, string(path))
	b = appendPair(b, paramQuery, string(query))
	b = appendPair(b, "REMOTE_ADDR", from)
	if len(r.Body) > 0 || string(r.Method) != "GET" {
		b = appendPair(b, paramLength, strconv.Itoa(len(r.Body)))
	}
	for _, f := range r.Fields {
		switch {
		case f.Is(message.RequestTimeout), f.Is(message.ForwardedFor), bytes.IndexByte(f.Name, '_') >= 0, !message.IsEndToEnd(f, r.Fields):
		case f.Is("Content-Type"):
			b = appendPair(b, paramType, string(f.Value))
		default:
			if name := param(f.Name); name != paramProxy {
				b = appendPair(b, name, string(f.Value))
			}
		}
	}
	b = appendPair(b, param([]byte(message.ForwardedFor)), from)
	return appendPair(b, param([]byte(message.RequestTimeout)), left)
}

func param(field []byte) string {
	return prefix + strings.ReplaceAll(strings.ToUpper(string(field)), "-", "_")
}

// paramReader builds a request from its params.
type paramReader struct {
	request *message.Request
	script  []byte
	info    []byte
	query   []byte
	length  int // stated length of the body in bytes; -1: not stated
}

// request builds a request of params and a body. The error is a *message.RequestError.
func request(params []byte, body []byte) (*message.Request, error) {
	pairs, err := parsePairs(params, nil)
	if err != nil {
		return nil, message.NewRequestError(400, "the params cannot be read")
	}
	r := &message.Request{Method: []byte("GET"), Body: body}
	in := paramReader{request: r, length: -1}
	for _, p := range pairs {
		if !message.IsText(p.value) {
			return nil, message.NewRequestError(400, "a param cannot be read")
		}
		if err := in.take(string(p.name), p.value); err != nil {
			return nil, err
		}
		if len(r.Fields) > message.MaxFields {
			return nil, message.NewRequestError(431, "too many fields")
		}
	}
	if in.length >= 0 && in.length != len(body) { // a mismatch would allow request smuggling
		return nil, message.NewRequestError(400, "the body is not as long as it is said to be")
	}
	if len(r.Target) == 0 {
		r.Target = append(append([]byte(nil), in.script...), in.info...)
		if len(in.query) > 0 {
			r.Target = append(append(r.Target, '?'), in.query...)
		}
	}
	if !message.IsToken(r.Method) || !message.IsTarget(r.Target) {
		return nil, message.NewRequestError(400, "the request line cannot be read")
	}
	return r, nil
}

// take reads one param.
func (in *paramReader) take(name string, value []byte) error {
	r := in.request
	switch name {
	case paramMethod:
		r.Method = value
	case paramURI:
		r.Target = value
	case paramScript:
		in.script = value
	case paramInfo:
		in.info = value
	case paramQuery:
		in.query = value
	case paramType:
		if len(value) > 0 {
			r.Fields = append(r.Fields, message.Field{Name: []byte("Content-Type"), Value: value})
		}
	case paramLength:
		return in.takeLength(value)
	case paramProxy:
	default:
		field, ok := strings.CutPrefix(name, prefix)
		if !ok {
			return nil
		}
		f := message.Field{Name: []byte(strings.ReplaceAll(field, "_", "-")), Value: value}
		if !message.IsToken(f.Name) {
			return message.NewRequestError(400, "a param cannot be read")
		}
		if message.IsEndToEnd(f, nil) {
			r.Fields = append(r.Fields, f)
		}
	}
	return nil
}

// takeLength reads the stated length of the body, which must be the same wherever it is stated.
func (in *paramReader) takeLength(value []byte) error {
	if len(value) == 0 {
		return nil
	}
	n, err := strconv.ParseUint(string(value), 10, 31)
	if err != nil || in.length >= 0 && in.length != int(n) {
		return message.NewRequestError(400, "the length of the body is not clear")
	}
	in.length = int(n)
	return nil
}

// response parses what a responder has written: a CGI head and the body. The error is message.ErrMalformedResponse.
func response(out []byte, r *message.Response) error {
	*r = message.Response{Status: 200, Fields: r.Fields[:0]}
	stated := -1
	for lines := 0; ; lines++ {
		i := bytes.IndexByte(out, '\n')
		if i < 0 || i > message.MaxHead || lines > message.MaxFields {
			return message.ErrMalformedResponse
		}
		line := bytes.TrimSuffix(out[:i], []byte{'\r'})
		out = out[i+1:]
		if len(line) == 0 {
			break
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		value = bytes.Trim(value, " \t")
		if !ok || !message.IsToken(name) || !message.IsText(value) {
			return message.ErrMalformedResponse
		}
		f := message.Field{Name: name, Value: value}
		switch {
		case f.Is("Status"):
			code, _, _ := bytes.Cut(value, []byte{' '})
			n, err := strconv.ParseUint(string(code), 10, 16)
			if err != nil || len(code) != 3 || n < 200 || n > 599 {
				return message.ErrMalformedResponse
			}
			r.Status = int(n)
		case f.Is("Location") && r.Status == 200:
			r.Status = 302
			r.Fields = append(r.Fields, f)
		case f.Is("Content-Length"):
			n, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil {
				return message.ErrMalformedResponse
			}
			stated = int(n)
		default:
			r.Fields = append(r.Fields, f)
		}
	}
	if r.Body = out; stated >= 0 && stated != len(out) { // cut off, or too long
		return message.ErrMalformedResponse
	}
	return nil
}
