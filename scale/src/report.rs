//! Figures of runs: a table for reading, JSON or CSV for machines.

use crate::fit::{self, Line};
use clap::ValueEnum;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// How figures are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// A table for reading.
    Table,
    /// One JSON object.
    Json,
    /// Lines of values, with a first one of names.
    Csv,
}

/// One run: where it stands on its axis, and its figures by name (the unit is part of the name).
#[derive(Debug, Clone, Serialize)]
pub struct Run {
    /// What is varied.
    pub axis: String,
    /// How much of it there is.
    pub size: f64,
    /// What else tells this run from others.
    pub label: String,
    /// Figures by name.
    pub figures: BTreeMap<String, f64>,
}

impl Run {
    /// A run without figures yet.
    pub fn new(axis: &str, size: f64, label: &str) -> Self {
        Run { axis: axis.to_owned(), size, label: label.to_owned(), figures: BTreeMap::new() }
    }

    /// Adds a figure.
    pub fn put(&mut self, name: &str, value: f64) {
        self.figures.insert(name.to_owned(), value);
    }
}

/// All runs of one call of the tool.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Commit of the sources, as far as it is known.
    pub commit: String,
    /// The runs.
    pub runs: Vec<Run>,
}

impl Report {
    /// Lines through the runs of each axis and label, by axis, label and figure.
    pub fn lines(&self) -> Vec<(String, String, String, Line)> {
        let mut series = BTreeMap::<_, Vec<(f64, f64)>>::new();
        for run in &self.runs {
            for (name, value) in run.figures.iter().filter(|f| f.1.is_finite()) {
                let key = (run.axis.clone(), run.label.clone(), name.clone());
                series.entry(key).or_default().push((run.size, *value));
            }
        }
        let mut lines = Vec::new();
        for ((axis, label, name), points) in series {
            lines.extend(fit::line(&points).map(|line| (axis, label, name, line)));
        }
        lines
    }

    /// The report in a format.
    pub fn text(&self, format: Format) -> String {
        match format {
            Format::Table => self.table(),
            Format::Csv => self.csv(),
            Format::Json => {
                let lines: Vec<_> = self
                    .lines()
                    .into_iter()
                    .map(|(axis, label, figure, line)| {
                        serde_json::json!({"axis": axis, "label": label, "figure": figure, "line": line})
                    })
                    .collect();
                let mut value = serde_json::to_value(self).unwrap_or_default();
                value["lines"] = lines.into();
                format!("{value:#}\n")
            }
        }
    }

    fn table(&self) -> String {
        let mut text = format!("seed {}, commit {}\n", self.seed, self.commit);
        let mut last = (String::new(), String::new());
        for run in &self.runs {
            let group = (run.axis.clone(), run.label.clone());
            if group != last {
                let _ = writeln!(text, "\n{} {}", run.axis, run.label);
                last = group;
            }
            let _ = writeln!(text, "  {}", run.size);
            for (name, value) in &run.figures {
                let _ = writeln!(text, "    {name:<32} {value:>14.3}");
            }
        }
        let lines = self.lines();
        if !lines.is_empty() {
            let _ = writeln!(text, "\nslopes: figure, for each one more, standard error, base");
        }
        for (axis, label, name, line) in lines {
            let _ = writeln!(
                text,
                "  {axis} {label} {name:<32} {:>14.6} {:>12.6} {:>14.3}",
                line.slope, line.error, line.base
            );
        }
        text
    }

    fn csv(&self) -> String {
        let mut text = "seed,commit,axis,size,label,figure,value\n".to_owned();
        for run in &self.runs {
            for (name, value) in &run.figures {
                let Run { axis, size, label, .. } = run;
                let _ = writeln!(text, "{},{},{axis},{size},{label},{name},{value}", self.seed, self.commit);
            }
        }
        text
    }
}

/// The commit of the sources in the current folder, or "unknown".
pub fn commit() -> String {
    let asked = std::process::Command::new("git").args(["rev-parse", "--short", "HEAD"]).output();
    let known = asked.ok().filter(|o| o.status.success());
    known.map_or_else(|| "unknown".to_owned(), |o| String::from_utf8_lossy(&o.stdout).trim().to_owned())
}
