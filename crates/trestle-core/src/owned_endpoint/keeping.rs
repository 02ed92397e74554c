//! Decisions about which models stay loaded and which may be unloaded.

use super::{OwnedEndpoint, ResidentModel};
use crate::{
    catalog::Catalog,
    endpoint_row::EndpointRow,
    names::ModelName,
    order::Phase,
    usage_profile::{Bin, UsageProfile},
    window::{CivilTime, LEAD_MINUTES},
};
use std::collections::BTreeMap;

impl OwnedEndpoint {
    /// Records the gap between the previous request for the model and a new one.
    ///
    /// A model is always kept for at least as long as it takes to load, so shorter gaps have no
    /// influence and are not recorded.
    pub(super) fn record_gap(&mut self, model: &ModelName, load_ms: u64, now_ms: u64) {
        let Some(last_used_ms) = self.last_used_ms.get(model) else { return };
        let gap_ms = now_ms.saturating_sub(*last_used_ms);
        if gap_ms > load_ms {
            self.gaps.entry(model.clone()).or_default().record(gap_ms);
        }
    }

    /// Updates the usage profiles when a time bin ends, and the set of models that are expected to
    /// be requested now or soon.
    ///
    /// Returns the usage profiles if they may have changed and should be stored; `None` otherwise.
    pub fn on_clock(
        &mut self,
        time: CivilTime,
        placed: &EndpointRow,
        catalog: &Catalog,
    ) -> Option<BTreeMap<ModelName, UsageProfile>> {
        let bin = Bin::of(time);
        let ended = self.bin.replace(bin).filter(|ended| *ended != bin);
        if let Some(ended) = ended {
            self.update_usage_profiles(ended, placed);
        }
        let soon = Bin::of(time.later(LEAD_MINUTES));
        let models = placed.placed.keys();
        self.expected = models
            .filter(|model| {
                self.is_usually_requested(model, bin, catalog)
                    || self.is_usually_requested(model, soon, catalog)
            })
            .chain(catalog.expected_at(time))
            .cloned()
            .collect();
        ended.map(|_| self.usage_profiles.clone()).filter(|profiles| !profiles.is_empty())
    }

    /// Adds usage profiles that earlier owners stored; a profile that this owner has already
    /// recorded takes precedence.
    pub fn merge_usage_profiles(&mut self, stored: BTreeMap<ModelName, UsageProfile>) {
        for (model, profile) in stored {
            self.usage_profiles.entry(model).or_insert(profile);
        }
    }

    fn update_usage_profiles(&mut self, ended: Bin, placed: &EndpointRow) {
        for model in placed.placed.keys() {
            let was_requested = self.requested_in_bin.contains(model);
            if was_requested || self.usage_profiles.contains_key(model) {
                self.usage_profiles.entry(model.clone()).or_default().record(ended, was_requested);
            }
        }
        self.usage_profiles.retain(|model, _| placed.placed.contains_key(model));
        self.requested_in_bin.clear();
    }

    fn is_usually_requested(&self, model: &ModelName, bin: Bin, catalog: &Catalog) -> bool {
        let profile = self.usage_profiles.get(model);
        profile.zip(catalog.models.get(model)).is_some_and(|(profile, spec)| {
            profile.is_expected(bin, &catalog.keep_price(spec, &self.spec))
        })
    }

    /// Returns the time for which a model stays loaded without a request.
    pub(super) fn keep_ms(&self, model: &ModelName, catalog: &Catalog) -> u64 {
        let Some(spec) = catalog.models.get(model) else { return 0 };
        if self.expected.contains(model) {
            return u64::MAX;
        }
        let price = catalog.keep_price(spec, &self.spec);
        let gaps = self.gaps.get(model).copied().unwrap_or_default();
        gaps.keep_ms(&price).max(spec.load_ms.min(spec.keep_ms))
    }

    /// Returns an idle model for which no other owner can still grant permits.
    pub(super) fn idle_exclusive(&self) -> Option<ModelName> {
        self.idle().map(|(model, _)| model).find(|model| self.exclusive.contains(*model)).cloned()
    }

    /// Returns an idle model that is not placed here any more, or whose keep time is over.
    pub(crate) fn unneeded(
        &self,
        placed: &EndpointRow,
        catalog: &Catalog,
        now_ms: u64,
    ) -> Option<ModelName> {
        let is_kept = |model: &ModelName, resident: &ResidentModel| {
            let keep_ms = self.keep_ms(model, catalog);
            let last_used_ms = self.last_used_ms.get(model).copied().unwrap_or(resident.since_ms);
            placed.is_active(model) && now_ms < last_used_ms.saturating_add(keep_ms)
        };
        self.idle()
            .find(|(model, resident)| !is_kept(model, resident))
            .map(|(model, _)| model.clone())
    }

    /// Returns the idle model that was used least recently, as a candidate for eviction.
    pub(super) fn least_recently_used(&self) -> Option<ModelName> {
        let last_used_ms = |model: &ModelName| self.last_used_ms.get(model).copied().unwrap_or(0);
        self.idle().map(|(model, _)| model).min_by_key(|model| last_used_ms(model)).cloned()
    }

    /// Returns the ready models that no request runs on or waits for.
    fn idle(&self) -> impl Iterator<Item = (&ModelName, &ResidentModel)> {
        let busy = |model: &ModelName| {
            self.inherited_running > 0
                || self.queue.has_waiting_for(model)
                || self.permits.values().any(|permit| permit.model == *model)
        };
        self.resident
            .iter()
            .filter(move |(model, resident)| resident.phase == Phase::Ready && !busy(model))
    }
}
