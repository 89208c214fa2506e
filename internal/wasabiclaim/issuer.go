package wasabiclaim

import (
	"context"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// releasesSize bounds the ring of ends that issuers did not take yet.
	// When it is full the end is dropped and counted: the ticket stays
	// claimed, repeats are told that its outcome is unknown, and nothing
	// runs twice.
	releasesSize = 1024
	// releasers is how many goroutines tell issuers. One that is cut off
	// holds up at most one of them.
	releasers = 4
	// releaseTries bounds how often an issuer is told.
	releaseTries = 6
	// releasePause is the first pause between two tries; it doubles.
	releasePause = 200 * time.Millisecond
	// peerTimeout bounds one call to an issuer.
	peerTimeout = 2 * time.Second
)

func (k *Keeper) claimTicket(ctx context.Context, q wasabiridge.ClaimQuery) (wasabiridge.ClaimOutcome, error) {
	t, err := decodeTicket(k.secret, q.Account, q.Key)
	if err != nil {
		// Forged, or made under a secret that was changed since. In the
		// second case the request may have run, so "not run" could be false.
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
		// The issuer may have granted the claim although its answer is
		// lost, or the caller left when it came. This request will not be sent, so the issuer is told to
		// release it; its memory of the request makes that safe in any
		// order of arrival.
		k.deferFinish(wasabiridge.ClaimResult{Query: q, Disposition: wasabiridge.NotRun})
		return unknownNotSent(), nil
	}
	return out, nil
}

func (k *Keeper) decideTicket(t ticket, q wasabiridge.ClaimQuery) wasabiridge.ClaimOutcome {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tickets.claim(k.options.Clock.Now(), t, q)
}

func (k *Keeper) finishTicket(ctx context.Context, r wasabiridge.ClaimResult) error {
	t, err := decodeTicket(k.secret, r.Query.Account, r.Query.Key)
	if err != nil {
		return err
	}
	if t.Instance == k.options.Self {
		k.endTicket(t, r)
		return nil
	}
	if err = k.tellIssuer(ctx, t.Instance, r); err != nil {
		k.deferFinish(r)
	}
	return nil
}

func (k *Keeper) endTicket(t ticket, r wasabiridge.ClaimResult) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tickets.finish(k.options.Clock.Now(), t, r)
}

func (k *Keeper) tellIssuer(ctx context.Context, issuer wasabiridge.InstanceID, r wasabiridge.ClaimResult) error {
	address, ok := k.locate(issuer)
	if !ok {
		return wasabiridge.ErrUnavailable.New("claim: issuer %s is not known", issuer)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return k.options.Peers.FinishClaim(ctx, address, r)
}

func (k *Keeper) deferFinish(r wasabiridge.ClaimResult) {
	select {
	case k.releases <- r:
	default:
		k.droppedReleases.Add(1)
	}
}

// HandleClaim decides on a claim for a ticket that was issued here. It
// implements the method of wasabiridge.PeerHandler.
func (k *Keeper) HandleClaim(_ context.Context, q wasabiridge.ClaimQuery) (wasabiridge.ClaimOutcome, error) {
	t, err := decodeTicket(k.secret, q.Account, q.Key)
	if err != nil {
		return unknownNotSent(), nil
	}
	return k.decideTicket(t, q), nil
}

// HandleFinishClaim takes the end of a request whose ticket was issued here.
// It implements the method of wasabiridge.PeerHandler.
func (k *Keeper) HandleFinishClaim(_ context.Context, r wasabiridge.ClaimResult) error {
	t, err := decodeTicket(k.secret, r.Query.Account, r.Query.Key)
	if err != nil {
		return err
	}
	k.endTicket(t, r)
	return nil
}

// release tells issuers of ends that they did not take at first.
func (k *Keeper) release(ctx context.Context) {
	for {
		select {
		case r := <-k.releases:
			k.releaseOne(ctx, r)
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) releaseOne(ctx context.Context, r wasabiridge.ClaimResult) {
	t, err := decodeTicket(k.secret, r.Query.Account, r.Query.Key)
	if err != nil {
		return
	}
	pause := releasePause
	for range releaseTries {
		if err = k.tellIssuer(ctx, t.Instance, r); err == nil {
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
