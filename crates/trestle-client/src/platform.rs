//! Client of the platform: its table, object store and list of VMs.

use crate::{
    error::{ContentSnafu, Result},
    http,
};
use snafu::ResultExt;
use std::collections::BTreeMap;
use trestle_core::{
    event::VmState,
    row::{CommitOutcome, RowKey, Rows, Txn},
};
use trestle_wire::{
    row::{CoreRows, key_to_string},
    table::{CommitRequest, CommitResponse, ReadRequest, ReadResponse, VmList},
};
use trillium_client::Client;

/// Time limit for an answer of the table and the list of VMs.
const TIMEOUT_MS: u64 = 1_500;
/// Time limit for reading or writing a whole object.
const OBJECT_TIMEOUT_MS: u64 = 5_000;

/// Client of the platform's table, object store and list of VMs.
#[derive(Debug, Clone)]
pub struct Platform {
    client: Client,
    url: String,
}

impl Platform {
    /// Creates a client of the platform at a URL, such as `http://ip:port`.
    pub fn new(url: &str) -> Self {
        Self { client: http::pooled_client(), url: url.trim_end_matches('/').to_owned() }
    }

    /// Reads rows and parses them.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer, or if a row cannot be parsed.
    pub async fn read(&self, keys: &[RowKey]) -> Result<Rows> {
        let keys = keys.iter().map(key_to_string).collect();
        let response = self.read_raw(keys).await?;
        let url = &self.url;
        Ok(CoreRows::try_from(response).context(ContentSnafu { url })?.0)
    }

    /// Reads rows in their stored form, of any kind.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    pub async fn read_raw(&self, keys: Vec<String>) -> Result<ReadResponse> {
        let url = format!("{}/table/read", self.url);
        http::post_json(&self.client, &url, &ReadRequest { keys }, TIMEOUT_MS).await
    }

    /// Commits a transaction; the outcome is `Unknown` if no valid answer arrives in time.
    pub async fn commit(&self, txn: &Txn) -> CommitOutcome {
        self.commit_raw(&CommitRequest::from(txn)).await.0
    }

    /// Commits writes of rows of any kind. Returns the outcome, and the keys of the rows that
    /// conflict with the request; the outcome is `Unknown` if no valid answer arrives in time.
    pub async fn commit_raw(&self, request: &CommitRequest) -> (CommitOutcome, Vec<String>) {
        let url = format!("{}/table/commit", self.url);
        let answer = http::post_json(&self.client, &url, request, TIMEOUT_MS).await;
        match answer {
            Ok(CommitResponse { committed: true, .. }) => (CommitOutcome::Committed, Vec::new()),
            Ok(CommitResponse { conflicts, .. }) => (CommitOutcome::Conflict, conflicts),
            Err(_) => (CommitOutcome::Unknown, Vec::new()),
        }
    }

    /// Reads an object of the object store.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer or has no such object.
    pub async fn get_object(&self, name: &str) -> Result<Vec<u8>> {
        let url = format!("{}/objects/{name}", self.url);
        let (status, body) =
            http::exchange(self.client.get(url.as_str()), OBJECT_TIMEOUT_MS).await?;
        http::success(&url, status)?;
        Ok(body)
    }

    /// Writes an object to the object store.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not confirm the write; even then the object may have been
    /// written.
    pub async fn put_object(&self, name: &str, content: &[u8]) -> Result<()> {
        let url = format!("{}/objects/{name}", self.url);
        let conn = self.client.put(url.as_str()).with_body(content.to_vec());
        let (status, _) = http::exchange(conn, OBJECT_TIMEOUT_MS).await?;
        http::success(&url, status)
    }

    /// Reads the states of the VMs, by name.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer, or if the list cannot be parsed.
    pub async fn vms(&self) -> Result<BTreeMap<String, VmState>> {
        let url = format!("{}/vms", self.url);
        let list: VmList = http::get_json(&self.client, &url, TIMEOUT_MS).await?;
        Ok(list.vms.into_iter().map(|(name, state)| (name, state.into())).collect())
    }
}
