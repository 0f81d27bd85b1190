//! Parses ticket files and applies tickets to a fleet.
//!
//! Parsing checks each declared value by itself. References between objects are
//! checked when a ticket is applied, because they depend on earlier tickets.

use std::sync::Arc;

use crate::fleet::Fleet;
use crate::ids::GroupId;
use crate::ids::PlaceId;
use crate::ids::ServiceId;
use crate::ids::TicketNumber;
use crate::ids::WorkspaceId;
use crate::ticket::wire::FleetWire;
use crate::ticket::wire::RemovalKindWire;
use crate::ticket::wire::TicketWire;

/// Longest title of a ticket, in bytes.
const MAX_TITLE_BYTES: usize = 200;

/// An error in a ticket. The message says how to correct it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TicketError {
    /// The file is not valid TOML or has a missing or unknown key.
    #[error("{file}: {message}; correct the line shown")]
    Syntax {
        /// File that was read.
        file: String,
        /// The message of the parser, with line and column.
        message: String,
    },
    /// A value is out of range.
    #[error("{file}:{line}: {message}")]
    Value {
        /// File that was read.
        file: String,
        /// Line of the object with the value; zero when unknown.
        line: usize,
        /// The key, the problem and how to correct it.
        message: String,
    },
    /// An object refers to another that does not exist.
    #[error("{object} refers to {missing}, which is not declared; add it or remove the reference")]
    Dangling {
        /// The object with the reference.
        object: String,
        /// The object that does not exist.
        missing: String,
    },
    /// A removal names an object that does not exist.
    #[error("remove: {object} does not exist; delete the removal")]
    NothingToRemove {
        /// The object to remove.
        object: String,
    },
}

/// An object that a ticket removes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Removal {
    /// Removes a place.
    Place(PlaceId),
    /// Removes a service.
    Service(ServiceId),
    /// Removes a workspace.
    Workspace(WorkspaceId),
    /// Removes a group.
    Group(GroupId),
}

/// A change ticket, which declares the whole new state of each object that it
/// touches.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Number of the ticket; numbers start at 1 and have no gaps.
    pub number: TicketNumber,
    /// Short description for other operators.
    pub title: String,
    /// BLAKE3 hash of the file's text, in hexadecimal.
    pub digest: String,
    /// Objects to remove; removals are applied before declarations.
    pub removals: Vec<Removal>,
    /// Objects to add or to replace.
    pub declared: Fleet,
}

impl Ticket {
    /// Parses a ticket from the text of its file.
    ///
    /// # Errors
    ///
    /// Fails when the text is not TOML, has an unknown key, or has a value out of
    /// range. The error names the file, the line, the key and the correction.
    pub fn parse(file: &str, text: &str) -> Result<Self, TicketError> {
        let wire: TicketWire = toml::from_str(text).map_err(|e| TicketError::Syntax {
            file: file.into(),
            message: e.to_string().trim_end().to_string(),
        })?;
        let value_error = |object: &str, message: String| TicketError::Value {
            file: file.into(),
            line: line_of(text, object),
            message,
        };
        if wire.number == 0 {
            let message = "number: is 0; ticket numbers start at 1".to_string();
            return Err(value_error("number", message));
        }
        if wire.title.len() > MAX_TITLE_BYTES {
            let message = format!("title: is longer than {MAX_TITLE_BYTES} bytes; shorten it");
            return Err(value_error("title", message));
        }
        let fleet = FleetWire {
            place: wire.place,
            service: wire.service,
            workspace: wire.workspace,
            group: wire.group,
        };
        let declared = Fleet::try_from(fleet).map_err(|e| value_error(&e.object, e.to_string()))?;
        let removals = wire
            .remove
            .into_iter()
            .map(|removal| match removal.kind {
                RemovalKindWire::Place => Removal::Place(PlaceId::new(removal.name)),
                RemovalKindWire::Service => Removal::Service(ServiceId::new(removal.name)),
                RemovalKindWire::Workspace => Removal::Workspace(WorkspaceId::new(removal.name)),
                RemovalKindWire::Group => Removal::Group(GroupId::new(removal.name)),
            })
            .collect();
        Ok(Self {
            number: TicketNumber(wire.number),
            title: wire.title,
            digest: blake3::hash(text.as_bytes()).to_hex().to_string(),
            removals,
            declared,
        })
    }

    /// Returns the fleet that results from applying the ticket to `fleet`.
    ///
    /// # Errors
    ///
    /// Fails when a removed object does not exist, or when an object of the result
    /// refers to one that does not exist.
    pub fn apply_to(&self, fleet: &Fleet) -> Result<Arc<Fleet>, TicketError> {
        let mut next = fleet.clone();
        for removal in &self.removals {
            remove(&mut next, removal)?;
        }
        next.places.extend(self.declared.places.clone());
        next.services.extend(self.declared.services.clone());
        next.workspaces.extend(self.declared.workspaces.clone());
        next.groups.extend(self.declared.groups.clone());
        check_references(&next)?;
        Ok(next.into())
    }
}

