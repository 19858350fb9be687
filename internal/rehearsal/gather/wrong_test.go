package gather

import (
	"slices"
	"testing"
	"time"

	"streamrail/internal/fleet/member"
	"streamrail/internal/rehearsal/judge"
	"streamrail/internal/rehearsal/record"
	"streamrail/internal/rehearsal/runner"
	"streamrail/internal/rehearsal/scenario"
)

const wrongDay = `
name = "wrong"
length = "60s"
[fleet]
balancers = 6
[mates]
on = true
[[fault]]
do = "balancer-kill"
at = "20s"
for = "35s"
balancers = [5]
[[fault]]
do = "balancer-kill"
at = "5s"
for = "100ms"
balancers = [4]
`

// Each wrong member is named for just the rule that it breaks, and the right one for none. The second balancer is the wrong one.
func TestWrongMembers(t *testing.T) {
	day, err := scenario.Parse("wrong.toml", []byte(wrongDay))
	if err != nil {
		t.Fatal(err)
	}
	const wrong = 1
	named := func(p *Play, l member.ProcessID) int { // whose life it is
		return slices.IndexFunc(p.Mates, func(m *Mate) bool { return m.Machine != nil && m.ProcessID() == l })
	}
	for name, row := range map[string]struct {
		twist func(p *Play, mate int, in bool, msg *member.Message)
		want  []judge.Rule
	}{
		"right": {func(*Play, int, bool, *member.Message) {}, nil},
		"does not hear of newcomers": {func(p *Play, mate int, in bool, msg *member.Message) {
			old := func(l member.ProcessID) bool { return p.Now > 4*time.Second && named(p, l) == 3 }
			if mate != wrong || !in {
				return
			}
			msg.Records = slices.DeleteFunc(msg.Records, func(r member.Record) bool { return old(r.Life) })
			msg.Updates = slices.DeleteFunc(msg.Updates, func(r member.StateUpdate) bool { return old(r.Life) })
		}, []judge.Rule{judge.MatesKnown}},
		"declares one dead without cause": {func(p *Play, mate int, in bool, msg *member.Message) {
			if mate == wrong && in && p.Now > 15*time.Second && p.Mates[2].Machine != nil {
				l := p.Mates[2].ProcessID()
				msg.Updates = slices.DeleteFunc(msg.Updates, func(r member.StateUpdate) bool { return r.Life == l })
				msg.Updates = append(msg.Updates, member.StateUpdate{Life: l, Inc: member.MaxIncarnation - 1, State: member.Dead})
				if msg.From == l {
					msg.From = 0 // nor does it hear the one itself
				}
			} else if mate == wrong && !in {
				msg.Updates = slices.DeleteFunc(msg.Updates, func(r member.StateUpdate) bool { return r.State == member.Dead })
			}
		}, []judge.Rule{judge.MatesAlive}},
		"never gives up the dead": {func(p *Play, mate int, in bool, msg *member.Message) {
			if mate != wrong || !in {
				return
			}
			msg.Updates = slices.DeleteFunc(msg.Updates, func(r member.StateUpdate) bool { return r.State != member.Alive })
			if msg.Kind == member.Nack {
				msg.Kind = member.Ack // what others could not reach it takes for reached
			}
		}, []judge.Rule{judge.MatesDead}},
		"sees one that nobody else sees": {func(p *Play, mate int, in bool, msg *member.Message) {
			if mate == wrong && in && p.Now > 10*time.Second {
				msg.Records = append(msg.Records, member.Record{Life: 1<<40 + member.ProcessID(p.Now/time.Second)<<2, Name: "ghost", Addr: addr(2)})
			} else if mate == wrong {
				msg.Updates = slices.DeleteFunc(msg.Updates, func(r member.StateUpdate) bool { return named(p, r.Life) < 0 && r.Life < 1<<45 && r.Life >= 1<<40 })
			}
		}, []judge.Rule{judge.MatesSame}},
		"talks without end": {func(p *Play, mate int, in bool, msg *member.Message) {
			if mate == wrong && !in {
				p.Mates[mate].Bytes += 20_000
			}
		}, []judge.Rule{judge.MatesTalk}},
	} {
		rec := record.New()
		NewDay(day, rec, func(p *Play) {
			p.Twist = func(mate int, in bool, msg *member.Message) { row.twist(p, mate, in, msg) }
		}).To(day.Length.Duration())
		v := judge.Judge(rec, runner.Terms(day))
		if got := v.BrokenRules(); !slices.Equal(got, row.want) {
			t.Errorf("%s: named for %q, expected %q", name, got, row.want)
			for _, f := range v.Findings {
				for _, b := range f.Examples[:min(2, len(f.Examples))] {
					t.Log(b.At, b.Text)
				}
			}
		}
		for _, f := range v.Findings {
			if f.Group == "between balancers" && f.Rule != judge.MatesName && f.Checked == 0 {
				t.Errorf("%s: %s is not exercised", name, f.Rule)
			}
		}
	}
}
