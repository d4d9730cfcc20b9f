//! Queries under a relay's policy: retries, the retry budget, and when a query ends.

use crate::props::Endpoints;
use crate::query::FakeEnvironment;
use std::sync::Arc;
use wisteriahead::core::query::{Action, AttemptId, Event, Gather, Policy, Shortage};
use wisteriahead::prelude::*;
use yare::parameterized;

const DEADLINE: Time = Time(400_000);

fn policy() -> Policy {
    Policy {
        max_attempts: 2,
        strict_budget: true,
        may_restart: false,
        detect_deaths: false,
        ..Policy::default()
    }
}

/// A query over shards with two replicas each, and the actions that it took.
struct QueryRun {
    gather: Gather<u32>,
    env: FakeEnvironment,
    sent: Vec<AttemptId>,
    finished: bool,
}

impl QueryRun {
    fn new(shards: usize, min_coverage: f64, budget: usize, policy: Policy) -> Self {
        let snapshot = Endpoints::default().snapshot("1", &vec![2; shards]);
        let mut env = FakeEnvironment::new(vec![Arc::clone(&snapshot)]);
        env.budget = budget;
        let gather = Gather::new(snapshot, DEADLINE, min_coverage).with_policy(policy);
        let mut run = Self { gather, env, sent: Vec::new(), finished: false };
        run.step(0, Event::Start);
        run
    }

    fn step(&mut self, at_ms: u64, event: Event<u32>) {
        let now = Time(0) + Span::millis(at_ms);
        for action in self.gather.step(now, event, &mut self.env) {
            match action {
                Action::Send { attempt, .. } => self.sent.push(attempt),
                Action::Finish => self.finished = true,
                Action::Cancel(_) | Action::Wake(_) => {}
            }
        }
    }

    fn fail(&mut self, at_ms: u64, refusal: Refusal) {
        let last = self.sent[self.sent.len() - 1];
        self.step(at_ms, Event::Done(last, Err(refusal)));
    }
}

#[test]
fn non_idempotent_query_is_not_resent_after_may_have_run() {
    let mut run = QueryRun::new(1, 1.0, 9, Policy { idempotent: false, ..policy() });
    run.step(100, Event::Wake);
    assert_eq!(run.sent.len(), 1, "no hedge");
    run.fail(101, Refusal::may_have_run(Reason::Connection, ""));
    assert!(run.finished && run.sent.len() == 1);
    assert_eq!(run.gather.verdict(), Verdict::MayHaveRun);
}

#[parameterized(busy = { Reason::Busy }, draining = { Reason::Draining }, unreachable = { Reason::Connection })]
fn non_idempotent_query_is_resent_after_not_run(reason: Reason) {
    let mut run = QueryRun::new(1, 1.0, 9, Policy { idempotent: false, ..policy() });
    run.fail(1, Refusal::not_run(reason, ""));
    run.step(10, Event::Wake);
    assert!(!run.finished);
    assert_eq!(run.sent.len(), 2);
}

#[test]
fn query_without_budget_ends_at_the_first_refusal() {
    let mut run = QueryRun::new(1, 1.0, 0, policy());
    run.fail(1, Refusal::not_run(Reason::Draining, ""));
    assert!(run.finished, "no further answer is possible");
    assert_eq!(run.gather.verdict(), Verdict::NotRun);
}

#[test]
fn attempts_stay_within_the_routes_limit() {
    let mut run = QueryRun::new(1, 1.0, 9, Policy { max_attempts: 1, ..policy() });
    run.step(100, Event::Wake);
    assert_eq!(run.sent.len(), 1);
}

#[test]
fn query_ends_when_min_coverage_is_unreachable() {
    let mut run = QueryRun::new(4, 0.75, 0, policy());
    run.fail(1, Refusal::may_have_run(Reason::Connection, ""));
    assert!(!run.finished, "3 of 4 are enough");
    let third = run.sent[2];
    run.step(2, Event::Done(third, Err(Refusal::may_have_run(Reason::Connection, ""))));
    assert!(run.finished, "2 of 4 are not");
}

