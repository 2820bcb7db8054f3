package logs

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/sirupsen/logrus"
)

// Field is a named value of a line.
type Field struct {
	name   string
	text   string
	number int64
	kind   fieldKind
}

type fieldKind int

const (
	textField fieldKind = iota
	numberField
	flagField
)

// Text returns a field with a text.
func Text(name, value string) Field { return Field{name: name, text: value} }

// Number returns a field with a number.
func Number(name string, value int64) Field {
	return Field{name: name, number: value, kind: numberField}
}

// Flag returns a field that is true or false.
func Flag(name string, value bool) Field {
	f := Field{name: name, kind: flagField}
	if value {
		f.number = 1
	}
	return f
}

// value returns the field's value for logrus.
func (f Field) value() any {
	switch f.kind {
	case numberField:
		return f.number
	case flagField:
		return f.number == 1
	case textField:
	}
	return f.text
}

// Frequent writes lines of which thousands may come in a second. A line costs a tenth of one
// of logrus, which builds and sorts a map for it.
type Frequent struct {
	entry *logrus.Entry // for a logger that [New] did not make
	w     *writer
	base  []byte // the fields of entry, as in a line
}

// NewFrequent returns a Frequent with the fields of an entry, whose logger may be any.
func NewFrequent(e *logrus.Entry) *Frequent {
	f := &Frequent{entry: e}
	f.w, _ = e.Logger.Out.(*writer)
	for _, name := range slices.Sorted(maps.Keys(e.Data)) {
		value, err := json.Marshal(e.Data[name])
		if err != nil {
			continue // a value that logrus can't write either
		}
		f.base = appendName(f.base, name)
		f.base = append(f.base, value...)
	}
	return f
}

// Info writes a line, or drops and counts it if the queue is full.
func (f *Frequent) Info(msg string, fields ...Field) {
	if f.w == nil {
		data := make(logrus.Fields, len(fields))
		for _, field := range fields {
			data[field.name] = field.value()
		}
		f.entry.WithFields(data).Info(msg)
		return
	}
	if len(f.w.frequent) == cap(f.w.frequent) {
		f.w.dropped.Add(1)
		return
	}
	line := append(make([]byte, 0, 320), `{"time":"`...)
	line = f.w.now().AppendFormat(line, timeFormat)
	line = append(line, `","level":"info","msg":`...)
	line = appendText(line, msg)
	line = append(line, f.base...)
	for _, field := range fields {
		line = appendName(line, field.name)
		switch field.kind {
		case textField:
			line = appendText(line, field.text)
		case numberField:
			line = strconv.AppendInt(line, field.number, 10)
		case flagField:
			line = strconv.AppendBool(line, field.number == 1)
		}
	}
	line = append(line, "}\n"...)
	select {
	case f.w.frequent <- line:
	default:
		f.w.dropped.Add(1)
	}
}

func appendName(line []byte, name string) []byte {
	line = append(line, ',')
	line = appendText(line, name)
	return append(line, ':')
}

func appendText(line []byte, text string) []byte {
	quoted, err := jsontext.AppendQuote(line, text)
	if err != nil { // text that is no UTF-8 is quoted with replacement characters
		return append(line, quoted[len(line):]...)
	}
	return quoted
}
