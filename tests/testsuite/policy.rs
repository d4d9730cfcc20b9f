//! Queries under the policy of a relay: what is repeated, what is paid, and when they end.

use crate::props::Endpoints;
use crate::query::World;
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

/// A query over `shards` with two replicas each and a budget.
struct Run {
    gather: Gather<u32>,
    world: World,
    sent: Vec<AttemptId>,
    finished: bool,
}

impl Run {
    fn new(shards: usize, least: f64, extras: usize, policy: Policy) -> Self {
        let snapshot = Endpoints::default().snapshot("1", &vec![2; shards]);
        let mut world = World::new(vec![Arc::clone(&snapshot)]);
        world.extras = extras;
        let gather = Gather::new(snapshot, DEADLINE, least).with_policy(policy);
        let mut run = Self { gather, world, sent: Vec::new(), finished: false };
        run.step(0, Event::Start);
        run
    }

    fn step(&mut self, at_ms: u64, event: Event<u32>) {
        let now = Time(0) + Span::millis(at_ms);
        for action in self.gather.step(now, event, &mut self.world) {
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
fn what_must_run_once_is_not_sent_again_after_it_may_have_run() {
    let mut run = Run::new(1, 1.0, 9, Policy { idempotent: false, ..policy() });
    run.step(100, Event::Wake);
    assert_eq!(run.sent.len(), 1, "no hedge");
    run.fail(101, Refusal::may_have_run(Reason::Connection, ""));
    assert!(run.finished && run.sent.len() == 1);
    assert_eq!(run.gather.verdict(), Verdict::MayHaveRun);
}

#[parameterized(busy = { Reason::Busy }, gone = { Reason::Draining }, unreached = { Reason::Connection })]
fn what_must_run_once_is_sent_again_after_it_has_not_run(reason: Reason) {
    let mut run = Run::new(1, 1.0, 9, Policy { idempotent: false, ..policy() });
    run.fail(1, Refusal::not_run(reason, ""));
    run.step(10, Event::Wake);
    assert!(!run.finished);
    assert_eq!(run.sent.len(), 2);
}

#[test]
fn refused_attempt_is_given_up_at_once_without_budget() {
    let mut run = Run::new(1, 1.0, 0, policy());
    run.fail(1, Refusal::not_run(Reason::Draining, ""));
    assert!(run.finished, "nothing more can come");
    assert_eq!(run.gather.verdict(), Verdict::NotRun);
}

#[test]
fn no_more_endpoints_than_the_route_allows() {
    let mut run = Run::new(1, 1.0, 9, Policy { max_attempts: 1, ..policy() });
    run.step(100, Event::Wake);
    assert_eq!(run.sent.len(), 1);
}

#[test]
fn query_ends_when_its_least_coverage_is_out_of_reach() {
    let mut run = Run::new(4, 0.75, 0, policy());
    run.fail(1, Refusal::may_have_run(Reason::Connection, ""));
    assert!(!run.finished, "3 of 4 are enough");
    let third = run.sent[2];
    run.step(2, Event::Done(third, Err(Refusal::may_have_run(Reason::Connection, ""))));
    assert!(run.finished, "2 of 4 are not");
}

#[test]
fn enough_is_answered_at_the_objective() {
    let enough = Some(Time(0) + Span::millis(70));
    let mut run = Run::new(4, 0.75, 0, Policy { partial_after: enough, ..policy() });
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
fn shard_without_room_is_waited_for_no_longer_than_patience() {
    let patience = Some(Time(0) + Span::millis(20));
    let snapshot = Endpoints::default().snapshot("1", &[2]);
    let mut world = World::new(vec![Arc::clone(&snapshot)]);
    world.full = snapshot.shards[0].iter().map(|t| t.key).collect();
    let gather = Gather::new(snapshot, DEADLINE, 1.0)
        .with_policy(Policy { slot_deadline: patience, ..policy() });
    let mut run = Run { gather, world, sent: Vec::new(), finished: false };
    run.step(0, Event::Start);
    assert!(!run.finished);
    run.step(60, Event::Wake);
    assert!(run.finished && run.sent.is_empty());
}

/// Sent to the shards with room, it would cost those their work for nothing.
#[test]
fn whole_query_without_room_for_its_coverage_is_sent_nowhere() {
    let patience = Some(Time(0) + Span::millis(20));
    let snapshot = Endpoints::default().snapshot("1", &[2; 4]);
    let policy = Policy { slot_deadline: patience, gang_start: true, ..policy() };
    let start = |full: usize| {
        let mut world = World::new(vec![Arc::clone(&snapshot)]);
        world.full = snapshot.shards[..full].iter().flatten().map(|t| t.key).collect();
        let gather = Gather::new(Arc::clone(&snapshot), DEADLINE, 0.75).with_policy(policy);
        let mut run = Run { gather, world, sent: Vec::new(), finished: false };
        run.step(0, Event::Start);
        run
    };
    assert_eq!(start(1).sent.len(), 3, "3 of 4 are enough");
    let mut run = start(2);
    run.step(10, Event::Wake);
    assert!(!run.finished && run.sent.is_empty(), "it waits for room");
    let mut other = start(2);
    other.world.full.clear();
    other.step(10, Event::Wake);
    assert_eq!(other.sent.len(), 4, "room has come");
    run.step(20, Event::Wake);
    assert!(run.finished && run.sent.is_empty());
    assert_eq!(run.gather.verdict(), Verdict::NotRun);
}

#[test]
fn attempt_that_reached_no_endpoint_is_replaced_without_budget() {
    let mut run = Run::new(1, 1.0, 0, policy());
    run.fail(1, Refusal::not_run(Reason::Connection, ""));
    assert_eq!(run.sent.len(), 2);
    run.fail(2, Refusal::may_have_run(Reason::Connection, ""));
    assert!(run.finished, "an arrival is paid for");
}

/// The records of parts that came together are merged: one without the other would be wrong.
#[test]
fn answers_that_came_together_all_count() {
    let enough = Some(Time(0) + Span::millis(10));
    let mut run = Run::new(4, 0.25, 0, Policy { partial_after: enough, ..policy() });
    let together = run.sent[..3].iter().map(|id| (*id, Ok(0))).collect();
    run.step(11, Event::DoneBatch(together));
    assert!(run.finished);
    assert_eq!(run.gather.into_parts().count(), 3);
}

#[test]
fn answer_is_replaced_only_where_there_is_one() {
    let mut run = Run::new(2, 1.0, 0, policy());
    run.step(1, Event::Done(run.sent[0], Ok(1)));
    run.gather.replace(0, 7);
    run.gather.replace(1, 7);
    assert_eq!(run.gather.into_parts().collect::<Vec<_>>(), [(0, 7)]);
}

#[test]
fn what_a_shard_lacked_is_told() {
    let mut run = Run::new(2, 1.0, 0, policy());
    run.step(100, Event::Wake);
    let lacking: Vec<_> = run.gather.unanswered().collect();
    assert_eq!(lacking, [(0, 1, Some(Shortage::Budget)), (1, 1, Some(Shortage::Budget))]);
}
