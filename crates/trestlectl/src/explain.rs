//! Explains the placement of a model.

use crate::{error::Result, output, status};

/// Prints each placement of a model as its owner reports it: the endpoint, the state of the model
/// there, and the owner.
pub(crate) async fn print(model: &str, daemons: &[String], token: Option<&str>) -> Result<()> {
    let mut is_known = false;
    for daemon in status::fetch_all(daemons, token).await? {
        let owned = daemon.endpoints.iter().filter(|(_, state)| state.role == "owner");
        for (endpoint, state) in owned {
            let Some(placed) = state.placed.get(model) else { continue };
            is_known = true;
            let held = state.held.get(model).map_or("not loaded", String::as_str);
            output::line(&format!(
                "{model} at {endpoint}: placement {placed}, {held}; owner {} with rank {}, \
                 {} permits out, {} waiting{}",
                daemon.vm,
                state.rank,
                state.permits_out,
                state.waiting,
                if state.confirmed { "" } else { ", owner not confirmed by the endpoint yet" },
            ));
        }
    }
    if !is_known {
        output::line(&format!(
            "{model}: no owner among these daemons has it placed; it is not declared, no engine \
             has room for it, or its owners were not named with --daemon"
        ));
    }
    Ok(())
}