/// Returns the number of the line that declares an object or key; zero when there
/// is none.
fn line_of(text: &str, object: &str) -> usize {
    let header = format!("[{object}]");
    text.lines()
        .position(|line| {
            let line = line.trim();
            line == header || line.starts_with(&format!("{object} "))
        })
        .map_or(0, |index| index + 1)
}

fn remove(fleet: &mut Fleet, removal: &Removal) -> Result<(), TicketError> {
    let (found, object) = match removal {
        Removal::Place(id) => (fleet.places.remove(id).is_some(), format!("place.{id}")),
        Removal::Service(id) => (fleet.services.remove(id).is_some(), format!("service.{id}")),
        Removal::Workspace(id) => (
            fleet.workspaces.remove(id).is_some(),
            format!("workspace.{id}"),
        ),
        Removal::Group(id) => (fleet.groups.remove(id).is_some(), format!("group.{id}")),
    };
    if found {
        Ok(())
    } else {
        Err(TicketError::NothingToRemove { object })
    }
}

fn check_references(fleet: &Fleet) -> Result<(), TicketError> {
    let dangling = |object: String, missing: &ServiceId| TicketError::Dangling {
        object,
        missing: format!("service.{missing}"),
    };
    for (id, workspace) in &fleet.workspaces {
        for service in &workspace.services {
            if !fleet.services.contains_key(service) {
                return Err(dangling(format!("workspace.{id}"), service));
            }
        }
    }
    for (id, group) in &fleet.groups {
        if !fleet.services.contains_key(&group.service) {
            return Err(dangling(format!("group.{id}"), &group.service));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::Ticket;
    use super::TicketError;
    use crate::fleet::Fleet;

    #[test]
    fn unknown_key_is_reported_with_its_line() {
        let text = "number = 1\ntitle = \"t\"\n[service.a]\nkind = \"plain\"\nmax_inflight = 3\n";
        let error = Ticket::parse("1.toml", text).expect_err("the key does not exist");
        let message = error.to_string();
        assert!(message.contains("line 5"), "{message}");
        assert!(message.contains("max_inflight"), "{message}");
    }

    #[test]
    fn value_out_of_range_is_reported_with_line_and_correction() {
        let text = "number = 1\ntitle = \"t\"\n[service.a]\nkind = \"plain\"\nmax_in_flight = 0\n";
        let error = Ticket::parse("1.toml", text).expect_err("0 is out of range");
        assert_eq!(
            error.to_string(),
            "1.toml:3: service.a.max_in_flight: is 0; use at least 1"
        );
    }

    #[test]
    fn declaring_an_object_again_resets_its_omitted_keys_to_defaults() {
        let first = "number = 1\ntitle = \"t\"\n[service.a]\nkind = \"plain\"\nmax_queue = 9\n";
        let second = "number = 2\ntitle = \"t\"\n[service.a]\nkind = \"plain\"\n";
        let fleet = Ticket::parse("1.toml", first)
            .and_then(|t| t.apply_to(&Fleet::default()))
            .expect("valid");
        let fleet = Ticket::parse("2.toml", second)
            .and_then(|t| t.apply_to(&fleet))
            .expect("valid");
        assert_eq!(fleet.services[&"a".into()].max_queue, 512);
    }

    #[test]
    fn removing_a_service_that_a_workspace_uses_is_refused() {
        let first = "number = 1\ntitle = \"t\"\n[service.a]\nkind = \"plain\"\n\
                     [workspace.w]\nkey_hashes = []\nservices = [\"a\"]\n";
        let second = "number = 2\ntitle = \"t\"\n[[remove]]\nkind = \"service\"\nname = \"a\"\n";
        let fleet = Ticket::parse("1.toml", first)
            .and_then(|t| t.apply_to(&Fleet::default()))
            .expect("valid");
        let error = Ticket::parse("2.toml", second)
            .and_then(|t| t.apply_to(&fleet))
            .expect_err("a workspace refers to the service");
        assert!(matches!(error, TicketError::Dangling { .. }));
    }

    #[test]
    fn parsing_arbitrary_bytes_does_not_panic() {
        bolero::check!()
            .with_iterations(2_000)
            .with_test_time(std::time::Duration::MAX)
            .with_type::<Vec<u8>>()
            .for_each(|bytes| {
                let _ = Ticket::parse("fuzz.toml", &String::from_utf8_lossy(bytes));
            });
    }
}
