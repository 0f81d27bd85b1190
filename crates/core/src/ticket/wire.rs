//! Wire types of tickets (TOML) and of the head object (JSON).
//!
//! They match what operators write and what the platform stores. All other code
//! uses the types of [`crate::fleet`]; `From` and `TryFrom` convert, and reject
//! values that are out of range.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Fleet;
use crate::fleet::Group;
use crate::fleet::KeyHash;
use crate::fleet::Place;
use crate::fleet::Service;
use crate::fleet::ServiceKind;
use crate::fleet::Workspace;
use crate::ids::GroupId;
use crate::ids::PlaceId;
use crate::ids::RunnerId;
use crate::ids::ServiceId;
use crate::ids::TicketNumber;
use crate::ids::WorkspaceId;
use crate::ticket::Head;
use crate::ticket::RecentTicket;

/// An invalid value of a declared object.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{object}.{key}: {problem}; {remedy}")]
pub(crate) struct FieldError {
    pub(crate) object: String,
    pub(crate) key: &'static str,
    pub(crate) problem: String,
    pub(crate) remedy: &'static str,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PlaceWire {
    region: String,
}

impl From<&Place> for PlaceWire {
    fn from(place: &Place) -> Self {
        Self {
            region: place.region.clone(),
        }
    }
}

