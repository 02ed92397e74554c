//! The state of the simulated platform: its table, objects and list of VMs.

use serde_json::Value;
use std::collections::BTreeMap;
use trestle_wire::table::{
    CommitRequest, CommitResponse, ReadRequest, ReadResponse, VmList, WireRow, WireVmState,
};

/// The state of the simulated platform: its table, objects and list of VMs.
pub(crate) struct Platform {
    rows: BTreeMap<String, WireRow>,
    objects: BTreeMap<String, Vec<u8>>,
    vms: BTreeMap<String, WireVmState>,
}

impl Platform {
    pub(crate) fn new(vms: impl Iterator<Item = String>) -> Self {
        let vms = vms.map(|name| (name, WireVmState::Live)).collect();
        Self { rows: BTreeMap::new(), objects: BTreeMap::new(), vms }
    }

    pub(crate) fn read(&self, request: &ReadRequest) -> ReadResponse {
        let found = request.keys.iter().filter_map(|key| Some((key.clone(), self.rows.get(key)?)));
        ReadResponse { rows: found.map(|(key, row)| (key, row.clone())).collect() }
    }

    pub(crate) fn commit(&mut self, request: CommitRequest) -> CommitResponse {
        let differs = |(key, version): &(&String, &u64)| self.version(key) != **version;
        let conflicts: Vec<String> =
            request.checks.iter().filter(differs).map(|(key, _)| key.clone()).collect();
        if !conflicts.is_empty() {
            return CommitResponse { committed: false, conflicts };
        }
        for (key, value) in request.writes {
            self.write(key, value);
        }
        CommitResponse { committed: true, conflicts }
    }

    pub(crate) fn object(&self, name: &str) -> Option<&Vec<u8>> {
        self.objects.get(name)
    }

    pub(crate) fn put_object(&mut self, name: &str, content: Vec<u8>) {
        self.objects.insert(name.to_owned(), content);
    }

    pub(crate) fn vms(&self) -> VmList {
        VmList { vms: self.vms.clone() }
    }

    pub(crate) fn set_vm(&mut self, name: &str, state: Option<WireVmState>) {
        match state {
            Some(state) => self.vms.insert(name.to_owned(), state),
            None => self.vms.remove(name),
        };
    }

    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.version)
    }

    fn write(&mut self, key: String, value: Option<Value>) {
        let version = self.version(&key) + 1;
        self.rows.insert(key, WireRow { version, value });
    }
}
