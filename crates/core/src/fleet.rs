//! The configuration that operators declare: places, services, workspaces and groups.
//!
//! A [`Fleet`] is the whole configuration after some ticket. It says nothing about
//! the running processes; their state is in [`crate::membership`].

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
    /// The region that the data centre belongs to.
    pub region: String,
}

/// The declared configuration of a whole installation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// Data centres by name.
    pub places: BTreeMap<PlaceId, Place>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Lockstep groups of ranks by name.
    pub groups: BTreeMap<GroupId, Group>,
}

impl Fleet {
    /// Returns the workspace that an API key belongs to.
    pub fn workspace_by_key(&self, key: &str) -> Option<(&WorkspaceId, &Workspace)> {
        let hash = KeyHash::new(key);
        self.workspaces
            .iter()
            .find(|(_, workspace)| workspace.key_hashes.contains(&hash))
    }

    /// Returns the distance between two places. A place that is not declared counts
    /// as being in another region.
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

/// The distance between two places, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same data centre.
    SamePlace,
    /// Another data centre of the same region.
    SameRegion,
    /// Another region, or a place that is not declared.
    OtherRegion,
}
