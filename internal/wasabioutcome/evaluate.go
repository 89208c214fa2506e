package wasabioutcome

import (
	"slices"
	"sort"

	"github.com/wasabiridge/wasabiridge"
)

// Verdicts of a TargetResult.
const (
	VerdictMet    = "met"
	VerdictNotMet = "not_met"
	VerdictNoData = "no_data"
)

// Values of Target.Measure.
const (
	MeasureHitRate    = "hit_rate"
	MeasureTTFTP50    = "ttft_p50"
	MeasureTTFTP95    = "ttft_p95"
	MeasureTTFTP99    = "ttft_p99"
	MeasureRecomputed = "recomputed_share"
	MeasureRefused    = "refused_share"
	MeasureDoubled    = "doubled"
	MeasureCut        = "cut"
)

// evaluate compares a target with the figures of a series. A figure without
// measurements, such as the hit rate when no prompt was counted, gives
// VerdictNoData, because a zero would be taken for a measured value. A nil
// series gives VerdictNoData as well.
func evaluate(t wasabiridge.Target, s *series) wasabiridge.TargetResult {
	result := wasabiridge.TargetResult{Target: t, Verdict: VerdictNoData}
	if s == nil {
		return result
	}
	figure, measured := figureOf(t.Measure, s.figures())
	if !measured {
		return result
	}
	result.Figure = &figure
	result.Verdict = VerdictMet
	if t.AtMost != nil && figure > *t.AtMost || t.AtLeast != nil && figure < *t.AtLeast {
		result.Verdict = VerdictNotMet
	}
	return result
}

// figureOf returns the figure that a measure names. measured is false when
// nothing was counted for it or the measure is not defined.
func figureOf(measure string, f wasabiridge.OutcomeFigures) (figure float64, measured bool) {
	switch measure {
	case MeasureHitRate:
		return f.HitRate, f.PromptTokens > 0
	case MeasureRecomputed:
		return f.Recomputed, f.PromptTokens > 0
	case MeasureTTFTP50:
		return float64(f.TTFTP50Millis), f.TTFTMeasured > 0
	case MeasureTTFTP95:
		return float64(f.TTFTP95Millis), f.TTFTMeasured > 0
	case MeasureTTFTP99:
		return float64(f.TTFTP99Millis), f.TTFTMeasured > 0
	case MeasureRefused:
		return f.RefusedShare, f.Requests > 0
	case MeasureDoubled:
		return float64(f.Doubled), f.Requests > 0
	case MeasureCut:
		return float64(f.Cut), f.Requests > 0
	default:
		return 0, false
	}
}

// coverage returns the share of the quarter's running time that the windows
// cover, and lists missing days, missing instances, unreadable objects and
// gaps.
func (m *merger) coverage() wasabiridge.OutcomeCoverage {
	c := wasabiridge.OutcomeCoverage{Objects: m.objects, Folded: m.folded, LostOutcomes: m.lost}
	slices.Sort(m.unreadable)
	c.Unreadable = m.unreadable[:min(len(m.unreadable), maxListed)]
	c.UnreadableObjects = len(m.unreadable)
	for _, incarnations := range m.dropped {
		for _, n := range incarnations {
			c.DroppedDays += n
		}
	}
	for at := m.from; at < min(m.to, m.now); at += wasabiridge.Day {
		if _, found := m.days[dayOf(at)]; !found {
			c.MissingDays = append(c.MissingDays, dayOf(at))
		}
	}
	for id := range m.seen {
		if _, found := m.spans[id]; !found {
			c.MissingInstances = append(c.MissingInstances, id)
		}
	}
	slices.Sort(c.MissingInstances)
	m.addGaps(&c)
	return c
}

// addGaps adds the gaps of all instances, of which it lists the first
// maxListed, and the covered share of the time.
func (m *merger) addGaps(c *wasabiridge.OutcomeCoverage) {
	ids := make([]wasabiridge.InstanceID, 0, len(m.spans))
	for id := range m.spans {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var covered, missing wasabiridge.Millis
	for _, id := range ids {
		spans := m.spans[id]
		sort.Slice(spans, func(i, j int) bool {
			if spans[i].from != spans[j].from {
				return spans[i].from < spans[j].from
			}
			return spans[i].to < spans[j].to
		})
		for i, s := range spans {
			covered += s.to - s.from
			end, gap := m.gapAfter(spans, i)
			if !gap {
				continue
			}
			missing += end - s.to
			c.GapCount++
			if len(c.Gaps) < maxListed {
				c.Gaps = append(c.Gaps, wasabiridge.OutcomeGap{Instance: id, From: s.to, To: end})
			}
		}
	}
	if covered+missing > 0 {
		c.Share = float64(covered) / float64(covered+missing)
	}
}

// gapAfter returns the end of the uncovered time that follows spans[i], and
// whether there is any.
//
// A span whose window was not sealed belongs to an instance that still runs or
// that crashed. An instance counts as crashed when it has written nothing for
// two intervals, and then up to one interval of its traffic is lost. Time after
// a sealed window is no gap: the instance did not run, or a new day began.
func (m *merger) gapAfter(spans []span, i int) (wasabiridge.Millis, bool) {
	s := spans[i]
	if s.sealed {
		return 0, false
	}
	lossEnd := s.to + s.interval
	if i+1 < len(spans) {
		next := spans[i+1].from
		return min(next, lossEnd), next > s.to+gapTolerance
	}
	return lossEnd, m.now > s.to+2*s.interval
}
