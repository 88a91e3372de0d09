package stand

import (
	"fmt"
	"slices"
	"strings"
)

// AnswerVariant is an answer that differs from a plain one in one place.
type AnswerVariant struct {
	Name, Text string
	// Valid is set if HTTP/1.1 allows the answer, which then says the same as the plain one.
	Valid bool
}

// codedField is the field of an answer in chunks.
const codedField = "Transfer-Encoding: chunked\r\n"

// plainAnswer is the answer that variants differ from.
type plainAnswer struct {
	// status is the code and the reason, and fields are the header fields with their line ends.
	status, fields, body string
}

// AnswerVariants returns variants of the answer with a status, such as "200 OK", header fields,
// each with its line end, and a body. Beside the malformed ones of each kind stand valid ones.
func AnswerVariants(status, fields, body string) []AnswerVariant {
	a := plainAnswer{status, fields, body}
	return slices.Concat(a.statusVariants(), a.fieldVariants(), a.framingVariants(), a.trailerVariants())
}

func (a plainAnswer) statusLine() string { return "HTTP/1.1 " + a.status + "\r\n" }

func (a plainAnswer) lengthField() string { return a.sized("Content-Length: %d\r\n") }

// sized returns a field with the length of the body.
func (a plainAnswer) sized(format string) string { return fmt.Sprintf(format, len(a.body)) }

func (a plainAnswer) chunk() string { return fmt.Sprintf("%x\r\n%s\r\n", len(a.body), a.body) }

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

// inChunks returns the answer with a body in chunks, and lines in place of the field that says so.
func (a plainAnswer) inChunks(lines, chunks string) string {
	return a.statusLine() + a.fields + lines + "\r\n" + chunks
}

// withTrailer returns the answer in chunks, with the lines of a trailer.
func (a plainAnswer) withTrailer(lines string) string {
	return a.inChunks(codedField, a.chunk()+"0\r\n"+lines+"\r\n")
}

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

// fieldVariants returns answers with odd header fields.
func (a plainAnswer) fieldVariants() []AnswerVariant {
	chunks := a.chunk() + "0\r\n\r\n"
	interim := func(text string) string { return text + "\r\n" + a.withField("") }
	return []AnswerVariant{
		{"a name of all signs", a.withField("X-Fine!#$%&'*+.^_`|~9: y\r\n"), true},
		{"a blank in a name", a.withField("X Odd: y\r\n"), false},
		{"a blank behind a name", a.withField("X-Odd : y\r\n"), false},
		{"a blank before a name", a.withField(" X-Odd: y\r\n"), false},
		{"a tab in a name", a.withField("X\tOdd: y\r\n"), false},
		{"a tab behind a name", a.withField("X-Odd\t: y\r\n"), false},
		{"a tab before a name", a.withField("\tX-Odd: y\r\n"), false},
		{"a NUL in a name", a.withField("X\x00Odd: y\r\n"), false},
		{"a control byte in a name", a.withField("X\x01Odd: y\r\n"), false},
		{"a control byte before a name", a.withField("\x1bX-Odd: y\r\n"), false},
		{"a control byte behind a name", a.withField("X-Odd\x1f: y\r\n"), false},
		{"a DEL in a name", a.withField("X\x7fOdd: y\r\n"), false},
		{"a line feed before a name", a.withField("\nX-Odd: y\r\n"), false},
		{"a line feed in a name", a.withField("X\nOdd: y\r\n"), false},
		{"a carriage return before a name", a.withField("\rX-Odd: y\r\n"), false},
		{"a carriage return in a name", a.withField("X\rOdd: y\r\n"), false},
		{"a carriage return behind a name", a.withField("X-Odd\r: y\r\n"), false},
		{"a separator in a name", a.withField("X/Odd: y\r\n"), false},
		{"a letter that is not ASCII in a name", a.withField("X\xc3\xa9: y\r\n"), false},
		{"a name of a blank", a.withField(" : y\r\n"), false},
		{"an empty name", a.withField(": y\r\n"), false},
		{"a line without a colon", a.withField("X-Odd\r\n"), false},
		{"a first name", a.statusLine() + "X-Fine: y\r\n" + a.fields + a.lengthField() + "\r\n" + a.body, true},
		{"a blank in the first name", a.statusLine() + "X Odd: y\r\n" + a.fields + a.lengthField() + "\r\n" + a.body, false},
		{"a blank before the first name", a.statusLine() + " X-Odd: y\r\n" + a.fields + a.lengthField() + "\r\n" + a.body, false},
		{"a line feed before the first name", a.statusLine() + "\nX-Odd: y\r\n" + a.fields + a.lengthField() + "\r\n" + a.body, false},
		{"a last name", a.with(a.lengthField() + "X-Fine: y\r\n"), true},
		{"a blank in the last name", a.with(a.lengthField() + "X Odd: y\r\n"), false},
		{"a blank before the last name", a.with(a.lengthField() + " X-Odd: y\r\n"), false},
		{"a line feed before the last name", a.with(a.lengthField() + "\nX-Odd: y\r\n"), false},
		{"a length in other letters", a.with(a.sized("content-LENGTH:%d\r\n")), true},
		{"a blank behind the length's name", a.with(a.sized("Content-Length : %d\r\n")), false},
		{"a blank in the length's name", a.with(a.sized("Content Length: %d\r\n")), false},
		{"a blank before the length's name", a.with(a.sized(" Content-Length: %d\r\n")), false},
		{"a control byte before the length's name", a.with(a.sized("\x01Content-Length: %d\r\n")), false},
		{"a line feed before the length's name", a.with(a.sized("\nContent-Length: %d\r\n")), false},
		{"a coding in other letters", a.inChunks("transfer-encoding:\tChunked \r\n", chunks), true},
		{"a blank behind the coding's name", a.inChunks("Transfer-Encoding : chunked\r\n", chunks), false},
		{"a blank in the coding's name", a.inChunks("Transfer Encoding: chunked\r\n", chunks), false},
		{"a blank before the coding's name", a.inChunks(" Transfer-Encoding: chunked\r\n", chunks), false},
		{"a line feed before the coding's name", a.inChunks("\nTransfer-Encoding: chunked\r\n", chunks), false},
		{"odd values", a.withField("X-Fine:  a\tb \xc3\xa9 \r\nX-Empty:\r\n"), true},
		{"a NUL in a value", a.withField("X-Odd: a\x00b\r\n"), false},
		{"a control byte in a value", a.withField("X-Odd: a\x01b\r\n"), false},
		{"a DEL in a value", a.withField("X-Odd: a\x7fb\r\n"), false},
		{"a carriage return in a value", a.withField("X-Odd: a\rb\r\n"), false},
		{"a line feed in a value", a.withField("X-Odd: a\nX-Odder: b\r\n"), false},
		{"two carriage returns behind a value", a.withField("X-Odd: a\r\r\n"), false},
		{"a value on two lines", a.withField("X-Odd: a\r\n b\r\n"), false},
		{"a line feed as the end of the status line", strings.Replace(a.withField(""), "\r\n", "\n", 1), false},
		{"a line feed as the end of a field", a.with(a.sized("Content-Length: %d\n")), false},
		{"line feeds as the end of the header", a.statusLine() + a.fields + strings.TrimSuffix(a.lengthField(), "\r\n") + "\n\n" + a.body, false},
		{"an interim answer", interim("HTTP/1.1 103 Early Hints\r\nLink: x\r\n"), true},
		{"a blank in a name of an interim answer", interim("HTTP/1.1 103 Early Hints\r\nLi nk: x\r\n"), false},
		{"a control byte in a name of an interim answer", interim("HTTP/1.1 103 Early Hints\r\nLi\x01nk: x\r\n"), false},
		{"an empty line behind an interim answer", interim("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"), false},
	}
}

