//! Which models are kept loaded, and which can go.

use super::{Held, OwnedEndpoint};
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
    /// Counts the gap that a request ends.
    ///
    /// A model is always kept for as long as it takes to load, so shorter gaps
    /// decide nothing.
    pub(super) fn note_gap(&mut self, model: &ModelName, load_ms: u64, now_ms: u64) {
        let Some(used_ms) = self.used_ms.get(model) else { return };
        let gap_ms = now_ms.saturating_sub(*used_ms);
        if gap_ms > load_ms {
            self.gaps.entry(model.clone()).or_default().note(gap_ms);
        }
    }

    /// Learns from a bin that is over, and sees what is expected now or soon.
    ///
    /// Returns the habits if they have changed and should be kept.
    pub fn on_clock(
        &mut self,
        time: CivilTime,
        placed: &EndpointRow,
        catalog: &Catalog,
    ) -> Option<BTreeMap<ModelName, UsageProfile>> {
        let bin = Bin::of(time);
        let ended = self.bin.replace(bin).filter(|ended| *ended != bin);
        if let Some(ended) = ended {
            self.learn(ended, placed);
        }
        let soon = Bin::of(time.later(LEAD_MINUTES));
        let models = placed.placed.keys();
        self.expected = models
            .filter(|model| {
                self.is_habitual(model, bin, catalog) || self.is_habitual(model, soon, catalog)
            })
            .chain(catalog.expected_at(time))
            .cloned()
            .collect();
        ended.map(|_| self.habits.clone()).filter(|habits| !habits.is_empty())
    }

    /// Takes what earlier owners have kept; what was learnt here since goes first.
    pub fn take_habits(&mut self, kept: BTreeMap<ModelName, UsageProfile>) {
        for (model, habits) in kept {
            self.habits.entry(model).or_insert(habits);
        }
    }

    fn learn(&mut self, ended: Bin, placed: &EndpointRow) {
        for model in placed.placed.keys() {
            let came = self.came.contains(model);
            if came || self.habits.contains_key(model) {
                self.habits.entry(model.clone()).or_default().note(ended, came);
            }
        }
        self.habits.retain(|model, _| placed.placed.contains_key(model));
        self.came.clear();
    }

    fn is_habitual(&self, model: &ModelName, bin: Bin, catalog: &Catalog) -> bool {
        let habits = self.habits.get(model);
        habits.zip(catalog.models.get(model)).is_some_and(|(habits, spec)| {
            habits.is_expected(bin, &catalog.keep_price(spec, &self.spec))
        })
    }

    /// Time for which a model is kept without a request.
    pub(super) fn keep_ms(&self, model: &ModelName, catalog: &Catalog) -> u64 {
        let Some(spec) = catalog.models.get(model) else { return 0 };
        if self.expected.contains(model) {
            return u64::MAX;
        }
        let price = catalog.keep_price(spec, &self.spec);
        let gaps = self.gaps.get(model).copied().unwrap_or_default();
        gaps.keep_ms(&price).max(spec.load_ms.min(spec.keep_ms))
    }

    /// An idle model that no other owner can give permits for any more.
    pub(super) fn idle_released(&self) -> Option<ModelName> {
        self.idle().map(|(model, _)| model).find(|model| self.released.contains(*model)).cloned()
    }

    /// A ready model that is not placed here any more, or that nobody has asked for in a while.
    pub(crate) fn unneeded(
        &self,
        placed: &EndpointRow,
        catalog: &Catalog,
        now_ms: u64,
    ) -> Option<ModelName> {
        let is_kept = |model: &ModelName, held: &Held| {
            let keep_ms = self.keep_ms(model, catalog);
            let used_ms = self.used_ms.get(model).copied().unwrap_or(held.since_ms);
            placed.is_active(model) && now_ms < used_ms.saturating_add(keep_ms)
        };
        self.idle().find(|(model, held)| !is_kept(model, held)).map(|(model, _)| model.clone())
    }

    /// The ready model that was used least recently, to make room.
    pub(super) fn victim(&self) -> Option<ModelName> {
        let used_ms = |model: &ModelName| self.used_ms.get(model).copied().unwrap_or(0);
        self.idle().map(|(model, _)| model).min_by_key(|model| used_ms(model)).cloned()
    }

    /// Ready models that no request runs on or waits for.
    fn idle(&self) -> impl Iterator<Item = (&ModelName, &Held)> {
        let busy = |model: &ModelName| {
            self.foreign_running > 0
                || self.queue.wants(model)
                || self.permits.values().any(|permit| permit.model == *model)
        };
        self.held.iter().filter(move |(model, held)| held.phase == Phase::Ready && !busy(model))
    }
}
