//! What endpoints say about further requests in their answers: that they are leaving, or that they
//! want none from this host for a while.
//!
//! A notice binds the incarnation that gave it; another incarnation of the endpoint starts anew. An
//! endpoint that is leaving is chosen last from its first such answer on, and gets nothing more once
//! the time to drain is over. One that asks for quiet gets nothing until the quiet ends. Notices
//! outlast changes of the plan and of the registry, but not a restart of the process.

use crate::core::routes::Target;
use crate::core::time::{Span, Time};
use indexmap::IndexMap;
use std::sync::Arc;

/// Longest quiet that an endpoint is granted; longer ones are cut to it, so that a wrong number
/// does not shut out the last replica of a service for good.
pub const QUIET_MAX: Span = Span::secs(600);
/// Maximum number of endpoints with a notice; beyond it the oldest is dropped.
pub const NOTICES_MAX: usize = 20_000;
/// Time after which the notice of an endpoint that is leaving is dropped. It outlasts the endpoint.
const LEAVING_TTL: Span = Span::secs(3_600);

/// Notice in an endpoint's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// Time for which it wants no requests from this host.
    pub quiet: Option<Span>,
}

/// Whether an endpoint may be sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Like any other.
    Open,
    /// If no other replica can serve the request.
    Last,
    /// Not before this time; never if there is none.
    Closed(Option<Time>),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    incarnation: u64,
    /// When it first said that it is leaving.
    leaving: Option<Time>,
    quiet_until: Time,
}

/// What a recorded notice says that was not known before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// The endpoint is leaving.
    pub leaving: bool,
    /// The endpoint asks for quiet, and was not quiet before.
    pub quiet: bool,
}

/// Notices of all endpoints, by name.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    entries: IndexMap<Arc<str>, Entry>,
}

impl Notices {
    /// Records the notice of an answer.
    pub fn record(&mut self, now: Time, from: &Target, notice: Notice) -> News {
        if notice == Notice::default() {
            return News::default();
        }
        let fresh = Entry { incarnation: from.incarnation, leaving: None, quiet_until: Time(0) };
        let e = self.entries.entry(from.name.clone()).or_insert(fresh);
        if e.incarnation > from.incarnation {
            return News::default();
        }
        if e.incarnation < from.incarnation {
            *e = fresh;
        }
        let news = News {
            leaving: notice.leaving && e.leaving.is_none(),
            quiet: notice.quiet.is_some() && e.quiet_until <= now,
        };
        if news.leaving {
            e.leaving = Some(now);
        }
        if let Some(span) = notice.quiet {
            e.quiet_until = e.quiet_until.max(now + span.min(QUIET_MAX));
        }
        if self.entries.len() > NOTICES_MAX {
            self.entries.shift_remove_index(0);
        }
        news
    }

    /// Whether an endpoint may be sent a request; `drain` is the time in which one that is leaving
    /// may still get some.
    pub fn access(&self, now: Time, to: &Target, drain: Span) -> Access {
        let Some(e) = self.entries.get(&to.name).filter(|e| e.incarnation == to.incarnation) else {
            return Access::Open;
        };
        match e.leaving {
            Some(at) if now.since(at) >= drain => Access::Closed(None),
            _ if now < e.quiet_until => Access::Closed(Some(e.quiet_until)),
            Some(_) => Access::Last,
            None => Access::Open,
        }
    }

    /// Notice that is still valid for an endpoint, for a host that this one sent for.
    pub fn notice(&self, now: Time, of: &Target) -> Notice {
        let e = self.entries.get(&of.name).filter(|e| e.incarnation == of.incarnation);
        e.map_or_else(Notice::default, |e| Notice {
            leaving: e.leaving.is_some(),
            quiet: Some(e.quiet_until.since(now)).filter(|left| *left > Span::ZERO),
        })
    }

    /// Whether there is no notice.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops the notices that have no effect any more.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|_, e| {
            now < e.quiet_until || e.leaving.is_some_and(|at| now.since(at) < LEAVING_TTL)
        });
    }

    /// Whether so many shards are closed that the others cannot reach the minimum of `shards_min`;
    /// then the earliest time at which enough are open, if the endpoints named one.
    pub fn closed_until<'a>(
        &self,
        now: Time,
        shards: impl Iterator<Item = &'a [Target]>,
        drain: Span,
        shards_min: usize,
    ) -> Option<Option<Time>> {
        let (mut open, mut times) = (0, Vec::new());
        for replicas in shards {
            let all: Vec<_> = replicas.iter().map(|t| self.access(now, t, drain)).collect();
            if all.iter().any(|a| !matches!(a, Access::Closed(_))) {
                open += 1;
            } else {
                let until = |a: &Access| if let Access::Closed(at) = a { *at } else { None };
                times.extend(all.iter().filter_map(until).min());
            }
        }
        if open >= shards_min {
            return None;
        }
        times.sort_unstable();
        Some(times.get(shards_min - open - 1).copied())
    }
}
