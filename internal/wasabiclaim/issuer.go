package wasabiclaim

import (
	"context"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// releasesSize bounds the queue of ends that still have to be sent to issuers.
	// When it is full the end is dropped and counted: the ticket stays claimed,
	// repeats are answered that its outcome is unknown, and nothing runs twice.
	releasesSize = 1024
	// releasers is the number of goroutines that send ends to issuers. An issuer
	// that cannot be reached delays one of them for each of its ends.
	releasers = 4
	// releaseTries bounds the attempts to send an end to its issuer.
	releaseTries = 6
	// releasePause is the pause after the first attempt; it doubles after each.
	releasePause = 200 * time.Millisecond
	// peerTimeout bounds one call to an issuer.
	peerTimeout = 2 * time.Second
)

func (k *Controller) claimTicket(ctx context.Context, q wasabiridge.ClaimQuery) (wasabiridge.ClaimOutcome, error) {
	t, err := decodeTicket(k.secret, q.Account, q.Key)
	if err != nil {
		// The ticket is forged, or was made with a secret that was changed
		// since. In the second case the request may have run, so "not run"
		// could be false.
		return unknownNotSent(), nil
	}
	if t.Instance == k.options.Self {
		out := k.decideTicket(t, q)
		if out.State == wasabiridge.ClaimGranted && ctx.Err() != nil {
			k.endTicket(t, wasabiridge.ClaimResult{Query: q, Disposition: wasabiridge.NotRun})
			return unknownNotSent(), nil
		}
		return out, nil
	}
	address, ok := k.locate(t.Instance)
	if !ok {
		return unknownNotSent(), nil
	}
	var out wasabiridge.ClaimOutcome
	if out, err = k.options.Peers.Claim(ctx, address, q); err != nil || out.State == wasabiridge.ClaimGranted && ctx.Err() != nil {
		// The issuer may have granted the claim although its response was
		// lost, or the caller left before it arrived. This request will not be
		// sent, so the issuer must release the claim. The issuer remembers the
		// request as abandoned, so the release is safe even if it overtakes the
		// claim.
		k.deferFinish(wasabiridge.ClaimResult{Query: q, Disposition: wasabiridge.NotRun})
		return unknownNotSent(), nil
	}
	return out, nil
}

func (k *Controller) decideTicket(t ticket, q wasabiridge.ClaimQuery) wasabiridge.ClaimOutcome {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tickets.claim(k.options.Clock.Now(), t, q)
}

func (k *Controller) finishTicket(ctx context.Context, r wasabiridge.ClaimResult) error {
	t, err := decodeTicket(k.secret, r.Query.Account, r.Query.Key)
	if err != nil {
		return err
	}
	if t.Instance == k.options.Self {
		k.endTicket(t, r)
		return nil
	}
	if err = k.notifyIssuer(ctx, t.Instance, r); err != nil {
		k.deferFinish(r)
	}
	return nil
}

func (k *Controller) endTicket(t ticket, r wasabiridge.ClaimResult) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tickets.finish(k.options.Clock.Now(), t, r)
}

func (k *Controller) notifyIssuer(ctx context.Context, issuer wasabiridge.InstanceID, r wasabiridge.ClaimResult) error {
	address, ok := k.locate(issuer)
	if !ok {
		return wasabiridge.ErrUnavailable.New("claim: no peer address for ticket issuer %s", issuer)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return k.options.Peers.FinishClaim(ctx, address, r)
}

func (k *Controller) deferFinish(r wasabiridge.ClaimResult) {
	select {
	case k.releases <- r:
	default:
		k.droppedReleases.Add(1)
	}
}

// HandleClaim decides on a claim for a ticket that this instance issued. It
// implements the method of wasabiridge.PeerHandler.
func (k *Controller) HandleClaim(_ context.Context, q wasabiridge.ClaimQuery) (wasabiridge.ClaimOutcome, error) {
	t, err := decodeTicket(k.secret, q.Account, q.Key)
	if err != nil {
		return unknownNotSent(), nil
	}
	return k.decideTicket(t, q), nil
}

// HandleFinishClaim records the end of a request whose ticket this instance
// issued. It implements the method of wasabiridge.PeerHandler. It returns
// ErrInvalid for a ticket that cannot be verified.
func (k *Controller) HandleFinishClaim(_ context.Context, r wasabiridge.ClaimResult) error {
	t, err := decodeTicket(k.secret, r.Query.Account, r.Query.Key)
	if err != nil {
		return err
	}
	k.endTicket(t, r)
	return nil
}

// release sends queued ends to the issuers of their tickets until the context
// ends.
func (k *Controller) release(ctx context.Context) {
	for {
		select {
		case r := <-k.releases:
			k.releaseOne(ctx, r)
		case <-ctx.Done():
			return
		}
	}
}

func (k *Controller) releaseOne(ctx context.Context, r wasabiridge.ClaimResult) {
	t, err := decodeTicket(k.secret, r.Query.Account, r.Query.Key)
	if err != nil {
		return
	}
	pause := releasePause
	for range releaseTries {
		if err = k.notifyIssuer(ctx, t.Instance, r); err == nil {
			return
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		pause *= 2
	}
	k.droppedReleases.Add(1)
}
