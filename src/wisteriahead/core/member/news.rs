//! Changes of records that go along with probes and their answers, and which hosts know them.

use super::MEMBERS_MAX;
use indexmap::IndexMap;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

/// Maximum number of changes in one message.
const MESSAGE_MAX: usize = 256;

/// A change of a host's record.
#[derive(Clone, Debug)]
struct Change {
    subject: Arc<str>,
    /// Host that told this one.
    from: Option<Arc<str>>,
}

/// Latest change of each record, and up to which change each host knows them.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Changes by number, at most one for each subject.
    changes: BTreeMap<u64, Change>,
    numbers: IndexMap<Arc<str>, u64>,
    last: u64,
    known: IndexMap<Arc<str>, u64>,
}

impl ChangeLog {
    /// Adds a change of the record of `subject`, which replaces earlier ones of the same record.
    pub fn record(&mut self, subject: Arc<str>, from: Option<Arc<str>>) {
        self.last += 1;
        if let Some(old) = self.numbers.insert(subject.clone(), self.last) {
            self.changes.remove(&old);
        }
        self.changes.insert(self.last, Change { subject, from });
    }

    /// Hosts whose records have changed unknown to `host`, the oldest changes first, and the number of the
    /// last change among them.
    pub fn unknown_to(&self, host: &str) -> (Vec<&Arc<str>>, u64) {
        let known = self.known.get(host).copied().unwrap_or_default();
        let (mut subjects, mut until) = (Vec::new(), known);
        for (number, change) in self.changes.range((Bound::Excluded(known), Bound::Unbounded)) {
            if subjects.len() == MESSAGE_MAX {
                break;
            }
            until = *number;
            if change.from.as_deref() != Some(host) && *change.subject != *host {
                subjects.push(&change.subject);
            }
        }
        (subjects, until)
    }

    /// Records that a host knows all changes up to a number.
    pub fn record_told(&mut self, host: &Arc<str>, until: u64) {
        if let Some(known) = self.known.get_mut(host) {
            *known = until.max(*known);
        } else if self.known.len() < MEMBERS_MAX {
            self.known.insert(host.clone(), until);
        }
    }

    /// Records that a host has the same records as this one.
    pub fn record_same(&mut self, host: &Arc<str>) {
        self.record_told(host, self.last);
    }

    /// Drops what is kept about a host that is no longer known.
    pub fn forget(&mut self, host: &str) {
        self.known.swap_remove(host);
        if let Some(number) = self.numbers.swap_remove(host) {
            self.changes.remove(&number);
        }
    }
}
