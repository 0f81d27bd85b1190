//! What the operators have declared: places, services, workspaces and groups.
//!
//! A `Fleet` is the whole configuration in force after some ticket. It is not
//! the live state: who is alive belongs to [`crate::membership`].

mod group;
mod service;
mod workspace;

use std::collections::BTreeMap;

pub use group::Group;
pub use service::Service;
pub use service::ServiceKind;
pub use workspace::KeyHash;
pub use workspace::Workspace;

use crate::ids::GroupId;
use crate::ids::PlaceId;
use crate::ids::ServiceId;
use crate::ids::WorkspaceId;

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The region that holds it.
    pub region: String,
}

/// The declared state of everything that tickets touch.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// Data centres by name.
    pub places: BTreeMap<PlaceId, Place>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Lock-step groups by name.
    pub groups: BTreeMap<GroupId, Group>,
}

impl Fleet {
    /// Finds the workspace that an API key belongs to.
    pub fn workspace_by_key(&self, key: &str) -> Option<(&WorkspaceId, &Workspace)> {
        let hash = KeyHash::new(key);
        self.workspaces
            .iter()
            .find(|(_, workspace)| workspace.key_hashes.contains(&hash))
    }

    /// Returns the distance between two places in steps: same, region, abroad.
    pub fn distance(&self, a: &PlaceId, b: &PlaceId) -> Distance {
        if a == b {
            return Distance::SamePlace;
        }
        let region = |id| self.places.get(id).map(|place| &place.region);
        match (region(a), region(b)) {
            (Some(a), Some(b)) if a == b => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }
}

/// How far two places are apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same data centre.
    SamePlace,
    /// Another data centre of the same region.
    SameRegion,
    /// Another region, or a place that no ticket declares.
    OtherRegion,
}
