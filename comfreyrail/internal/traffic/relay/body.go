package relay

import "io"

// body returns a reader of content that net/http cannot rewind, so that it never sends the content twice.
func body(content []byte) io.Reader {
	if len(content) == 0 {
		return nil
	}
	return &oneWay{content: content}
}

// oneWay reads its content once.
type oneWay struct{ content []byte }

// Read copies the next part of the content.
func (o *oneWay) Read(p []byte) (int, error) {
	if len(o.content) == 0 {
		return 0, io.EOF
	}
	n := copy(p, o.content)
	o.content = o.content[n:]
	return n, nil
}
