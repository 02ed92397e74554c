//! Polls the platform's list of VMs.

use crate::daemon::Daemon;
use smol::Timer;
use std::{sync::Arc, time::Duration};
use trestle_core::event::{Event, VmState};

/// Polls the list until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let interval = Duration::from_millis(daemon.settings.intervals.vm_list_ms);
    loop {
        match daemon.platform.vms().await {
            Ok(vms) => {
                let draining = vms.iter().filter(|(_, state)| **state == VmState::Draining);
                let draining = draining.map(|(name, _)| name.clone()).collect();
                daemon.change_routing(|routing| routing.draining = draining);
                daemon.send_event(Event::VmList(vms));
            }
            Err(error) => tracing::debug!("platform: The list of VMs cannot be read: {error}."),
        }
        Timer::after(interval).await;
    }
}
