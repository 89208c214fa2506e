package wasabioutcome

import (
	"slices"
	"sort"

	"github.com/wasabiridge/wasabiridge"
)

// Verdicts on a target.
const (
	VerdictMet    = "met"
	VerdictNotMet = "not_met"
	VerdictNoData = "no_data"
)

// Measures of targets.
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

// judge compares a target with what was measured. Figures that were not
// measured, such as a hit rate without any prompt, are no data and not zero.
func judge(t wasabiridge.Target, s *series) wasabiridge.TargetResult {
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

// coverage says what of the quarter is known and what is missing.
func (m *merger) coverage() wasabiridge.OutcomeCoverage {
	c := wasabiridge.OutcomeCoverage{Objects: m.objects, Folded: m.folded, LostOutcomes: m.lost}
	slices.Sort(m.unreadable)
	c.Unreadable = m.unreadable[:min(len(m.unreadable), maxNamed)]
	c.UnreadableObjects = len(m.unreadable)
	for _, lives := range m.dropped {
		for _, n := range lives {
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
			if len(c.Gaps) < maxNamed {
				c.Gaps = append(c.Gaps, wasabiridge.OutcomeGap{Instance: id, From: s.to, To: end})
			}
		}
	}
	if covered+missing > 0 {
		c.Share = float64(covered) / float64(covered+missing)
	}
}

// gapAfter returns the end of the time after a span that nothing covers.
//
// A span that was not sealed belongs to an instance that still runs or that
// died. When its next write is overdue by two intervals it counts as dead, and
// up to one interval of its traffic is lost. Time in which an instance with a
// sealed window did not run is no gap.
func (m *merger) gapAfter(spans []span, i int) (wasabiridge.Millis, bool) {
	s := spans[i]
	if s.sealed {
		return 0, false
	}
	lostUntil := s.to + s.interval
	if i+1 < len(spans) {
		next := spans[i+1].from
		return min(next, lostUntil), next > s.to+tolerated
	}
	return lostUntil, m.now > s.to+2*s.interval
}
