//! Points in time and durations for the state machines.
//!
//! Both count microseconds of a process's monotonic clock. A [`Time`] is meaningless in another
//! process; only a [`Span`] may be sent to one.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// A point on this process's monotonic clock, in microseconds since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

/// A duration in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Span(pub u64);

impl Time {
    /// Duration since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// A duration of zero.
    pub const ZERO: Self = Self(0);

    /// Creates a span of `n` microseconds.
    pub const fn micros(n: u64) -> Self {
        Self(n)
    }

    /// Creates a span of `n` milliseconds.
    pub const fn millis(n: u64) -> Self {
        Self(n.saturating_mul(1_000))
    }

    /// Creates a span of `n` seconds.
    pub const fn secs(n: u64) -> Self {
        Self(n.saturating_mul(1_000_000))
    }

    /// Whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Converts to the standard library's type.
    pub const fn to_std(self) -> Duration {
        Duration::from_micros(self.0)
    }
}

impl From<Duration> for Span {
    fn from(d: Duration) -> Self {
        Self(u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
    }
}

impl Add<Span> for Time {
    type Output = Self;
    fn add(self, rhs: Span) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign<Span> for Time {
    fn add_assign(&mut self, rhs: Span) {
        *self = *self + rhs;
    }
}

impl Sub<Span> for Time {
    type Output = Self;
    fn sub(self, rhs: Span) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", humantime::format_duration(self.to_std()))
    }
}
