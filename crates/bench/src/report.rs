//! Collects the figures of an experiment and prints them as a table or as JSON lines.

use serde::Serialize;

/// The target of a figure.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Target {
    /// The figure has no target.
    None,
    /// The figure should be at most this.
    AtMost(f64),
    /// The figure should be at least this.
    AtLeast(f64),
}

/// One figure, as it is written with `--json`.
#[derive(Debug, Serialize)]
struct Row {
    name: String,
    value: f64,
    unit: &'static str,
    target: Option<String>,
    /// Whether the figure meets its target; `None` without a target.
    holds: Option<bool>,
}

/// The figures of one experiment.
#[derive(Debug)]
pub(crate) struct Report {
    experiment: String,
    rows: Vec<Row>,
    notes: Vec<String>,
}

impl Report {
    pub(crate) fn new(experiment: &str) -> Self {
        Self {
            experiment: experiment.to_string(),
            rows: Vec::new(),
            notes: Vec::new(),
        }
    }

    /// Adds a figure and compares it with its target.
    pub(crate) fn add(
        &mut self,
        name: impl Into<String>,
        value: f64,
        unit: &'static str,
        target: Target,
    ) {
        let (text, holds) = match target {
            Target::None => (None, None),
            Target::AtMost(bound) => (Some(format!("<= {bound}")), Some(value <= bound)),
            Target::AtLeast(bound) => (Some(format!(">= {bound}")), Some(value >= bound)),
        };
        self.rows.push(Row {
            name: name.into(),
            value,
            unit,
            target: text,
            holds,
        });
    }

    /// Adds a text that is printed below the table, and not with `--json`.
    pub(crate) fn note(&mut self, text: impl Into<String>) {
        self.notes.push(text.into());
    }

    /// Prints the figures to standard output.
    pub(crate) fn print(&self, json: bool) {
        if json {
            for row in &self.rows {
                println!("{}", serde_json::to_string(row).unwrap_or_default());
            }
            return;
        }
        println!("{}", self.experiment);
        println!(
            "{:<58} {:>14} {:<10} {:<12} holds",
            "name", "value", "unit", "target"
        );
        for row in &self.rows {
            let holds = match row.holds {
                Some(true) => "yes",
                Some(false) => "NO",
                None => "",
            };
            let target = row.target.as_deref().unwrap_or("");
            println!(
                "{:<58} {:>14.4} {:<10} {:<12} {holds}",
                row.name, row.value, row.unit, target
            );
        }
        for note in &self.notes {
            println!("{note}");
        }
    }
}

/// Sorts the samples and returns the nearest one to a quantile (`share` from 0 to 1);
/// zero if there are none.
pub(crate) fn quantile(samples: &mut [f64], share: f64) -> f64 {
    if samples.is_empty() {
        return 0.0;
    }
    samples.sort_by(f64::total_cmp);
    let index = ((samples.len() - 1) as f64 * share).round() as usize;
    samples[index]
}