#[test]
fn partial_answer_is_given_at_the_latency_objective() {
    let partial_after = Some(Time(0) + Span::millis(70));
    let mut run = QueryRun::new(4, 0.75, 0, Policy { partial_after, ..policy() });
    for shard in 0..2 {
        run.step(10, Event::Done(run.sent[shard], Ok(0)));
    }
    run.step(70, Event::Wake);
    assert!(!run.finished, "2 of 4 are too few");
    run.step(71, Event::Done(run.sent[2], Ok(0)));
    assert!(run.finished, "3 of 4 are enough after the objective");
    assert_eq!(run.gather.into_parts().count(), 3);
}

#[test]
fn shard_without_free_slot_is_awaited_until_the_slot_deadline() {
    let slot_deadline = Some(Time(0) + Span::millis(20));
    let snapshot = Endpoints::default().snapshot("1", &[2]);
    let mut env = FakeEnvironment::new(vec![Arc::clone(&snapshot)]);
    env.full = snapshot.shards[0].iter().map(|t| t.key).collect();
    let gather =
        Gather::new(snapshot, DEADLINE, 1.0).with_policy(Policy { slot_deadline, ..policy() });
    let mut run = QueryRun { gather, env, sent: Vec::new(), finished: false };
    run.step(0, Event::Start);
    assert!(!run.finished);
    run.step(60, Event::Wake);
    assert!(run.finished && run.sent.is_empty());
}

/// Guards against wasted work: shards with free slots would run a query that cannot reach its
/// coverage.
#[test]
fn gang_start_sends_nothing_without_slots_for_min_coverage() {
    let slot_deadline = Some(Time(0) + Span::millis(20));
    let snapshot = Endpoints::default().snapshot("1", &[2; 4]);
    let policy = Policy { slot_deadline, gang_start: true, ..policy() };
    let start = |full: usize| {
        let mut env = FakeEnvironment::new(vec![Arc::clone(&snapshot)]);
        env.full = snapshot.shards[..full].iter().flat_map(|r| r.iter()).map(|t| t.key).collect();
        let gather = Gather::new(Arc::clone(&snapshot), DEADLINE, 0.75).with_policy(policy);
        let mut run = QueryRun { gather, env, sent: Vec::new(), finished: false };
        run.step(0, Event::Start);
        run
    };
    assert_eq!(start(1).sent.len(), 3, "3 of 4 are enough");
    let mut run = start(2);
    run.step(10, Event::Wake);
    assert!(!run.finished && run.sent.is_empty(), "it waits for free slots");
    let mut other = start(2);
    other.env.full.clear();
    other.step(10, Event::Wake);
    assert_eq!(other.sent.len(), 4, "slots are free");
    run.step(20, Event::Wake);
    assert!(run.finished && run.sent.is_empty());
    assert_eq!(run.gather.verdict(), Verdict::NotRun);
}

#[test]
fn unreachable_endpoint_is_replaced_without_budget() {
    let mut run = QueryRun::new(1, 1.0, 0, policy());
    run.fail(1, Refusal::not_run(Reason::Connection, ""));
    assert_eq!(run.sent.len(), 2);
    run.fail(2, Refusal::may_have_run(Reason::Connection, ""));
    assert!(run.finished, "an attempt that arrived needs budget");
}

/// Guards against a wrong merge: records of answers that came in one batch are merged already, so
/// all of these answers must count.
#[test]
fn all_answers_of_a_batch_count() {
    let partial_after = Some(Time(0) + Span::millis(10));
    let mut run = QueryRun::new(4, 0.25, 0, Policy { partial_after, ..policy() });
    let together = run.sent[..3].iter().map(|id| (*id, Ok(0))).collect();
    run.step(11, Event::DoneBatch(together));
    assert!(run.finished);
    assert_eq!(run.gather.into_parts().count(), 3);
}

#[test]
fn replace_changes_only_existing_answers() {
    let mut run = QueryRun::new(2, 1.0, 0, policy());
    run.step(1, Event::Done(run.sent[0], Ok(1)));
    run.gather.replace(0, 7);
    run.gather.replace(1, 7);
    assert_eq!(run.gather.into_parts().collect::<Vec<_>>(), [(0, 7)]);
}

#[test]
fn unanswered_shards_report_their_shortage() {
    let mut run = QueryRun::new(2, 1.0, 0, policy());
    run.step(100, Event::Wake);
    let lacking: Vec<_> = run.gather.unanswered().collect();
    assert_eq!(lacking, [(0, 1, Some(Shortage::Budget)), (1, 1, Some(Shortage::Budget))]);
}

