package stand

import (
	"fmt"
	"strings"
)

// AnswerVariant is an answer that differs from a plain one in one place.
type AnswerVariant struct {
	Name, Text string
	// Valid is set if HTTP/1.1 allows the answer, which then says the same as the plain one.
	Valid bool
}

// plainAnswer is the answer that variants differ from.
type plainAnswer struct {
	// status is the code and the reason, and fields are the header fields with their line ends.
	status, fields, body string
}

// AnswerVariants returns variants of the answer with a status, such as "200 OK", header fields,
// each with its line end, and a body. Beside the malformed ones of each kind stand valid ones.
func AnswerVariants(status, fields, body string) []AnswerVariant {
	a := plainAnswer{status, fields, body}
	return a.statusVariants()
}

func (a plainAnswer) statusLine() string { return "HTTP/1.1 " + a.status + "\r\n" }

func (a plainAnswer) lengthField() string { return a.sized("Content-Length: %d\r\n") }

// sized returns a field with the length of the body.
func (a plainAnswer) sized(format string) string { return fmt.Sprintf(format, len(a.body)) }

// withLine returns the answer with another status line.
func (a plainAnswer) withLine(line string) string {
	return line + "\r\n" + a.fields + a.lengthField() + "\r\n" + a.body
}

// with returns the answer with lines in place of the field of the length.
func (a plainAnswer) with(lines string) string {
	return a.statusLine() + a.fields + lines + "\r\n" + a.body
}

// withField returns the answer with further lines between its fields.
func (a plainAnswer) withField(lines string) string { return a.with(lines + a.lengthField()) }

// statusVariants returns answers with odd status lines.
func (a plainAnswer) statusVariants() []AnswerVariant {
	code, _, _ := strings.Cut(a.status, " ")
	interim := func(text string) string { return text + "\r\n" + a.withField("") }
	return []AnswerVariant{
		{"status 000", a.withLine("HTTP/1.1 000 OK"), false},
		{"status 000 without a reason", a.withLine("HTTP/1.1 000"), false},
		{"status 000 with an empty reason", a.withLine("HTTP/1.1 000 "), false},
		{"status 000 without fields", "HTTP/1.1 000 OK\r\n\r\n", false},
		{"status 000 in HTTP/1.0", a.withLine("HTTP/1.0 000 OK"), false},
		{"status 000 of an interim answer", interim("HTTP/1.1 000 Continue\r\n"), false},
		{"status 001", a.withLine("HTTP/1.1 001 OK"), false},
		{"status 099", a.withLine("HTTP/1.1 099 OK"), false},
		{"status 600", a.withLine("HTTP/1.1 600 OK"), false},
		{"status 999", a.withLine("HTTP/1.1 999 OK"), false},
		{"status 101", a.withLine("HTTP/1.1 101 Switching Protocols"), false},
		{"a status of no digits", a.withLine("HTTP/1.1 OK"), false},
		{"a status of two digits", a.withLine("HTTP/1.1 20 OK"), false},
		{"a status of four digits", a.withLine("HTTP/1.1 0" + a.status), false},
		{"a signed status", a.withLine("HTTP/1.1 +20 OK"), false},
		{"two blanks before the status", a.withLine("HTTP/1.1  " + a.status), false},
		{"a tab before the status", a.withLine("HTTP/1.1\t" + a.status), false},
		{"a tab behind the status", a.withLine("HTTP/1.1 " + code + "\tOK"), false},
		{"an empty line before the status line", "\r\n" + a.withField(""), false},
		{"a blank before the status line", " " + a.withField(""), false},
		{"a line feed before the status line", "\n" + a.withField(""), false},
		{"a version in lower case", a.withLine("http/1.1 " + a.status), false},
		{"version 0.9", a.withLine("HTTP/0.9 " + a.status), false},
		{"version 2.0", a.withLine("HTTP/2.0 " + a.status), false},
		{"version 1.10", a.withLine("HTTP/1.10 " + a.status), false},
		{"no version", a.withLine(a.status), false},
		{"no reason", a.withLine("HTTP/1.1 " + code + " "), true},
		{"no reason and no blank", a.withLine("HTTP/1.1 " + code), true},
		{"an odd reason", a.withLine("HTTP/1.1 " + code + " so\tgood: \xc3\xa9"), true},
		{"a NUL in the reason", a.withLine("HTTP/1.1 " + code + " O\x00K"), false},
		{"a control byte in the reason", a.withLine("HTTP/1.1 " + code + " O\x01K"), false},
		{"a carriage return in the reason", a.withLine("HTTP/1.1 " + code + " O\rK"), false},
		{"a DEL in the reason", a.withLine("HTTP/1.1 " + code + " O\x7fK"), false},
	}
}
