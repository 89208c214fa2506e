package wasabimember_test

import (
	"bytes"
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabimember"
)

// lineBytes bounds a line: 36 names of up to 40 bytes, and the other fields.
const lineBytes = 2048

var _ = Describe("Log lines about membership changes", func() {
	// 374 instances start at once, all lose power, and start again; then a
	// third of them is partitioned for a while. Each instance sees some 1,400
	// changes within 20 s. With one line per change, the number of lines grows
	// with the square of the instances: on-call engineers found nothing else in
	// the logs, and lines about requests were lost.
	It("are few and short however many instances start and stop", func() {
		const instances = 374
		var out bytes.Buffer
		log := zerolog.New(&out)
		var s wasabimember.Summary
		now := begin
		change := func(dead bool, from, to int) {
			for i := from; i < to; i++ {
				s.Add(now, wasabiridge.Member{InstanceEntry: entryOf(i), Dead: dead})
				now += 4
				s.Write(now, log, i)
			}
		}
		for range 2 {
			change(false, 0, instances)
			now += 3 * wasabiridge.Second
			s.Write(now, log, instances)
			change(true, 0, instances)
		}
		change(true, 0, instances/3)
		change(false, 0, instances/3)
		now += wasabiridge.Second
		s.Write(now, log, instances)
		lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
		Expect(len(lines)).To(BeNumerically("<=", int((now-begin)/wasabiridge.Second)+1))
		for _, l := range lines {
			Expect(len(l)).To(BeNumerically("<=", lineBytes))
		}
	})

	It("name and count the members per new state", func() {
		var out bytes.Buffer
		var s wasabimember.Summary
		s.Write(begin, zerolog.New(&out), 0)
		s.Add(begin, wasabiridge.Member{InstanceEntry: entryOf(1)})
		s.Add(begin, wasabiridge.Member{InstanceEntry: entryOf(2), Dead: true})
		s.Add(begin+1, wasabiridge.Member{InstanceEntry: wasabiridge.InstanceEntry{ID: "c", Leaving: true}})
		s.Write(begin+999, zerolog.New(&out), 3)
		Expect(out.Len()).To(BeZero())
		s.Write(begin+1000, zerolog.New(&out), 3)
		var line map[string]any
		Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
		Expect(line).To(And(
			HaveKeyWithValue("message", "Members changed."), HaveKeyWithValue("members", 3.0),
			HaveKeyWithValue("alive", 1.0), HaveKeyWithValue("alive_names", []any{"region-1-001"}),
			HaveKeyWithValue("dead", 1.0), HaveKeyWithValue("dead_names", []any{"region-2-002"}),
			HaveKeyWithValue("leaving", 1.0), HaveKeyWithValue("leaving_names", []any{"c"}),
		))
		out.Reset()
		s.Write(begin+5000, zerolog.New(&out), 3)
		Expect(out.Len()).To(BeZero())
	})
})
