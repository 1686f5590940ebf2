package mtcaller

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// message is one chat message. Its content is a text, a list of parts, or
// null where an assistant's message holds tool calls only.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
	Calls   json.RawMessage `json:"tool_calls"`
}

// part is one part of a message's content.
type part struct {
	Type string  `json:"type"`
	Text *string `json:"text"`
}

// textPart is the type of the parts that the router reads.
const textPart = "text"

// render joins chat messages as the engines' template does: role, line end,
// content, line end. It decides which prompts share a prefix; the engine gets
// the messages as they came.
func render(messages []message) ([]byte, error) {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content) + len(m.Calls) + 2
	}
	b := bytes.NewBuffer(make([]byte, 0, size))
	for i, m := range messages {
		if m.Role == "" {
			return nil, badBody(fmt.Sprintf("messages[%d] has no role", i))
		}
		b.WriteString(m.Role)
		b.WriteByte('\n')
		if err := m.write(b); err != nil {
			return nil, badBody(fmt.Sprintf("messages[%d]: %v", i, err))
		}
		b.WriteByte('\n')
	}
	return b.Bytes(), nil
}

func (m *message) write(b *bytes.Buffer) error {
	b.Write(m.Calls)
	raw := bytes.TrimSpace(m.Content)
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return nil
	}
	switch raw[0] {
	case '"':
		var text string
		if err := json.Unmarshal(raw, &text); err != nil {
			return err
		}
		b.WriteString(text)
		return nil
	case '[':
		return writeParts(b, raw)
	default:
		return fmt.Errorf("content must be a text or a list of parts")
	}
}

// writeParts joins text parts by line ends. A part of another type, such as an
// image, stands for itself as it came: equal parts share, others do not.
func writeParts(b *bytes.Buffer, raw []byte) error {
	var parts []json.RawMessage
	if err := json.Unmarshal(raw, &parts); err != nil {
		return err
	}
	for i, one := range parts {
		var p part
		if err := json.Unmarshal(one, &p); err != nil {
			return fmt.Errorf("content[%d]: %w", i, err)
		}
		if i > 0 {
			b.WriteByte('\n')
		}
		switch {
		case p.Type == "":
			return fmt.Errorf("content[%d] has no type", i)
		case p.Type != textPart:
			b.Write(one)
		case p.Text == nil:
			return fmt.Errorf("content[%d] has no text", i)
		default:
			b.WriteString(*p.Text)
		}
	}
	return nil
}