/// Guards against doubled load when the delay is this host's own: at the start of a day, nearly all
/// shards of a gather were hedged while connections were set up.
#[test]
fn hedges_are_for_the_last_shards_only() {
    let hedge_few_until = Some(Time(0) + Span::millis(350));
    let mut run = QueryRun::new(8, 1.0, 99, Policy { hedge_few_until, ..policy() });
    for shard in 0..3 {
        run.step(1, Event::Done(run.sent[shard], Ok(0)));
    }
    run.step(300, Event::Wake);
    assert_eq!(run.sent.len(), 8, "5 of 8 shards are open");
    run.step(301, Event::Done(run.sent[3], Ok(0)));
    run.step(306, Event::Wake);
    assert_eq!(run.sent.len(), 12, "each of the 4 open shards is hedged");
}

/// Guards against a gather that stays open when the only message to another host is lost.
#[test]
fn all_shards_are_hedged_once_few_is_over() {
    let hedge_few_until = Some(Time(0) + Span::millis(350));
    let mut run = QueryRun::new(8, 1.0, 99, Policy { hedge_few_until, ..policy() });
    run.step(340, Event::Wake);
    assert_eq!(run.sent.len(), 8);
    run.step(350, Event::Wake);
    assert_eq!(run.sent.len(), 16);
}

/// Guards against hedges that come too late to help and delay the results that are on their way.
#[test]
fn hedges_that_cannot_help_are_held_back() {
    let at = |ms| Time(0) + Span::millis(ms);
    let late = Policy { hedges_useless: Some((at(3), at(50))), ..policy() };
    let mut run = QueryRun::new(4, 1.0, 99, late);
    run.step(4, Event::Wake);
    assert_eq!(run.sent.len(), 8, "sent before they are due, though the timer fires late");
    // Most shards are still open when the hedges are due.
    let late = Policy { hedge_few_until: Some(at(40)), ..late };
    let mut run = QueryRun::new(4, 1.0, 99, late);
    run.step(3, Event::Wake);
    run.step(49, Event::Wake);
    assert_eq!(run.sent.len(), 4, "a hedge could not be answered by the objective");
    run.step(50, Event::Wake);
    assert_eq!(run.sent.len(), 8, "the objective is missed, and all shards are still open");
}

fn death() -> Refusal {
    Refusal::may_have_run(Reason::Connection, "")
}

/// Guards against a request that runs twice though it may run once: its endpoint ended while it ran.
#[test]
fn non_idempotent_query_is_not_resent_after_a_death() {
    let policy = Policy { idempotent: false, detect_deaths: true, ..policy() };
    let mut run = QueryRun::new(1, 1.0, 9, policy);
    run.fail(1, death());
    run.step(100, Event::Wake);
    assert!(run.finished && run.sent.len() == 1);
    assert_eq!(run.gather.verdict(), Verdict::MayHaveRun);
}

/// Guards against a gather that is refused as a whole since all endpoints of one shard ended while it was
/// in flight there; the other shards have answered and suffice.
#[test]
fn gather_is_answered_without_a_shard_whose_endpoints_ended() {
    let mut run = QueryRun::new(4, 0.75, 9, Policy { detect_deaths: true, ..policy() });
    for shard in 1..4 {
        run.step(1, Event::Done(run.sent[shard], Ok(7)));
    }
    run.step(2, Event::Done(run.sent[0], Err(death())));
    run.step(50, Event::Wake);
    assert_eq!(run.sent.len(), 5, "the other replica is tried");
    run.fail(51, death());
    assert!(run.finished && !run.gather.is_quarantined());
    assert_eq!(run.gather.coverage().answered, 3);
}

/// Guards against a gather that crashes a second endpoint of each shard.
#[test]
fn gather_that_has_crashed_endpoints_is_sent_again_to_one_shard() {
    let mut run = QueryRun::new(4, 0.75, 9, Policy { detect_deaths: true, ..policy() });
    for shard in 0..4 {
        run.step(1, Event::Done(run.sent[shard], Err(death())));
    }
    run.step(50, Event::Wake);
    assert_eq!(run.sent.len(), 5);
    run.fail(51, death());
    assert!(run.finished && run.gather.is_quarantined());
}
