//! Extra arrivals at one service: hedges, retries and refused tries.
//!
//! In any window the hosts together may cause `ratio` extra arrivals for each request and
//! `slack` on top. A host keeps to the ratio by its own requests, and to an even part of the
//! slack; one part more than there are hosts is set aside, for one that is not known yet.

use crate::core::time::{Span, Time};
use std::collections::VecDeque;

/// Parts of a window that are counted and forgotten together.
const CELLS: u64 = 20;
/// Part of the ratio and slack that is used; the rest covers what crosses between two cells,
/// arrivals that are counted in another window than they were sent in, and those that count at the
/// service to which an address has gone meanwhile: played once as a fifth more than the hosts counted.
const MARGIN: f64 = 0.75;

/// Bounds on extra arrivals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Extra arrivals for each request.
    pub ratio: f64,
    /// Extra arrivals beyond those, over all hosts.
    pub slack: f64,
    /// Length of the window.
    pub window: Span,
}

#[derive(Clone, Copy, Debug)]
struct Cell {
    number: u64,
    requests: u32,
    extras: u32,
}

/// Requests and extra arrivals of one service in the last window, at one host.
#[derive(Clone, Debug, Default)]
pub struct Extras {
    cells: VecDeque<Cell>,
    requests: u32,
    extras: u32,
}

impl Extras {
    /// Counts a request for the service.
    pub fn request(&mut self, now: Time, bounds: &Bounds) {
        self.cell(now, bounds).requests += 1;
        self.requests += 1;
    }

    /// Takes one extra arrival if the bounds allow it at one of `hosts`.
    pub fn spend(&mut self, now: Time, bounds: &Bounds, hosts: usize) -> bool {
        self.cell(now, bounds);
        let slack = bounds.slack / (hosts + 1) as f64;
        let most = MARGIN * (bounds.ratio * f64::from(self.requests) + slack);
        let granted = f64::from(self.extras + 1) <= most;
        if granted {
            self.cell(now, bounds).extras += 1;
            self.extras += 1;
        }
        granted
    }

    fn cell(&mut self, now: Time, bounds: &Bounds) -> &mut Cell {
        let number = now.0 / (bounds.window.0 / CELLS).max(1);
        while let Some(old) = self.cells.front().filter(|c| c.number + CELLS < number) {
            self.requests -= old.requests;
            self.extras -= old.extras;
            self.cells.pop_front();
        }
        if self.cells.back().is_none_or(|c| c.number < number) {
            self.cells.push_back(Cell { number, requests: 0, extras: 0 });
        }
        let last = self.cells.len() - 1;
        &mut self.cells[last]
    }
}
