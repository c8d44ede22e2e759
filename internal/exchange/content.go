package exchange

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// A content is what a request may have in common with others that crash backend servers as
// it does: the whole request, or one part of its prompt, sent by anybody or by one
// organisation. Each is known by a digest. The last part of a prompt is no content, since it
// belongs to one request or session.

const (
	// maxContentParts limits the parts of a prompt that are contents.
	maxContentParts = 16
	// shortDigestBytes is the length of the beginning of a digest that identifies content in
	// logs.
	shortDigestBytes = 6
)

// partTag begins the digests of the parts of prompts. Those of whole requests are hashes.
var partTag = [8]byte{'p', 'a', 'r', 't'}

const (
	partIDOffset           = len(partTag)
	partOrganisationOffset = partIDOffset + 8
)

// contentsOf returns the digests of all contents of a request. That of the whole request is
// the first.
func contentsOf(r *Request, org *Organisation) []entity.Digest {
	var id entity.OrganisationID
	if org != nil {
		id = org.ID
	}
	return append([]entity.Digest{r.Content}, partContents(contentParts(r), id)...)
}

// contentParts returns the IDs of the parts of a request's prompt that are contents.
func contentParts(r *Request) []uint64 {
	parts := r.Work.Parts
	var out []uint64
	for _, part := range parts[:min(max(len(parts)-1, 0), maxContentParts)] {
		out = append(out, part.ID)
	}
	return out
}

// partContents returns the digests of parts that an organisation sends: of each as sent by
// anybody, and as sent by that one unless its ID is empty.
func partContents(parts []uint64, org entity.OrganisationID) []entity.Digest {
	if len(parts) == 0 {
		return nil
	}
	organisation := sha256.Sum256([]byte(org))
	var out []entity.Digest
	for _, id := range parts {
		digest := partDigest(id)
		out = append(out, digest)
		if org != "" {
			copy(digest[partOrganisationOffset:], organisation[:])
			out = append(out, digest)
		}
	}
	return out
}

// partDigest returns the digest of a part of a prompt, whoever sends it.
func partDigest(id uint64) entity.Digest {
	var d entity.Digest
	copy(d[:], partTag[:])
	binary.BigEndian.PutUint64(d[partIDOffset:], id)
	return d
}

// isPart reports whether a content is a part of a prompt.
func isPart(d entity.Digest) bool { return [len(partTag)]byte(d[:len(partTag)]) == partTag }

// OrganisationsContent returns the digest by which the whole content that an organisation
// sends is known, whichever of its keys it uses. The same request of another organisation may
// run on other data.
func (c *Core) OrganisationsContent(key string, content entity.Digest) entity.Digest {
	if c.index == nil || c.index.byKey[key] == nil {
		return content
	}
	return sha256.Sum256(append([]byte(c.index.byKey[key].ID), content[:]...))
}

// ShortDigest returns the name of a content in logs: the beginning of a whole request's
// digest, or part:ID of a part of a prompt, in hexadecimal, followed by /HASH if it counts for
// one organisation only.
func ShortDigest(d entity.Digest) string {
	if !isPart(d) {
		return hex.EncodeToString(d[:shortDigestBytes])
	}
	name := "part:" + strconv.FormatUint(binary.BigEndian.Uint64(d[partIDOffset:]), 16)
	organisation := d[partOrganisationOffset:]
	if [len(d) - partOrganisationOffset]byte(organisation) == [len(d) - partOrganisationOffset]byte{} {
		return name
	}
	return name + "/" + hex.EncodeToString(organisation[:shortDigestBytes])
}
