package membersim

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

const faultyMemberScenario = `
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

// The judge must report exactly the rule that a faulty member breaks, and none for a correct one. The second balancer is the
// faulty one.
func TestJudgeReportsFaultyMembers(t *testing.T) {
	sc, err := scenario.Parse("wrong.toml", []byte(faultyMemberScenario))
	if err != nil {
		t.Fatal(err)
	}
	const faulty = 1
	memberOf := func(p *Fleet, l member.ProcessID) int { // index of the member that runs this process, or -1
		return slices.IndexFunc(p.Members, func(m *Member) bool { return m.Machine != nil && m.ProcessID() == l })
	}
	for name, row := range map[string]struct {
		alter func(p *Fleet, index int, in bool, msg *member.Message)
		want  []judge.Rule
	}{
		"correct": {func(*Fleet, int, bool, *member.Message) {}, nil},
		"ignores new members": {func(p *Fleet, index int, in bool, msg *member.Message) {
			ignored := func(l member.ProcessID) bool { return p.Now > 4*time.Second && memberOf(p, l) == 3 }
			if index != faulty || !in {
				return
			}
			msg.Records = slices.DeleteFunc(msg.Records, func(r member.Record) bool { return ignored(r.Life) })
			msg.Updates = slices.DeleteFunc(msg.Updates, func(r member.StateUpdate) bool { return ignored(r.Life) })
		}, []judge.Rule{judge.MembersKnown}},
		"declares a live member dead": {func(p *Fleet, index int, in bool, msg *member.Message) {
			if index == faulty && in && p.Now > 15*time.Second && p.Members[2].Machine != nil {
				l := p.Members[2].ProcessID()
				msg.Updates = slices.DeleteFunc(msg.Updates, func(r member.StateUpdate) bool { return r.Life == l })
				msg.Updates = append(msg.Updates, member.StateUpdate{Life: l, Inc: member.MaxIncarnation - 1, State: member.Dead})
				if msg.From == l {
					msg.From = 0 // nor does it accept messages from that member
				}
			} else if index == faulty && !in {
				msg.Updates = slices.DeleteFunc(msg.Updates, func(r member.StateUpdate) bool { return r.State == member.Dead })
			}
		}, []judge.Rule{judge.NoFalseDeath}},
		"never removes dead members": {func(p *Fleet, index int, in bool, msg *member.Message) {
			if index != faulty || !in {
				return
			}
			msg.Updates = slices.DeleteFunc(msg.Updates, func(r member.StateUpdate) bool { return r.State != member.Alive })
			if msg.Kind == member.Nack {
				msg.Kind = member.Ack // counts a failed indirect probe as a success
			}
		}, []judge.Rule{judge.DeathDetected}},
		"lists a member that no other lists": {func(p *Fleet, index int, in bool, msg *member.Message) {
			if index == faulty && in && p.Now > 10*time.Second {
				msg.Records = append(msg.Records, member.Record{Life: 1<<40 + member.ProcessID(p.Now/time.Second)<<2, Name: "ghost", Addr: addr(2)})
			} else if index == faulty {
				msg.Updates = slices.DeleteFunc(msg.Updates, func(r member.StateUpdate) bool { return memberOf(p, r.Life) < 0 && r.Life < 1<<45 && r.Life >= 1<<40 })
			}
		}, []judge.Rule{judge.ViewsEqual}},
		"sends too much": {func(p *Fleet, index int, in bool, msg *member.Message) {
			if index == faulty && !in {
				p.Members[index].BytesSent += 20_000
			}
		}, []judge.Rule{judge.TrafficBounded}},
	} {
		rec := record.New()
		NewSimulation(sc, rec, func(p *Fleet) {
			p.AlterMessage = func(index int, in bool, msg *member.Message) { row.alter(p, index, in, msg) }
		}).RunTo(sc.Length.Duration())
		v := judge.Judge(rec, runner.JudgeConfig(sc))
		if got := v.BrokenRules(); !slices.Equal(got, row.want) {
			t.Errorf("%s: broken rules %q, expected %q", name, got, row.want)
			for _, f := range v.Findings {
				for _, b := range f.Examples[:min(2, len(f.Examples))] {
					t.Log(b.At, b.Text)
				}
			}
		}
		for _, f := range v.Findings {
			if f.Group == "between balancers" && f.Rule != judge.NameConflictReported && f.Checked == 0 {
				t.Errorf("%s: %s is not exercised", name, f.Rule)
			}
		}
	}
}
