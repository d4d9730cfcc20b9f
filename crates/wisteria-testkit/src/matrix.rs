//! Fault matrices: every fault at every step, as a table that the test itself fills.
//!
//! [`Matrix::finish`] fails when a cell is empty and compares the table with the page
//! of the same name under `docs/proof/`. Run the test with `WISTERIA_BLESS=1` to
//! write the page anew.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;

/// Environment variable that has the pages written instead of compared.
const BLESS: &str = "WISTERIA_BLESS";

#[derive(Clone, Debug, PartialEq, Eq)]
enum Cell {
    Held(u32),
    Impossible(&'static str),
}

/// A table of faults by steps.
pub struct Matrix {
    name: &'static str,
    invariant: &'static str,
    faults: Vec<&'static str>,
    steps: Vec<&'static str>,
    cells: BTreeMap<(usize, usize), Cell>,
}

impl Matrix {
    /// An empty matrix; `invariant` says in words what holds in every cell.
    pub fn new(
        name: &'static str,
        invariant: &'static str,
        faults: &[&'static str],
        steps: &[&'static str],
    ) -> Self {
        let (faults, steps) = (faults.to_vec(), steps.to_vec());
        Self { name, invariant, faults, steps, cells: BTreeMap::new() }
    }

    /// Notes that the invariant held in one run with the fault at the step.
    ///
    /// # Panics
    ///
    /// Panics when the matrix has no such fault or step, or the cell was called impossible.
    pub fn record_held(&mut self, fault: &str, step: &str) {
        let at = self.at(fault, step);
        match self.cells.entry(at).or_insert(Cell::Held(0)) {
            Cell::Held(n) => *n += 1,
            Cell::Impossible(why) => panic!("{fault} at {step} was called impossible: {why}"),
        }
    }

    /// Notes why the fault cannot strike at the step.
    ///
    /// # Panics
    ///
    /// Panics when the matrix has no such fault or step, or the cell was run.
    pub fn mark_impossible(&mut self, fault: &str, step: &str, why: &'static str) {
        let at = self.at(fault, step);
        let old = self.cells.insert(at, Cell::Impossible(why));
        assert!(old.is_none(), "{fault} at {step} was run, so it is not impossible");
    }

    fn at(&self, fault: &str, step: &str) -> (usize, usize) {
        let find = |list: &[&str], name: &str| list.iter().position(|n| *n == name);
        match (find(&self.faults, fault), find(&self.steps, step)) {
            (Some(f), Some(s)) => (f, s),
            _ => panic!("{} has no cell for {fault} at {step}", self.name),
        }
    }

    /// Checks that no cell is empty and that the page under `docs/proof/` is this table.
    ///
    /// # Panics
    ///
    /// Panics with the empty cells, or when the page differs.
    pub fn finish(self) {
        let empty = self.empty();
        assert!(empty.is_empty(), "{}: cells never run: {empty:?}", self.name);
        let (text, page) = (self.render(), self.page());
        if std::env::var_os(BLESS).is_some() {
            std::fs::write(&page, text).expect("docs/proof can be written");
            return;
        }
        let known = std::fs::read_to_string(&page).unwrap_or_default();
        assert_eq!(known, text, "docs/proof/{}.md differs; run with {BLESS}=1", self.name);
    }

    fn empty(&self) -> Vec<(&'static str, &'static str)> {
        let all = (0..self.faults.len()).flat_map(|f| (0..self.steps.len()).map(move |s| (f, s)));
        all.filter(|at| !self.cells.contains_key(at))
            .map(|(f, s)| (self.faults[f], self.steps[s]))
            .collect()
    }

    fn page(&self) -> PathBuf {
        let docs = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/proof");
        docs.join(format!("{}.md", self.name))
    }

    fn render(&self) -> String {
        let mut out = format!("# Fault matrix: {}\n\n", self.name);
        let _ = writeln!(out, "In every cell: {}\n", self.invariant);
        let _ =
            writeln!(out, "Written by the test itself; a number is the runs in which it held.\n");
        let _ = writeln!(out, "| fault | {} |", self.steps.join(" | "));
        let _ = writeln!(out, "|{}", " --- |".repeat(self.steps.len() + 1));
        let mut notes = Vec::new();
        for (f, fault) in self.faults.iter().enumerate() {
            let cells = (0..self.steps.len()).map(|s| match self.cells.get(&(f, s)) {
                Some(Cell::Held(n)) => n.to_string(),
                Some(Cell::Impossible(why)) => note(&mut notes, why),
                None => "empty".to_owned(),
            });
            let _ = writeln!(out, "| {fault} | {} |", cells.collect::<Vec<_>>().join(" | "));
        }
        for (i, why) in notes.iter().enumerate() {
            let _ = write!(out, "\n{}. Cannot strike here: {why}.", i + 1);
        }
        if !notes.is_empty() {
            out.push('\n');
        }
        out
    }
}

/// The mark of a note, the same for the same text.
fn note(notes: &mut Vec<&'static str>, why: &'static str) -> String {
    let known = notes.iter().position(|n| *n == why);
    let i = known.unwrap_or_else(|| {
        notes.push(why);
        notes.len() - 1
    });
    format!("({})", i + 1)
}