impl From<PlaceWire> for Place {
    fn from(wire: PlaceWire) -> Self {
        Self {
            region: wire.region,
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
enum KindWire {
    Model,
    Plain,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServiceWire {
    kind: KindWire,
    max_in_flight: Option<u32>,
    max_queue: Option<u32>,
    default_deadline_ms: Option<u64>,
    max_deadline_ms: Option<u64>,
    progress_timeout_ms: Option<u64>,
    retry_share: Option<f64>,
    drain_ms: Option<u64>,
    block_ms: Option<u64>,
    checks_fencing: Option<bool>,
    key_retention_s: Option<u64>,
    idempotent_methods: Option<Vec<String>>,
}

impl From<&Service> for ServiceWire {
    fn from(service: &Service) -> Self {
        let millis = |d: Duration| Some(d.as_millis() as u64);
        Self {
            kind: match service.kind {
                ServiceKind::Model => KindWire::Model,
                ServiceKind::Plain => KindWire::Plain,
            },
            max_in_flight: Some(service.max_in_flight),
            max_queue: Some(service.max_queue),
            default_deadline_ms: millis(service.default_deadline),
            max_deadline_ms: millis(service.max_deadline),
            progress_timeout_ms: millis(service.progress_timeout),
            retry_share: Some(service.retry_share),
            drain_ms: millis(service.drain_timeout),
            block_ms: millis(service.block_duration),
            checks_fencing: Some(service.checks_fencing),
            key_retention_s: Some(service.key_retention.as_secs()),
            idempotent_methods: Some(service.idempotent_methods.clone()),
        }
    }
}

impl ServiceWire {
    pub(crate) fn try_into_service(self, name: &str) -> Result<Service, FieldError> {
        let object = format!("service.{name}");
        let error = |key, problem: String, remedy| FieldError {
            object: object.clone(),
            key,
            problem,
            remedy,
        };
        let base = Service::new(match self.kind {
            KindWire::Model => ServiceKind::Model,
            KindWire::Plain => ServiceKind::Plain,
        });
        let millis = |v: Option<u64>, d: Duration| v.map_or(d, Duration::from_millis);
        let service = Service {
            kind: base.kind,
            max_in_flight: self.max_in_flight.unwrap_or(base.max_in_flight),
            max_queue: self.max_queue.unwrap_or(base.max_queue),
            default_deadline: millis(self.default_deadline_ms, base.default_deadline),
            max_deadline: millis(self.max_deadline_ms, base.max_deadline),
            progress_timeout: millis(self.progress_timeout_ms, base.progress_timeout),
            retry_share: self.retry_share.unwrap_or(base.retry_share),
            drain_timeout: millis(self.drain_ms, base.drain_timeout),
            block_duration: millis(self.block_ms, base.block_duration),
            checks_fencing: self.checks_fencing.unwrap_or(base.checks_fencing),
            key_retention: self
                .key_retention_s
                .map_or(base.key_retention, Duration::from_secs),
            idempotent_methods: self.idempotent_methods.unwrap_or(base.idempotent_methods),
        };
        if service.max_in_flight == 0 {
            return Err(error("max_in_flight", "is 0".into(), "use at least 1"));
        }
        if !(0.0..=1.0).contains(&service.retry_share) {
            return Err(error(
                "retry_share",
                format!("is {}", service.retry_share),
                "use a value from 0 to 1",
            ));
        }
        if service.default_deadline > service.max_deadline {
            return Err(error(
                "default_deadline_ms",
                "is above max_deadline_ms".into(),
                "lower it or raise max_deadline_ms",
            ));
        }
        if service.progress_timeout.is_zero() {
            return Err(error(
                "progress_timeout_ms",
                "is 0".into(),
                "set it to the longest silence of a healthy stream",
            ));
        }
        Ok(service)
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WorkspaceWire {
    key_hashes: Vec<String>,
    #[serde(default = "default_weight")]
    weight: u32,
    #[serde(default)]
    priority: u8,
    services: Vec<String>,
}

fn default_weight() -> u32 {
    1
}

impl From<&Workspace> for WorkspaceWire {
    fn from(workspace: &Workspace) -> Self {
        Self {
            key_hashes: workspace
                .key_hashes
                .iter()
                .map(|key| key.to_hex())
                .collect(),
            weight: workspace.weight,
            priority: workspace.priority,
            services: workspace.services.iter().map(ToString::to_string).collect(),
        }
    }
}

impl WorkspaceWire {
    pub(crate) fn try_into_workspace(self, name: &str) -> Result<Workspace, FieldError> {
        let object = format!("workspace.{name}");
        if self.weight == 0 {
            return Err(FieldError {
                object,
                key: "weight",
                problem: "is 0".into(),
                remedy: "use at least 1",
            });
        }
        let mut key_hashes = Vec::with_capacity(self.key_hashes.len());
        for hex in &self.key_hashes {
            let key_hash = KeyHash::try_from_hex(hex).ok_or_else(|| FieldError {
                object: object.clone(),
                key: "key_hashes",
                problem: format!("{hex:?} is not a BLAKE3 hash"),
                remedy: "print one with `wisteriawick ticket hash-key`",
            })?;
            key_hashes.push(key_hash);
        }
        Ok(Workspace {
            key_hashes,
            weight: self.weight,
            priority: self.priority,
            services: self
                .services
                .iter()
                .map(|s| ServiceId::new(s.as_str()))
                .collect(),
        })
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct GroupWire {
    service: String,
    runners: Vec<String>,
    ranks_per_runner: u16,
    experts: u16,
    layers: u16,
    slots: u16,
    expert_bytes: u64,
    skew_weight: f64,
    move_cost: f64,
    #[serde(default = "default_horizon_h")]
    horizon_h: f64,
    #[serde(default = "default_max_plan_bytes")]
    max_plan_bytes: u64,
    #[serde(default = "default_plan_every_ms")]
    plan_every_ms: u64,
}

fn default_horizon_h() -> f64 {
    1.0
}

fn default_max_plan_bytes() -> u64 {
    200_000_000_000
}

fn default_plan_every_ms() -> u64 {
    300_000
}

impl From<&Group> for GroupWire {
    fn from(group: &Group) -> Self {
        Self {
            service: group.service.to_string(),
            runners: group.runners.iter().map(ToString::to_string).collect(),
            ranks_per_runner: group.ranks_per_runner,
            experts: group.experts,
            layers: group.layers,
            slots: group.slots,
            expert_bytes: group.expert_bytes,
            skew_weight: group.skew_weight,
            move_cost: group.move_cost,
            horizon_h: group.horizon_h,
            max_plan_bytes: group.max_plan_bytes,
            plan_every_ms: group.plan_interval.as_millis() as u64,
        }
    }
}

impl GroupWire {
    pub(crate) fn try_into_group(self, name: &str) -> Result<Group, FieldError> {
        let error = |key, problem: &str, remedy| FieldError {
            object: format!("group.{name}"),
            key,
            problem: problem.into(),
            remedy,
        };
        let group = Group {
            service: ServiceId::new(self.service),
            runners: self
                .runners
                .iter()
                .map(|r| RunnerId::new(r.as_str()))
                .collect(),
            ranks_per_runner: self.ranks_per_runner,
            experts: self.experts,
            layers: self.layers,
            slots: self.slots,
            expert_bytes: self.expert_bytes,
            skew_weight: self.skew_weight,
            move_cost: self.move_cost,
            horizon_h: self.horizon_h,
            max_plan_bytes: self.max_plan_bytes,
            plan_interval: Duration::from_millis(self.plan_every_ms),
        };
        if group.ranks() == 0 {
            return Err(error(
                "runners",
                "gives the group no rank",
                "name at least one runner",
            ));
        }
        if group.experts == 0 || group.layers == 0 {
            return Err(error("experts", "is 0", "set experts and layers above 0"));
        }
        if group.ranks() * usize::from(group.slots) < usize::from(group.experts) {
            return Err(error(
                "slots",
                "cannot hold every expert once",
                "raise slots until ranks x slots reaches experts",
            ));
        }
        let weights = [
            ("skew_weight", group.skew_weight),
            ("move_cost", group.move_cost),
            ("horizon_h", group.horizon_h),
        ];
        for (key, weight) in weights {
            if !weight.is_finite() || weight < 0.0 {
                return Err(error(
                    key,
                    "is negative or not finite",
                    "use a number of at least 0",
                ));
            }
        }
        if group.plan_interval.is_zero() {
            return Err(error("plan_every_ms", "is 0", "set the time between plans"));
        }
        Ok(group)
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RemovalWire {
    pub(crate) kind: RemovalKindWire,
    pub(crate) name: String,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum RemovalKindWire {
    Place,
    Service,
    Workspace,
    Group,
}

/// The objects that a ticket or a head declares, by kind and name.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct FleetWire {
    #[serde(default)]
    pub(crate) place: BTreeMap<String, PlaceWire>,
    #[serde(default)]
    pub(crate) service: BTreeMap<String, ServiceWire>,
    #[serde(default)]
    pub(crate) workspace: BTreeMap<String, WorkspaceWire>,
    #[serde(default)]
    pub(crate) group: BTreeMap<String, GroupWire>,
}

impl From<&Fleet> for FleetWire {
    fn from(fleet: &Fleet) -> Self {
        Self {
            place: to_wire(&fleet.places),
            service: to_wire(&fleet.services),
            workspace: to_wire(&fleet.workspaces),
            group: to_wire(&fleet.groups),
        }
    }
}

fn to_wire<'a, K: ToString, V, W: From<&'a V>>(map: &'a BTreeMap<K, V>) -> BTreeMap<String, W> {
    map.iter()
        .map(|(name, value)| (name.to_string(), W::from(value)))
        .collect()
}

impl TryFrom<FleetWire> for Fleet {
    type Error = FieldError;

    fn try_from(wire: FleetWire) -> Result<Self, FieldError> {
        let mut fleet = Self::default();
        for (name, place) in wire.place {
            fleet.places.insert(PlaceId::new(name), place.into());
        }
        for (name, service) in wire.service {
            let service = service.try_into_service(&name)?;
            fleet.services.insert(ServiceId::new(name), service);
        }
        for (name, workspace) in wire.workspace {
            let workspace = workspace.try_into_workspace(&name)?;
            fleet.workspaces.insert(WorkspaceId::new(name), workspace);
        }
        for (name, group) in wire.group {
            let group = group.try_into_group(&name)?;
            fleet.groups.insert(GroupId::new(name), group);
        }
        Ok(fleet)
    }
}

/// The content of a ticket file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TicketWire {
    pub(crate) number: u64,
    pub(crate) title: String,
    #[serde(default)]
    pub(crate) remove: Vec<RemovalWire>,
    #[serde(default)]
    pub(crate) place: BTreeMap<String, PlaceWire>,
    #[serde(default)]
    pub(crate) service: BTreeMap<String, ServiceWire>,
    #[serde(default)]
    pub(crate) workspace: BTreeMap<String, WorkspaceWire>,
    #[serde(default)]
    pub(crate) group: BTreeMap<String, GroupWire>,
}

/// The JSON form of a [`Head`], as stored in the platform's object and sent
/// between processes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HeadWire {
    number: u64,
    chain: String,
    recent: Vec<RecentWire>,
    fleet: FleetWire,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct RecentWire {
    number: u64,
    digest: String,
    title: String,
    by: String,
}

impl From<&Head> for HeadWire {
    fn from(head: &Head) -> Self {
        Self {
            number: head.number.0,
            chain: head.chain.clone(),
            recent: head
                .recent
                .iter()
                .map(|recent| RecentWire {
                    number: recent.number.0,
                    digest: recent.digest.clone(),
                    title: recent.title.clone(),
                    by: recent.submitter.clone(),
                })
                .collect(),
            fleet: FleetWire::from(&*head.fleet),
        }
    }
}

impl TryFrom<HeadWire> for Head {
    type Error = String;

    fn try_from(wire: HeadWire) -> Result<Self, String> {
        Ok(Self {
            number: TicketNumber(wire.number),
            chain: wire.chain,
            recent: wire
                .recent
                .into_iter()
                .map(|recent| RecentTicket {
                    number: TicketNumber(recent.number),
                    digest: recent.digest,
                    title: recent.title,
                    submitter: recent.by,
                })
                .collect(),
            fleet: Fleet::try_from(wire.fleet)
                .map_err(|e| e.to_string())?
                .into(),
        })
    }
}
