//! JSON wire types of the platform's protocol.

use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;
use wisteriawick_core::ids::PlaceId;
use wisteriawick_core::ids::ProcessId;
use wisteriawick_core::ids::ServiceId;
use wisteriawick_core::membership::ListedProcess;
use wisteriawick_core::membership::Role;

use crate::platform::PlatformError;

#[derive(Debug, Deserialize)]
pub(crate) struct ObjectWire {
    pub(crate) version: Option<u64>,
    pub(crate) value: Option<Box<RawValue>>,
    /// Whether a watch ended without a change.
    #[serde(default)]
    pub(crate) unchanged: bool,
}

#[derive(Debug, Deserialize)]
pub(crate) struct InstancesWire {
    /// Decoded one by one, so that an odd instance costs only itself.
    pub(crate) instances: Vec<Box<RawValue>>,
}

/// An instance as the platform lists it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct InstanceWire {
    /// Name of the wisteriawick process on the instance.
    pub name: String,
    /// `entry` or `agent`.
    pub role: String,
    /// The service that the endpoint of an agent belongs to.
    pub service: String,
    /// The data centre that the instance runs in.
    pub place: String,
    /// Address at which other processes connect to the process.
    pub address: String,
    /// `live` or `leaving`.
    pub state: String,
}

impl TryFrom<InstanceWire> for ListedProcess {
    type Error = PlatformError;

    fn try_from(wire: InstanceWire) -> Result<Self, PlatformError> {
        let role = match wire.role.as_str() {
            "entry" => Role::Entry,
            "agent" => Role::Agent(ServiceId::new(wire.service)),
            other => {
                let message = format!("instance {} has the role {other:?}", wire.name);
                return Err(PlatformError::Malformed(message));
            }
        };
        Ok(Self {
            id: ProcessId::new(wire.name),
            role,
            place: PlaceId::new(wire.place),
            address: wire.address,
            leaving: wire.state == "leaving",
        })
    }
}
