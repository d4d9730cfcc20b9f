//! Pages of figures. A page keeps a section for each version, the latest first.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;
use std::process::Command;

use anyhow::{Context, Result};

const SECTION: &str = "\n## Version ";

/// Rows of figures under headings.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    head: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(head: &[&str]) -> Self {
        Self { head: head.iter().map(|&h| h.to_owned()).collect(), rows: Vec::new() }
    }

    pub(crate) fn row(&mut self, cells: impl IntoIterator<Item = impl ToString>) {
        self.rows.push(cells.into_iter().map(|c| c.to_string()).collect());
    }

    fn write(&self, out: &mut String) {
        let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
        out.push_str(&line(&self.head));
        let rule: Vec<String> = self.head.iter().map(|_| "---".to_owned()).collect();
        out.push_str(&line(&rule));
        for row in &self.rows {
            out.push_str(&line(row));
        }
    }
}

/// What an experiment found.
#[derive(Clone, Debug, Default)]
pub(crate) struct Findings {
    /// Title and purpose.
    pub(crate) title: &'static str,
    /// What it shows and how.
    pub(crate) about: &'static str,
    /// How it was set up this time.
    pub(crate) setup: String,
    /// The figures.
    pub(crate) tables: Vec<Table>,
    /// What they mean, and what failed.
    pub(crate) verdict: String,
}

/// Where a section comes from.
#[derive(Clone, Debug)]
pub(crate) struct Origin<'a> {
    /// Experiment.
    pub(crate) name: &'a str,
    /// Version of the project.
    pub(crate) version: String,
    /// Command that gives the section.
    pub(crate) command: String,
    /// What else the machine did.
    pub(crate) machine: String,
}

impl Findings {
    /// Writes the page with this section first and those of other versions after it.
    pub(crate) fn save(&self, folder: &Path, origin: &Origin<'_>) -> Result<()> {
        fs::create_dir_all(folder)?;
        let path = folder.join(format!("{}.md", origin.name));
        let old = fs::read_to_string(&path).unwrap_or_default();
        let name = origin.name;
        let mut out = format!("# {}\n\n{}\n\n", self.title, self.about);
        writeln!(out, "![The figures of the latest version]({name}.svg)")?;
        out.push_str(&self.section(origin)?);
        for kept in old.split(SECTION).skip(1) {
            if kept.lines().next() != Some(&origin.version) {
                write!(out, "{SECTION}{kept}")?;
            }
        }
        fs::write(&path, out).with_context(|| format!("could not write {name}.md"))
    }

    fn section(&self, origin: &Origin<'_>) -> Result<String> {
        let mut out = format!("{SECTION}{}\n\n", origin.version);
        writeln!(out, "    {}\n\n{} {}\n", origin.command, self.setup, origin.machine)?;
        for table in &self.tables {
            table.write(&mut out);
            out.push('\n');
        }
        writeln!(out, "{}", self.verdict)?;
        Ok(out)
    }
}

/// The commit that the programs were built from, marked when files differ from it.
pub(crate) fn version() -> String {
    let output = Command::new("git").args(["describe", "--always", "--dirty=-edited"]).output();
    let text = output.map(|o| String::from_utf8_lossy(&o.stdout).trim().to_owned());
    text.ok().filter(|t| !t.is_empty()).unwrap_or_else(|| "unknown".to_owned())
}
