//! Fault matrices: tables in which a test records the result of every fault at every step.
//!
//! [`Matrix::finish`] fails if a cell is empty or the table differs from the page of the same name
//! under `docs/proof/`. Run the test with `WISTERIA_BLESS=1` to rewrite the page.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;

/// Environment variable that makes tests write the pages instead of comparing them.
const BLESS_VAR: &str = "WISTERIA_BLESS";

#[derive(Clone, Debug, PartialEq, Eq)]
enum Cell {
    Held(u32),
    Impossible(&'static str),
}

/// A table with one row per fault and one column per step.
pub struct Matrix {
    name: &'static str,
    invariant: &'static str,
    faults: Vec<&'static str>,
    steps: Vec<&'static str>,
    cells: BTreeMap<(usize, usize), Cell>,
}

impl Matrix {
    /// Creates an empty matrix; `invariant` describes what must hold in every cell.
    pub fn new(
        name: &'static str,
        invariant: &'static str,
        faults: &[&'static str],
        steps: &[&'static str],
    ) -> Self {
        let (faults, steps) = (faults.to_vec(), steps.to_vec());
        Self { name, invariant, faults, steps, cells: BTreeMap::new() }
    }

    /// Records one run with the fault at the step in which the invariant held.
    ///
    /// # Panics
    ///
    /// Panics if the matrix has no such fault or step, or the cell is marked impossible.
    pub fn record_held(&mut self, fault: &str, step: &str) {
        let key = self.cell_key(fault, step);
        match self.cells.entry(key).or_insert(Cell::Held(0)) {
            Cell::Held(n) => *n += 1,
            Cell::Impossible(why) => panic!("{fault} at {step} is marked impossible: {why}"),
        }
    }

    /// Marks a cell whose fault cannot occur at the step, with the reason.
    ///
    /// # Panics
    ///
    /// Panics if the matrix has no such fault or step, or the cell already has an entry.
    pub fn mark_impossible(&mut self, fault: &str, step: &str, why: &'static str) {
        let key = self.cell_key(fault, step);
        let previous = self.cells.insert(key, Cell::Impossible(why));
        assert!(
            previous.is_none(),
            "{fault} at {step} already has an entry, so it cannot be marked impossible"
        );
    }

    fn cell_key(&self, fault: &str, step: &str) -> (usize, usize) {
        let find = |list: &[&str], name: &str| list.iter().position(|n| *n == name);
        match (find(&self.faults, fault), find(&self.steps, step)) {
            (Some(f), Some(s)) => (f, s),
            _ => panic!("{} has no cell for {fault} at {step}", self.name),
        }
    }

    /// Checks that no cell is empty and that the page under `docs/proof/` matches the table.
    ///
    /// # Panics
    ///
    /// Panics if cells are empty, naming them, or if the page differs.
    pub fn finish(self) {
        let empty = self.empty_cells();
        assert!(empty.is_empty(), "{}: cells without an entry: {empty:?}", self.name);
        let (text, page) = (self.render(), self.page_path());
        if std::env::var_os(BLESS_VAR).is_some() {
            std::fs::write(&page, text).expect("docs/proof can be written");
            return;
        }
        let committed = std::fs::read_to_string(&page).unwrap_or_default();
        assert_eq!(committed, text, "docs/proof/{}.md differs; run with {BLESS_VAR}=1", self.name);
    }

    fn empty_cells(&self) -> Vec<(&'static str, &'static str)> {
        let all = (0..self.faults.len()).flat_map(|f| (0..self.steps.len()).map(move |s| (f, s)));
        all.filter(|key| !self.cells.contains_key(key))
            .map(|(f, s)| (self.faults[f], self.steps[s]))
            .collect()
    }

    fn page_path(&self) -> PathBuf {
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
                Some(Cell::Impossible(why)) => note_reference(&mut notes, why),
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

/// Reference to a footnote, added to `notes` unless it is there already.
fn note_reference(notes: &mut Vec<&'static str>, why: &'static str) -> String {
    let known = notes.iter().position(|n| *n == why);
    let i = known.unwrap_or_else(|| {
        notes.push(why);
        notes.len() - 1
    });
    format!("({})", i + 1)
}
