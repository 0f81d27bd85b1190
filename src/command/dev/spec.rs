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
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// `model` or `plain`.
    pub kind: String,
    /// Its runners.
    pub runners: usize,
    /// Requests that one runner may hold.
    pub max_in_flight: u32,
    /// The lock-step groups that its runners form, if they do.
    pub group: Option<GroupSpec>,
}

/// The shape of the lock-step groups of a service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// Runners of one group.
    pub runners: usize,
    /// Ranks of each runner.
    pub ranks_per_runner: usize,
    /// Experts in each layer.
    pub experts: usize,
    /// Layers with experts.
    pub layers: usize,
    /// Expert slots of one rank in one layer.
    pub slots: usize,
    /// Bytes of one expert.
    pub expert_bytes: u64,
    /// Value of removing one step time's worth of skew for one hour.
    pub skew_weight: f64,
    /// Cost of moving one gigabyte.
    pub move_cost: f64,
    /// Time between two plans.
    pub plan_every_ms: u64,
    /// Time of a balanced step.
    pub step_ms: u64,
}

impl ServiceSpec {
    /// Returns the name of a runner, counted from zero.
    pub fn runner_name(&self, index: usize) -> String {
        format!("{}-{}", self.name, index + 1)
    }

    /// Returns the names of the runners of each lock-step group.
    pub fn group_runners(&self) -> Vec<Vec<String>> {
        let Some(group) = &self.group else {
            return Vec::new();
        };
        let names: Vec<String> = (0..self.runners).map(|i| self.runner_name(i)).collect();
        names
            .chunks_exact(group.runners.max(1))
            .map(<[String]>::to_vec)
            .collect()
    }

    /// Returns whether model engines stand behind the service.
    pub fn is_model(&self) -> bool {
        self.kind == "model"
    }
}

/// A workspace and its share.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Its name.
    pub name: String,
    /// Its share relative to others.
    pub weight: u32,
}

/// The sizes of a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// The region of all places.
    pub region: String,
    /// Data centres.
    pub places: Vec<String>,
    /// Entries, spread over the places.
    pub entries: usize,
    /// Port of the first entry; the next ones follow. Zero lets the system choose.
    pub first_port: u16,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceSpec>,
}

impl FleetSpec {
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
        let spec: Self =
            toml::from_str(&text).map_err(|e| error(format!("{}; correct the line shown", e)))?;
        let empty = spec.places.is_empty()
            || spec.entries == 0
            || spec.services.is_empty()
            || spec.workspaces.is_empty();
        if empty {
            let message = "state at least one place, entry, service and workspace";
            return Err(error(message.into()));
        }
        Ok(spec)
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
        for service in &self.services {
            let Some(group) = &service.group else {
                continue;
            };
            for (index, names) in service.group_runners().iter().enumerate() {
                let names: Vec<String> = names.iter().map(|n| format!("\"{n}\"")).collect();
                let _ = writeln!(
                    text,
                    "\n[group.{}-{}]\nservice = \"{}\"\nrunners = [{}]\nranks_per_runner = {}\n\
                     experts = {}\nlayers = {}\nslots = {}\nexpert_bytes = {}\n\
                     skew_weight = {:?}\nmove_cost = {:?}\nplan_every_ms = {}",
                    service.name,
                    index + 1,
                    service.name,
                    names.join(", "),
                    group.ranks_per_runner,
                    group.experts,
                    group.layers,
                    group.slots,
                    group.expert_bytes,
                    group.skew_weight,
                    group.move_cost,
                    group.plan_every_ms
                );
            }
        }
        for workspace in &self.workspaces {
            let hash = KeyHash::new(&DevFleet::api_key(&workspace.name)).to_hex();
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
