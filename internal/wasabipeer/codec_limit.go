package wasabipeer

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
)

// maxSlowness bounds the slowness of a backend server, as a multiple of its pool's average.
const maxSlowness = 100

// encodeLimit returns nil when the update contains no limit.
func encodeLimit(l wasabiridge.LimitUpdate) *pb.LimitNews {
	if !l.Known {
		return nil
	}
	return &pb.LimitNews{Limited: l.Limited, Rate: l.Rate, AgeMs: uint32(min(max(l.Age, 0), wasabiridge.Minute))}
}

// decodeLimit treats a missing limit, or one whose rate is negative, infinite
// or NaN, as unknown.
func decodeLimit(in *pb.LimitNews) wasabiridge.LimitUpdate {
	rate := in.GetRate()
	if in == nil || rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		return wasabiridge.LimitUpdate{}
	}
	age := wasabiridge.Millis(min(uint64(in.GetAgeMs()), uint64(wasabiridge.Minute)))
	return wasabiridge.LimitUpdate{Known: true, Limited: in.GetLimited(), Rate: rate, Age: age}
}

// encodeBrittle returns nil when the update says nothing about how the server bears overload.
func encodeBrittle(b wasabiridge.BrittleUpdate) *pb.BrittleNews {
	if !b.Known {
		return nil
	}
	return &pb.BrittleNews{Brittle: b.Brittle, Refusals: b.Refusals, AgeMs: uint32(min(max(b.Age, 0), wasabiridge.Minute))}
}

// decodeBrittle treats a missing announcement, or one whose refusals are negative, infinite or
// NaN, as unknown.
func decodeBrittle(in *pb.BrittleNews) wasabiridge.BrittleUpdate {
	refusals := in.GetRefusals()
	if in == nil || refusals < 0 || math.IsNaN(refusals) || math.IsInf(refusals, 0) {
		return wasabiridge.BrittleUpdate{}
	}
	return wasabiridge.BrittleUpdate{Known: true, Brittle: in.GetBrittle(), Refusals: refusals, Age: wasabiridge.Millis(min(uint64(in.GetAgeMs()), uint64(wasabiridge.Minute)))}
}
