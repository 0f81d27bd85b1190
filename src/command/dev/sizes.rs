//! The sizes that `dev` brings up.

use std::fmt::Write;
use std::path::Path;

use serde::Deserialize;
use wisteriawick_core::fleet::KeyHash;

use crate::command::dev::DevFleet;
use crate::error::Error;
use crate::error::Result;

/// A service and how many runners it has.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSize {
    /// Its name.
    pub name: String,
    /// `model` or `plain`.
    pub kind: String,
    /// Its runners.
    pub runners: usize,
    /// Requests that one runner may hold.
    pub max_in_flight: u32,
}

impl ServiceSize {
    /// Returns whether model engines stand behind the service.
    pub fn is_model(&self) -> bool {
        self.kind == "model"
    }
}

/// A workspace and its share.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSize {
    /// Its name.
    pub name: String,
    /// Its share relative to others.
    pub weight: u32,
}

/// The sizes of a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DevSizes {
    /// The region of all places.
    pub region: String,
    /// Data centres.
    pub places: Vec<String>,
    /// Entries, spread over the places.
    pub entries: usize,
    /// Port of the first entry; the next ones follow. Zero lets the system choose.
    pub first_port: u16,
    /// Services.
    pub services: Vec<ServiceSize>,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceSize>,
}

impl DevSizes {
    /// Reads the sizes from a file.
    ///
    /// # Errors
    ///
    /// Names the file, the line and what is wrong.
    pub fn read(file: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(file).map_err(Error::file(file))?;
        let error = |message: String| Error::Settings {
            path: file.to_path_buf(),
            message,
        };
        let sizes: Self =
            toml::from_str(&text).map_err(|e| error(format!("{}; correct the line shown", e)))?;
        let empty = sizes.places.is_empty()
            || sizes.entries == 0
            || sizes.services.is_empty()
            || sizes.workspaces.is_empty();
        if empty {
            let message = "state at least one place, entry, service and workspace";
            return Err(error(message.into()));
        }
        Ok(sizes)
    }

    /// Returns the first ticket of the fleet.
    pub fn to_ticket(&self) -> String {
        let mut text = String::from("number = 1\ntitle = \"The whole fleet\"\n");
        for place in &self.places {
            let _ = writeln!(text, "\n[place.{place}]\nregion = \"{}\"", self.region);
        }
        let mut names = Vec::new();
        for service in &self.services {
            names.push(format!("\"{}\"", service.name));
            let _ = writeln!(
                text,
                "\n[service.{}]\nkind = \"{}\"\nmax_in_flight = {}",
                service.name, service.kind, service.max_in_flight
            );
        }
        for workspace in &self.workspaces {
            let hash = KeyHash::new(&DevFleet::key(&workspace.name)).to_hex();
            let _ = writeln!(
                text,
                "\n[workspace.{}]\nkey_hashes = [\"{hash}\"]\nweight = {}\nservices = [{}]",
                workspace.name,
                workspace.weight,
                names.join(", ")
            );
        }
        text
    }
}
