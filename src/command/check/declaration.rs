//! Checks a declaration of a hosted fleet.

use std::path::Path;

use serde::Serialize;
use wisteriawick_core::gateway::DeclarationDraft;
use wisteriawick_core::gateway::Finding;
use wisteriawick_core::gateway::declaration_check::Difference;
use wisteriawick_core::gateway::declaration_check::Severity;
use wisteriawick_core::gateway::declaration_check::check_version;
use wisteriawick_core::gateway::declaration_check::differences;
use wisteriawick_core::gateway::declaration_check::findings;
use wisteriawick_platform::read_declaration;
use wisteriawick_platform::read_settings;

use crate::command::check::CheckOptions;
use crate::command::check::read_bounded;
use crate::command::print_line;
use crate::error::Error;
use crate::error::Result;

#[derive(Debug, Serialize)]
struct ReportWire {
    file: String,
    version: u64,
    findings: Vec<FindingWire>,
    differences: Vec<DifferenceWire>,
}

#[derive(Debug, Serialize)]
struct FindingWire {
    severity: String,
    place: String,
    problem: String,
    remedy: &'static str,
}

#[derive(Debug, Serialize)]
struct DifferenceWire {
    place: String,
    change: String,
}

impl From<&Finding> for FindingWire {
    fn from(finding: &Finding) -> Self {
        Self {
            severity: finding.severity.to_string(),
            place: finding.place.clone(),
            problem: finding.problem.clone(),
            remedy: finding.remedy,
        }
    }
}

impl From<&Difference> for DifferenceWire {
    fn from(difference: &Difference) -> Self {
        Self {
            place: difference.place.clone(),
            change: difference.change.clone(),
        }
    }
}

/// Checks the text of a file; returns whether it has no error.
///
/// # Errors
///
/// Fails when the text is no declaration, or a file of the options cannot be read.
pub(super) fn check(file: &Path, text: &str, options: &CheckOptions) -> Result<bool> {
    let draft = decode(file, text)?;
    let machine = match &options.settings {
        Some(settings) => {
            let settings = read_settings(settings).map_err(|e| Error::Other(e.to_string()))?;
            Some(settings.resources)
        }
        None => None,
    };
    let mut findings = findings(&draft, machine.as_ref());
    let mut changes = Vec::new();
    if let Some(against) = &options.against {
        let in_force = decode(against, &read_bounded(against)?)?;
        findings.extend(check_version(&in_force, &draft));
        changes = differences(&in_force, &draft);
    }
    match options.json {
        true => print_json(file, &draft, &findings, &changes),
        false => print_text(file, &draft, &findings, &changes),
    }
    Ok(findings
        .iter()
        .all(|finding| finding.severity < Severity::Error))
}

fn decode(file: &Path, text: &str) -> Result<DeclarationDraft> {
    read_declaration(text).map_err(|e| Error::Other(format!("{}: {e}", file.display())))
}

fn print_json(
    file: &Path,
    draft: &DeclarationDraft,
    findings: &[Finding],
    differences: &[Difference],
) {
    let report = ReportWire {
        file: file.display().to_string(),
        version: draft.version,
        findings: findings.iter().map(Into::into).collect(),
        differences: differences.iter().map(Into::into).collect(),
    };
    let json = serde_json::to_string(&report).expect("strings and numbers are JSON");
    print_line(format_args!("{json}"));
}

fn print_text(
    file: &Path,
    draft: &DeclarationDraft,
    findings: &[Finding],
    differences: &[Difference],
) {
    print_line(format_args!(
        "{}: declaration {} with {} services and {} routes",
        file.display(),
        draft.version,
        draft.services.len(),
        draft.routes.len()
    ));
    for finding in findings {
        print_line(format_args!("{finding}"));
    }
    for difference in differences {
        print_line(format_args!(
            "change: {}: {}",
            difference.place, difference.change
        ));
    }
}
