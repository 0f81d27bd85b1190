//! The store: versions, conditional updates, outages.

use std::collections::BTreeMap;

use wisteriawick_core::ledger::ObjectName;
use wisteriawick_core::ledger::ReadResult;
use wisteriawick_core::ledger::StoredObject;
use wisteriawick_core::ledger::WriteResult;

use crate::injection::StoreHealth;

/// A fake of the platform's object service.
#[derive(Debug, Default)]
pub(crate) struct Store {
    objects: BTreeMap<ObjectName, (u64, StoredObject)>,
    last_version: u64,
    pub(crate) health: StoreHealth,
}

impl Store {
    pub(crate) fn read(&self, name: ObjectName) -> ReadResult {
        match self.objects.get(&name) {
            Some((version, content)) => ReadResult::Found(*version, content.clone()),
            None => ReadResult::Missing,
        }
    }

    pub(crate) fn write(
        &mut self,
        name: ObjectName,
        if_version: u64,
        content: StoredObject,
    ) -> WriteResult {
        let held = self.objects.get(&name).map_or(0, |(version, _)| *version);
        if held != if_version {
            return WriteResult::Conflict;
        }
        self.last_version += 1;
        self.objects.insert(name, (self.last_version, content));
        WriteResult::Written(self.last_version)
    }
}