// framingVariants returns answers whose fields contradict each other on the body.
func (a plainAnswer) framingVariants() []AnswerVariant {
	chunks := a.chunk() + "0\r\n\r\n"
	return []AnswerVariant{
		{"a length and chunks", a.inChunks(a.lengthField()+codedField, chunks), false},
		{"chunks and a length", a.inChunks(codedField+a.lengthField(), chunks), false},
		{"two lengths", a.with(a.lengthField() + "Content-Length: 1\r\n"), false},
		{"a content type", a.withField("Content-Type: text/plain\r\n"), true},
		{"two content types", a.withField("Content-Type: text/plain\r\ncontent-type: text/odd\r\n"), false},
		{"a signed length", a.with(a.sized("Content-Length: +%d\r\n")), false},
		{"chunks in HTTP/1.0", strings.Replace(a.inChunks(codedField, chunks), "1.1", "1.0", 1), false},
	}
}

// trailerVariants returns answers in odd chunks, or with odd trailers.
func (a plainAnswer) trailerVariants() []AnswerVariant {
	return []AnswerVariant{
		{"chunks", a.inChunks(codedField, fmt.Sprintf("0%X;a=\"b\"\r\n%s\r\n00;c\r\n\r\n", len(a.body), a.body)), true},
		{"a line feed behind a chunk's size", a.inChunks(codedField, strings.Replace(a.chunk(), "\r\n", "\n", 1)+"0\r\n\r\n"), false},
		{"a line feed behind a chunk", a.inChunks(codedField, strings.TrimSuffix(a.chunk(), "\r\n")+"\n0\r\n\r\n"), false},
		{"a signed size of a chunk", a.inChunks(codedField, "+"+a.chunk()+"0\r\n\r\n"), false},
		{"a prefixed size of a chunk", a.inChunks(codedField, "0x"+a.chunk()+"0\r\n\r\n"), false},
		{"a blank before a chunk's size", a.inChunks(codedField, " "+a.chunk()+"0\r\n\r\n"), false},
		{"a carriage return in a chunk's extension", a.inChunks(codedField, strings.Replace(a.chunk(), "\r\n", ";a\rb\r\n", 1)+"0\r\n\r\n"), false},
		{"a trailer", a.withTrailer("X-Sum: 1\r\nX-More:\r\n"), true},
		{"a blank in a trailer's name", a.withTrailer("X Sum: 1\r\n"), false},
		{"a blank behind a trailer's name", a.withTrailer("X-Sum : 1\r\n"), false},
		{"a blank before a trailer's name", a.withTrailer("X-Sum: 1\r\n X-More: 2\r\n"), false},
		{"a control byte in a trailer's name", a.withTrailer("X\x01Sum: 1\r\n"), false},
		{"a control byte in a trailer's value", a.withTrailer("X-Sum: \x01\r\n"), false},
		{"a line feed before a trailer's name", a.withTrailer("X-Sum: 1\r\n\nX-More: 2\r\n"), false},
		{"a line feed as the end of a trailer's line", a.withTrailer("X-Sum: 1\nX-More: 2\r\n"), false},
		{"a line without a colon in a trailer", a.withTrailer("X-Sum\r\n"), false},
		{"a length in a trailer", a.withTrailer(a.lengthField()), false},
		{"a status line in a trailer", a.withTrailer(a.statusLine()), false},
	}
}
