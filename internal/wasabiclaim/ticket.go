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
	// ticketPrefix starts every ticket. Keys of callers must not start so.
	ticketPrefix = "wrt1."
	// ticketDomain keeps the code of a ticket apart from other uses of the
	// same secret.
	ticketDomain = "wasabiridge ticket 1"
	// maxTicketLength bounds what the decoder looks at.
	maxTicketLength = 1024
)

var ticketEncoding = base64.RawURLEncoding.Strict()

// ticket is the content of a key that an instance handed out.
type ticket struct {
	Instance    wasabiridge.InstanceID  `json:"instance"`
	Incarnation wasabiridge.Incarnation `json:"incarnation"`
	// Life is a random number drawn at the start of the instance. It tells
	// two lives apart even when an incarnation is used twice, as happens
	// when it is taken from a clock that was set back.
	Life   uint64 `json:"life"`
	Serial uint64 `json:"serial"`
	// Expires is a time of the issuing instance's clock.
	Expires wasabiridge.Millis `json:"expires_ms"`
}

// isTicket reports whether a key claims to be a ticket.
func isTicket(key string) bool {
	return strings.HasPrefix(key, ticketPrefix)
}

// encodeTicket returns the text of a ticket that only the account can use.
func encodeTicket(secret []byte, account wasabiridge.ClientAccountID, t ticket) string {
	payload, err := json.Marshal(t)
	if err != nil {
		// A struct of strings and numbers always encodes.
		panic(err)
	}
	code := ticketCode(secret, account, payload)
	return ticketPrefix + ticketEncoding.EncodeToString(payload) + "." + ticketEncoding.EncodeToString(code)
}

// decodeTicket checks a ticket and returns its content. It reports ErrInvalid
// for a text that no instance with the secret made for the account.
func decodeTicket(secret []byte, account wasabiridge.ClientAccountID, key string) (ticket, error) {
	if len(key) > maxTicketLength || !isTicket(key) {
		return ticket{}, wasabiridge.ErrInvalid.New("ticket: not a ticket")
	}
	payloadText, codeText, _ := strings.Cut(strings.TrimPrefix(key, ticketPrefix), ".")
	var payload, code []byte
	var err error
	if payload, err = ticketEncoding.DecodeString(payloadText); err != nil {
		return ticket{}, wasabiridge.ErrInvalid.New("ticket: payload is not base64")
	}
	if code, err = ticketEncoding.DecodeString(codeText); err != nil {
		return ticket{}, wasabiridge.ErrInvalid.New("ticket: code is not base64")
	}
	// A forged ticket could name any serial and so block or read the claim
	// of another caller. The code is checked before the payload is read.
	if !hmac.Equal(code, ticketCode(secret, account, payload)) {
		return ticket{}, wasabiridge.ErrInvalid.New("ticket: wrong code")
	}
	var t ticket
	if err = json.Unmarshal(payload, &t); err != nil {
		return ticket{}, wasabiridge.ErrInvalid.New("ticket: payload is not a ticket")
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
