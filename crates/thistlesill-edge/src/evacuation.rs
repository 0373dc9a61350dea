//! Applies which data centres are evacuated.

use thistlesill_core::edge::Evacuations;
use thistlesill_platform::store::{Content, Rows, evacuated_hall};
use thistlesill_policy::edge::evacuation::{EvacuationChange, EvacuationTable, HallEntry};

use crate::limits;
use crate::state::Edge;

/// Applies what the store answered about the operators' rows, all of them if `snapshot`.
pub(crate) fn apply_rows(edge: &Edge, rows: &Rows, snapshot: bool) {
    let listed = rows.rows.iter().filter_map(|row| {
        let hall = evacuated_hall(&row.key)?;
        // The operators wrote the row, whatever it holds.
        let evacuated = row.value != Content::Gone;
        Some(HallEntry { hall, evacuated })
    });
    let listed: Vec<HallEntry> = listed.collect();
    let changes = {
        let mut table = edge.evacuations.borrow_mut();
        if snapshot {
            table.replace(EvacuationTable::snapshot(&listed, rows.version))
        } else {
            table.apply(&listed, rows.version)
        }
    };
    apply(edge, &changes);
}

/// Applies the list as a peer knows it.
pub(crate) fn replace(edge: &Edge, list: Evacuations) {
    let changes = edge.evacuations.borrow_mut().replace(list);
    apply(edge, &changes);
}

/// Puts changes of the list into force.
fn apply(edge: &Edge, changes: &[EvacuationChange]) {
    if changes.is_empty() {
        return;
    }
    let table = edge.evacuations.borrow();
    let known = table.known();
    for change in changes {
        let (event, hall) = match change {
            EvacuationChange::Begun(hall) => ("evacuation_begun", hall),
            EvacuationChange::Ended(hall) => {
                limits::limit_restored_hall(edge, hall);
                ("evacuation_ended", hall)
            }
        };
        let line = edge.lines.line(event).with("hall", hall);
        line.with("version", known.version).write();
    }
    metrics::gauge!("thistlesill_edge_evacuated_halls").set(known.halls.len() as f64);
    let catalog = edge.catalog();
    edge.registry
        .borrow_mut()
        .evacuate(&known.halls, catalog.as_deref());
    edge.fleet_changed.notify_one();
}
