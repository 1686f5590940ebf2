package mtengine

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
)

// defaultTokens is the answer's length where max_tokens is not given.
const defaultTokens = 16

// request is the completions API's request as far as the stand-in reads it.
type request struct {
	Model         string    `json:"model"`
	Prompt        string    `json:"prompt"`
	Messages      []message `json:"messages"`
	MaxTokens     int       `json:"max_tokens"`
	Stream        bool      `json:"stream"`
	CacheSalt     string    `json:"cache_salt"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// text renders the prompt: the chat template of the stand-in's models is role,
// line end, content, line end.
func (r *request) text() []byte {
	if len(r.Messages) == 0 {
		return []byte(r.Prompt)
	}
	var b bytes.Buffer
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.Bytes()
}

func (r *request) tokens() int {
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return defaultTokens
}

// hashes names the whole blocks of a prompt, each with all before it.
func hashes(salt string, prompt []byte) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/blockBytes)
	h := fnv.New64a()
	_, _ = h.Write([]byte(salt))
	for len(prompt) >= blockBytes {
		_, _ = h.Write(prompt[:blockBytes])
		blocks = append(blocks, h.Sum64())
		prompt = prompt[blockBytes:]
	}
	return blocks
}

// tokenIDs gives four bytes of text each as one token.
func tokenIDs(block []byte) []uint32 {
	ids := make([]uint32, 0, len(block)/tokenBytes)
	for len(block) >= tokenBytes {
		ids = append(ids, binary.LittleEndian.Uint32(block))
		block = block[tokenBytes:]
	}
	return ids
}
