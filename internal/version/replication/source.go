package replication

import (
	"bytes"
	"encoding/binary"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// maxBatchBytes bounds the listeners of one answer, of which there is at least one.
const maxBatchBytes = 128 << 10

// Errors of this package.
var (
	ErrNoLaterVersion = errs.New("replication: there is no later version")
	ErrMismatch       = errs.New("replication: the result is not the source's table")
	ErrMalformed      = errs.New("replication: malformed answer")
)

// Compare answers which parts of a table differ from those of a reader.
func Compare(t *routing.Table, question *wire.TableCompare) (*wire.TableCompared, error) {
	if t == nil || t.Version <= question.Above {
		return nil, ErrNoLaterVersion
	}
	head, err := t.Head().MarshalVT()
	if err != nil {
		return nil, errs.Wrap(err)
	}
	digest, err := t.Digest()
	if err != nil {
		return nil, err
	}
	answer := &wire.TableCompared{Head: head, Digest: digest}
	digests := t.PartDigests()
	for i := range routing.PartCount {
		if !bytes.Equal(part(digests, i), part(question.Parts, i)) {
			answer.Parts = append(answer.Parts, &wire.TablePart{Number: uint32(i), Hashes: t.Part(i)})
		}
	}
	return answer, nil
}

// part returns the digest of a part, or nil if there is none.
func part(digests []byte, number int) []byte {
	if len(digests) != routing.PartCount*routing.HashSize {
		return nil
	}
	return digests[number*routing.HashSize:][:routing.HashSize]
}

// Collect returns those of the listeners asked for that the table or the archive has, as far as
// they fit.
func Collect(t *routing.Table, a *Archive, question *wire.TableListeners) (*wire.TableListened, error) {
	hashes, err := routing.DecodeHashes(question.Hashes)
	if err != nil {
		return nil, err
	}
	var out []byte
	for _, h := range hashes {
		encoded, ok := t.Encoding(h)
		if !ok {
			encoded, ok = a.Encoding(h)
		}
		if !ok {
			continue
		}
		if len(out) > 0 && len(out)+len(encoded) > maxBatchBytes {
			break
		}
		out = binary.AppendUvarint(out, uint64(len(encoded)))
		out = append(out, encoded...)
	}
	return &wire.TableListened{Listeners: out}, nil
}
