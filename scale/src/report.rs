//! Figures of several runs, written as a table, as JSON or as CSV.

use crate::fit::{fit_line, Line};
use clap::ValueEnum;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Output format of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Human-readable table.
    Table,
    /// One JSON object, with the fitted lines.
    Json,
    /// One row for each figure, after a header row.
    Csv,
}

/// One run: the size that was varied, and the figures that it gave.
#[derive(Debug, Clone, Serialize)]
pub struct Run {
    /// Name of the quantity that is varied between the runs of a series.
    pub axis: String,
    /// Value of that quantity in this run.
    pub size: f64,
    /// Kind of run; runs with the same axis and label form a series.
    pub label: String,
    /// Figures by name; the unit is part of the name.
    pub figures: BTreeMap<String, f64>,
}

impl Run {
    /// Creates a run without figures.
    pub fn new(axis: &str, size: f64, label: &str) -> Self {
        Run { axis: axis.to_owned(), size, label: label.to_owned(), figures: BTreeMap::new() }
    }

    /// Sets the figure of this name.
    pub fn set(&mut self, name: &str, value: f64) {
        self.figures.insert(name.to_owned(), value);
    }
}

/// All runs of one invocation of the tool.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Short hash of the source commit, or "unknown".
    pub commit: String,
    /// The runs.
    pub runs: Vec<Run>,
}

impl Report {
    /// Lines fitted to each figure of each series, as (axis, label, figure, line).
    pub fn fitted_lines(&self) -> Vec<(String, String, String, Line)> {
        let mut series = BTreeMap::<_, Vec<(f64, f64)>>::new();
        for run in &self.runs {
            for (name, value) in run.figures.iter().filter(|f| f.1.is_finite()) {
                let key = (run.axis.clone(), run.label.clone(), name.clone());
                series.entry(key).or_default().push((run.size, *value));
            }
        }
        let mut lines = Vec::new();
        for ((axis, label, name), points) in series {
            lines.extend(fit_line(&points).map(|line| (axis, label, name, line)));
        }
        lines
    }

    /// Writes the report in a format.
    pub fn render(&self, format: Format) -> String {
        match format {
            Format::Table => self.table(),
            Format::Csv => self.csv(),
            Format::Json => {
                let lines: Vec<_> = self
                    .fitted_lines()
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
        let mut last_series = (String::new(), String::new());
        for run in &self.runs {
            let series = (run.axis.clone(), run.label.clone());
            if series != last_series {
                let _ = writeln!(text, "\n{} {}", run.axis, run.label);
                last_series = series;
            }
            let _ = writeln!(text, "  {}", run.size);
            for (name, value) in &run.figures {
                let _ = writeln!(text, "    {name:<32} {value:>14.3}");
            }
        }
        let lines = self.fitted_lines();
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

/// Short hash of the commit checked out in the current directory, or "unknown".
pub fn source_commit() -> String {
    let output = std::process::Command::new("git").args(["rev-parse", "--short", "HEAD"]).output();
    let succeeded = output.ok().filter(|o| o.status.success());
    succeeded.map_or_else(|| "unknown".to_owned(), |o| String::from_utf8_lossy(&o.stdout).trim().to_owned())
}
