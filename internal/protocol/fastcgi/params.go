package fastcgi

import (
	"bytes"
	"strconv"
	"strings"

	"fernvane/internal/protocol/message"
)

// Params of an HTTP request. A request without REQUEST_URI gets its target from SCRIPT_NAME, PATH_INFO and QUERY_STRING. The
// field X-Y is mapped to HTTP_X_Y. Fields with an underscore in their name are dropped,
// because X_Y and X-Y would become the same param and a client could forge one with the other. HTTP_PROXY is dropped in both
// directions, because programs interpret it as a proxy setting. Content-Type and Content-Length have params of their own,
// and hop-by-hop fields are not forwarded.
//
//	REQUEST_METHOD    method                 REQUEST_URI     target
//	SCRIPT_NAME       path                   QUERY_STRING    query without the question mark
//	CONTENT_LENGTH    bytes of STDIN         CONTENT_TYPE    Content-Type
//	REMOTE_ADDR       client's address       HTTP_*          all other fields
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

// appendParams appends the params of a request, with the time that is left for the request in seconds and the address of
// the client.
func appendParams(b []byte, r *message.Request, timeLeft, clientAddress string) []byte {
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
	b = appendPair(b, "REMOTE_ADDR", clientAddress)
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
	b = appendPair(b, param([]byte(message.ForwardedFor)), clientAddress)
	return appendPair(b, param([]byte(message.RequestTimeout)), timeLeft)
}

// param returns the name of the param of a field.
func param(field []byte) string {
	return prefix + strings.ReplaceAll(strings.ToUpper(string(field)), "-", "_")
}

// paramReader builds a request from its params.
type paramReader struct {
	request *message.Request
	script  []byte // SCRIPT_NAME
	info    []byte // PATH_INFO
	query   []byte // QUERY_STRING
	length  int    // CONTENT_LENGTH in bytes; -1: not set
}

// request builds a request from its params and its body. The error is a *message.RequestError.
func request(params []byte, body []byte) (*message.Request, error) {
	r := &message.Request{Method: []byte("GET"), Body: body}
	p := paramReader{request: r, length: -1}
	for rest := params; len(rest) > 0; {
		var entry pair
		var err error
		if entry, rest, err = cutPair(rest); err != nil {
			return nil, message.NewRequestError(400, "the params cannot be read")
		}
		if !message.IsText(entry.value) {
			return nil, message.NewRequestError(400, "a param cannot be read")
		}
		if err := p.add(string(entry.name), entry.value); err != nil {
			return nil, err
		}
		if len(r.Fields) > message.MaxFields {
			return nil, message.NewRequestError(431, "too many fields")
		}
	}
	if p.length >= 0 && p.length != len(body) { // a mismatch would allow request smuggling
		return nil, message.NewRequestError(400, "the body is not as long as it is said to be")
	}
	if len(r.Target) == 0 {
		r.Target = append(append([]byte(nil), p.script...), p.info...)
		if len(p.query) > 0 {
			r.Target = append(append(r.Target, '?'), p.query...)
		}
	}
	if !message.IsToken(r.Method) || !message.IsTarget(r.Target) {
		return nil, message.NewRequestError(400, "the request line cannot be read")
	}
	return r, nil
}

// add processes one param.
func (p *paramReader) add(name string, value []byte) error {
	r := p.request
	switch name {
	case paramMethod:
		r.Method = value
	case paramURI:
		r.Target = value
	case paramScript:
		p.script = value
	case paramInfo:
		p.info = value
	case paramQuery:
		p.query = value
	case paramType:
		if len(value) > 0 {
			r.Fields = append(r.Fields, message.Field{Name: []byte("Content-Type"), Value: value})
		}
	case paramLength:
		return p.setLength(value)
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

// setLength processes a stated length of the body. If the length is set more than once, all values must be equal.
func (p *paramReader) setLength(value []byte) error {
	if len(value) == 0 {
		return nil
	}
	n, err := strconv.ParseUint(string(value), 10, 31)
	if err != nil || p.length >= 0 && p.length != int(n) {
		return message.NewRequestError(400, "the length of the body is not clear")
	}
	p.length = int(n)
	return nil
}

// response parses the output of a responder, which is a CGI head and a body. The error is message.ErrMalformedResponse.
func response(output []byte, r *message.Response) error {
	*r = message.Response{Status: 200, Fields: r.Fields[:0]}
	statedLength := -1
	for lines := 0; ; lines++ {
		lineEnd := bytes.IndexByte(output, '\n')
		if lineEnd < 0 || lineEnd > message.MaxHead || lines > message.MaxFields {
			return message.ErrMalformedResponse
		}
		line := bytes.TrimSuffix(output[:lineEnd], []byte{'\r'})
		output = output[lineEnd+1:]
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
			number, err := strconv.ParseUint(string(code), 10, 16)
			if err != nil || len(code) != 3 || number < 200 || number > 599 {
				return message.ErrMalformedResponse
			}
			r.Status = int(number)
		case f.Is("Location") && r.Status == 200:
			r.Status = 302 // CGI: a redirect
			r.Fields = append(r.Fields, f)
		case f.Is("Content-Length"):
			number, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil {
				return message.ErrMalformedResponse
			}
			statedLength = int(number)
		default:
			r.Fields = append(r.Fields, f)
		}
	}
	if r.Body = output; statedLength >= 0 && statedLength != len(output) { // truncated or too long
		return message.ErrMalformedResponse
	}
	return nil
}
