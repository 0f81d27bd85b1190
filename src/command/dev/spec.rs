//! The file that specifies the fleet of `dev`, and the ticket that declares this
//! fleet.

use std::fmt::Write;
use std::path::Path;

use serde::Deserialize;
use wisteriawick_core::fleet::KeyHash;

use crate::command::dev::DevFleet;
use crate::error::Error;
use crate::error::Result;

/// A service and its runners.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// `model` or `plain`.
    pub kind: String,
    /// Number of runners.
    pub runners: usize,
    /// Most requests in flight at one runner.
    pub max_in_flight: u32,
    /// Shape of the lockstep groups that the runners form, if they form groups.
    pub group: Option<GroupSpec>,
}

/// The shape of the lockstep groups of a service, the same for all of them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// Number of runners in a group.
    pub runners: usize,
    /// Number of ranks of each runner.
    pub ranks_per_runner: usize,
    /// Number of experts in each layer.
    pub experts: usize,
    /// Number of layers that have experts.
    pub layers: usize,
    /// Number of experts that one rank holds in each layer.
    pub slots: usize,
    /// Size of the weights of one expert, in bytes.
    pub expert_bytes: u64,
    /// Value of lowering the skew by one for one hour, in the cost units of
    /// `move_cost`.
    pub skew_weight: f64,
    /// Cost of moving one gigabyte of weights, in abstract cost units.
    pub move_cost: f64,
    /// Time between two plans, in milliseconds.
    pub plan_every_ms: u64,
    /// Duration of a perfectly balanced step of the stand-in engines, in milliseconds.
    pub step_ms: u64,
}

impl ServiceSpec {
    /// Returns the name of the runner with an index; the names count from one.
    pub fn runner_name(&self, index: usize) -> String {
        format!("{}-{}", self.name, index + 1)
    }

    /// Returns the names of the runners of each lockstep group. Runners that are left
    /// after the last full group belong to none.
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

    /// Returns whether the endpoints of the service are model engines.
    pub fn is_model(&self) -> bool {
        self.kind == "model"
    }
}

/// A workspace and its share of the capacity.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub name: String,
    /// Share of the workspace relative to the weights of the others.
    pub weight: u32,
}

/// The specification of a whole fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// Region of all places.
    pub region: String,
    /// Names of the data centres. Entries and the runners of each service are assigned
    /// to them in turn.
    pub places: Vec<String>,
    /// Number of entries.
    pub entries: usize,
    /// First of the consecutive ports of the entries. Each entry uses two: one for
    /// callers and the next one for operators. Zero lets the operating system choose.
    pub first_port: u16,
    /// Services of the fleet.
    pub services: Vec<ServiceSpec>,
    /// Workspaces; each may use all services.
    pub workspaces: Vec<WorkspaceSpec>,
}

impl FleetSpec {
    /// Reads a specification from a TOML file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is invalid, or when the fleet has no place,
    /// entry, service or workspace.
    pub fn read(file: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(file).map_err(Error::file(file))?;
        let error = |message: String| Error::Settings {
            path: file.to_path_buf(),
            message,
        };
        let spec: Self =
            toml::from_str(&text).map_err(|e| error(format!("{}; correct the line shown", e)))?;
        let incomplete = spec.places.is_empty()
            || spec.entries == 0
            || spec.services.is_empty()
            || spec.workspaces.is_empty();
        if incomplete {
            let message = "state at least one place, entry, service and workspace";
            return Err(error(message.into()));
        }
        Ok(spec)
    }

    /// Returns the text of ticket 1, which declares the whole fleet.
    pub fn to_ticket(&self) -> String {
        let mut text = String::from("number = 1\ntitle = \"The whole fleet\"\n");
        for place in &self.places {
            let _ = writeln!(text, "\n[place.{place}]\nregion = \"{}\"", self.region);
        }
        let mut service_names = Vec::new();
        for service in &self.services {
            service_names.push(format!("\"{}\"", service.name));
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
            for (index, runners) in service.group_runners().iter().enumerate() {
                let runners: Vec<String> = runners.iter().map(|n| format!("\"{n}\"")).collect();
                let _ = writeln!(
                    text,
                    "\n[group.{}-{}]\nservice = \"{}\"\nrunners = [{}]\nranks_per_runner = {}\n\
                     experts = {}\nlayers = {}\nslots = {}\nexpert_bytes = {}\n\
                     skew_weight = {:?}\nmove_cost = {:?}\nplan_every_ms = {}",
                    service.name,
                    index + 1,
                    service.name,
                    runners.join(", "),
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
                service_names.join(", ")
            );
        }
        text
    }
}
