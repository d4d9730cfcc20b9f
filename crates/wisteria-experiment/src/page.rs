//! Markdown pages of results, with one section for each version, the latest first.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;
use std::process::Command;

use anyhow::{Context, Result};

/// Start of the heading of a section.
const SECTION_HEADING: &str = "\n## Version ";

/// A table of figures.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(header: &[&str]) -> Self {
        Self { header: header.iter().map(|&h| h.to_owned()).collect(), rows: Vec::new() }
    }

    pub(crate) fn add_row(&mut self, cells: impl IntoIterator<Item = impl ToString>) {
        self.rows.push(cells.into_iter().map(|c| c.to_string()).collect());
    }

    /// Appends the table in Markdown.
    fn write(&self, out: &mut String) {
        let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
        out.push_str(&line(&self.header));
        let separator: Vec<String> = self.header.iter().map(|_| "---".to_owned()).collect();
        out.push_str(&line(&separator));
        for row in &self.rows {
            out.push_str(&line(row));
        }
    }
}

/// Results of an experiment, as the texts and tables of a section.
#[derive(Clone, Debug, Default)]
pub(crate) struct Findings {
    /// Title of the page.
    pub(crate) title: &'static str,
    /// What the experiment measures, and how.
    pub(crate) about: &'static str,
    /// Parameters of this run of the experiment.
    pub(crate) setup: String,
    /// Measured figures.
    pub(crate) tables: Vec<Table>,
    /// Interpretation of the figures: which goals are met, and what failed.
    pub(crate) conclusion: String,
}

/// Provenance of a section.
#[derive(Clone, Debug)]
pub(crate) struct Origin<'a> {
    /// Name of the experiment.
    pub(crate) name: &'a str,
    /// Version of the project.
    pub(crate) version: String,
    /// Command that reproduces the section.
    pub(crate) command: String,
    /// Number of cores and load average of the machine.
    pub(crate) machine: String,
}

impl Findings {
    /// Writes the page with this section first, followed by the existing sections of other
    /// versions.
    pub(crate) fn save(&self, folder: &Path, origin: &Origin<'_>) -> Result<()> {
        fs::create_dir_all(folder)?;
        let path = folder.join(format!("{}.md", origin.name));
        let old = fs::read_to_string(&path).unwrap_or_default();
        let name = origin.name;
        let mut out = format!("# {}\n\n{}\n\n", self.title, self.about);
        writeln!(out, "![The figures of the latest version]({name}.svg)")?;
        out.push_str(&self.section(origin)?);
        for section in old.split(SECTION_HEADING).skip(1) {
            if section.lines().next() != Some(&origin.version) {
                write!(out, "{SECTION_HEADING}{section}")?;
            }
        }
        fs::write(&path, out).with_context(|| format!("could not write {name}.md"))
    }

    /// The section in Markdown.
    fn section(&self, origin: &Origin<'_>) -> Result<String> {
        let mut out = format!("{SECTION_HEADING}{}\n\n", origin.version);
        writeln!(out, "    {}\n\n{} {}\n", origin.command, self.setup, origin.machine)?;
        for table in &self.tables {
            table.write(&mut out);
            out.push('\n');
        }
        writeln!(out, "{}", self.conclusion)?;
        Ok(out)
    }
}

/// Current commit, marked when the working tree differs from it; `unknown` without git.
pub(crate) fn version() -> String {
    let output = Command::new("git").args(["describe", "--always", "--dirty=-edited"]).output();
    let text = output.map(|o| String::from_utf8_lossy(&o.stdout).trim().to_owned());
    text.ok().filter(|t| !t.is_empty()).unwrap_or_else(|| "unknown".to_owned())
}
