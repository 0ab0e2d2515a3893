package envelope

// SealRaw seals bytes that need not encode an envelope.
func SealRaw(s *Sealer, body []byte) []byte {
	out := append([]byte(nil), body...)
	out = append(out, s.id)
	signed := len(out)
	out = append(out, make([]byte, nonceSize)...)
	s.putNonce(out[signed:])
	return s.aead.Seal(out, out[signed:], nil, out[:signed])
}
