package wasabiclaim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// ticketPrefix is the prefix of every ticket. Callers' own keys must not start
	// with it, because they would be taken for tickets.
	ticketPrefix = "wrt1."
	// ticketDomain separates the authentication codes of tickets from other uses of
	// the same secret.
	ticketDomain = "wasabiridge ticket 1"
	// maxTicketLength bounds the bytes of a ticket that is decoded.
	maxTicketLength = 1024
)

var ticketEncoding = base64.RawURLEncoding.Strict()

// ticket is the content of a key that an instance issued.
type ticket struct {
	Instance    wasabiridge.InstanceID  `json:"instance"`
	Incarnation wasabiridge.Incarnation `json:"incarnation"`
	// Nonce is a random number drawn at the start of the instance. It
	// distinguishes two runs of the instance even when an incarnation is used
	// twice, as happens when it is derived from a clock that was set back.
	Nonce  uint64 `json:"life"`
	Serial uint64 `json:"serial"`
	// Expires is a time by the issuing instance's clock.
	Expires wasabiridge.Millis `json:"expires_ms"`
}

// isTicket reports whether a key has the form of a ticket. It does not verify it.
func isTicket(key string) bool {
	return strings.HasPrefix(key, ticketPrefix)
}

// encodeTicket returns the text of a ticket, authenticated for one client account.
func encodeTicket(secret []byte, account wasabiridge.ClientAccountID, t ticket) string {
	payload, err := json.Marshal(t)
	if err != nil {
		// Marshalling a struct of strings and numbers cannot fail.
		panic(err)
	}
	code := ticketCode(secret, account, payload)
	return ticketPrefix + ticketEncoding.EncodeToString(payload) + "." + ticketEncoding.EncodeToString(code)
}

// decodeTicket verifies a ticket and returns its content. It returns ErrInvalid
// for a text that no instance with the secret issued for the account.
func decodeTicket(secret []byte, account wasabiridge.ClientAccountID, key string) (ticket, error) {
	if len(key) > maxTicketLength || !isTicket(key) {
		return ticket{}, wasabiridge.ErrInvalid.New("ticket: prefix missing or text too long")
	}
	payloadText, codeText, _ := strings.Cut(strings.TrimPrefix(key, ticketPrefix), ".")
	var payload, code []byte
	var err error
	if payload, err = ticketEncoding.DecodeString(payloadText); err != nil {
		return ticket{}, wasabiridge.ErrInvalid.New("ticket: payload is not base64")
	}
	if code, err = ticketEncoding.DecodeString(codeText); err != nil {
		return ticket{}, wasabiridge.ErrInvalid.New("ticket: authentication code is not base64")
	}
	// A forged ticket could name any serial, and so block or read the claim of
	// another caller. The code is verified before the payload is decoded.
	if !hmac.Equal(code, ticketCode(secret, account, payload)) {
		return ticket{}, wasabiridge.ErrInvalid.New("ticket: authentication code does not match")
	}
	var t ticket
	if err = json.Unmarshal(payload, &t); err != nil {
		return ticket{}, wasabiridge.ErrInvalid.New("ticket: payload is not valid JSON of a ticket")
	}
	return t, nil
}

func ticketCode(secret []byte, account wasabiridge.ClientAccountID, payload []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(ticketDomain))
	mac.Write([]byte{0})
	mac.Write([]byte(account))
	mac.Write([]byte{0})
	mac.Write(payload)
	return mac.Sum(nil)
}
