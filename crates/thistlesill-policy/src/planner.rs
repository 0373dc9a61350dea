//! The logic of the planner daemon: which targets to watch, what to send to peers, and the plans of
//! the halls.

mod message;

use std::collections::BTreeMap;
use std::sync::Arc;

use thistlesill_core::chart::ChartError;
use thistlesill_core::report::ListedInstance;
use thistlesill_core::settings::{Context, Tree};
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{HallId, Millis, NodeId};

use crate::charts::Charts;
use crate::lease::LeasePeriods;
use crate::plan::{HallInfo, HallPlanner, PlanAction, PlanEvent, PlanOptions};
use crate::presence::{Observed, Received, View, Watch, WatchPeriods, Watcher, share};

pub use self::message::{InstanceInfo, PlannerAction, PlannerEvent, PlannerOptions, PlannerStatus};

/// How long a report of a target counts, unless the settings say otherwise.
const DEFAULT_PRESENCE_WINDOW: Millis = Millis::new(4_000);
/// How long a planner may send no heartbeat before it counts as dead.
const PLANNER_TIMEOUT: Millis = Millis::new(2_500);
/// How long a watcher that sends nothing is kept in the view.
const WATCHER_RETENTION: Millis = Millis::new(60_000);
/// The interval between messages about the head of the settings. Another one is sent at once when a
/// revision comes into force.
const HEAD_INTERVAL: Millis = Millis::new(2_000);
/// How much earlier the holder of a lease stops using it than others may take it over.
const LEASE_MARGIN: Millis = Millis::new(1_500);

/// The state of a planner.
#[derive(Debug, Clone)]
pub struct PlannerCore {
    options: PlannerOptions,
    charts: Charts,
    tree: Option<Arc<Tree>>,
    listed: Vec<ListedInstance>,
    watch: Watch,
    view: View,
    halls: BTreeMap<HallId, HallPlanner>,
    assigned: Vec<Watcher>,
    reassign: bool,
    last_heartbeat: Option<Millis>,
    last_plan: Option<Millis>,
    last_head_sent: Millis,
    stopping: bool,
    out: Vec<PlannerAction>,
}

impl PlannerCore {
    /// Creates a planner without settings, targets or leases.
    ///
    /// # Errors
    ///
    /// Returns a [`ChartError`] if a state chart does not pass its check.
    pub fn new(options: PlannerOptions) -> Result<Self, ChartError> {
        Ok(Self {
            charts: Charts::load()?,
            tree: None,
            listed: Vec::new(),
            watch: Watch::new(options.run, WatchPeriods::new(options.probe_interval)),
            view: View::new(),
            halls: BTreeMap::new(),
            assigned: Vec::new(),
            reassign: false,
            last_heartbeat: None,
            last_plan: None,
            last_head_sent: Millis::ZERO,
            stopping: false,
            out: Vec::new(),
            options,
        })
    }

    /// Returns the settings in force, if any have been received.
    pub const fn tree(&self) -> Option<&Arc<Tree>> {
        self.tree.as_ref()
    }

    /// Returns whether the planner has settings and is not stopping.
    pub const fn is_ready(&self) -> bool {
        self.tree.is_some() && !self.stopping
    }

    /// Returns the view of all targets.
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// Returns the planner's figures for operators.
    pub fn status(&self, now: Millis) -> PlannerStatus {
        let held = self.halls.iter().filter(|(_, h)| h.term(now).is_some());
        PlannerStatus {
            revision: self.tree.as_ref().map_or(0, |t| t.revision()),
            listed: self.listed.len(),
            watched: self.watch.len(),
            holds: held.map(|(hall, _)| hall.clone()).collect(),
        }
    }

    /// Returns the plans of all halls for operators.
    pub fn halls(&self, now: Millis) -> Vec<HallInfo> {
        self.halls.values().map(|h| h.info(now)).collect()
    }

    /// Returns the instances that any watcher knows, for operators.
    pub fn instances(&self, now: Millis) -> Vec<InstanceInfo> {
        let all = self.view.observe_all(now, self.window());
        let info = |seen: Observed| InstanceInfo {
            fresh: seen.until > now,
            seen: (*seen.sighting).clone(),
        };
        all.into_values().map(info).collect()
    }

    /// Handles an event at `now` and returns the actions to take.
    pub fn step(&mut self, event: PlannerEvent, now: Millis) -> Vec<PlannerAction> {
        match event {
            PlannerEvent::Listed(listed) => self.list(listed),
            PlannerEvent::Reported { report, started } => {
                self.watch.record_report(*report, started, now);
            }
            PlannerEvent::Heartbeat {
                from,
                heartbeat,
                lag,
            } => {
                let received = self.view.apply_heartbeat(&from, &heartbeat, lag, now);
                self.request_missed(received, from);
            }
            PlannerEvent::Digest { from, part, lag } => {
                self.view.apply_digest(&from, &part, lag, now);
            }
            PlannerEvent::DigestRequested(to) => {
                let parts = self.watch.digest(now);
                self.out.push(PlannerAction::SendDigest { to, parts });
            }
            PlannerEvent::Settings(tree) => self.settings(tree),
            PlannerEvent::TxnDone {
                hall,
                flight,
                result,
            } => self.plan_step(&hall, PlanEvent::TxnDone { flight, result }, now),
            PlannerEvent::RowsRead { hall, flight, rows } => {
                self.plan_step(&hall, PlanEvent::RowsRead { flight, rows }, now);
            }
            PlannerEvent::Answered {
                hall,
                instance,
                fence,
                reply,
            } => {
                let event = PlanEvent::Answered {
                    instance,
                    fence,
                    reply,
                };
                self.plan_step(&hall, event, now);
            }
            PlannerEvent::Stop => self.stop(now),
            PlannerEvent::Tick => self.tick(now),
        }
        std::mem::take(&mut self.out)
    }

    fn request_missed(&mut self, received: Received, from: NodeId) {
        if received == Received::NeedsDigest {
            self.out.push(PlannerAction::RequestDigest(from));
        }
    }

    fn settings(&mut self, tree: Arc<Tree>) {
        if self
            .tree
            .as_ref()
            .is_some_and(|t| !t.is_older_than(tree.revision()))
        {
            return;
        }
        let revision = tree.revision();
        self.tree = Some(tree);
        let note = TimelineEvent::SettingsInForce { revision };
        self.out.push(PlannerAction::Note(note));
        self.out.push(PlannerAction::SendHead(revision));
    }

    /// Replaces the list of instances. An empty list after one with instances is ignored, because
    /// the platform returns one when it has lost track of all instances.
    fn list(&mut self, listed: Vec<ListedInstance>) {
        if listed.is_empty() && !self.listed.is_empty() {
            return;
        }
        let region = &self.options.region;
        let ours: Vec<ListedInstance> =
            listed.into_iter().filter(|l| l.region == *region).collect();
        for entry in &ours {
            if !self.halls.contains_key(&entry.hall) {
                let planner = self.hall_planner(&entry.hall);
                self.halls.insert(entry.hall.clone(), planner);
            }
        }
        if ours != self.listed {
            self.listed = ours;
            self.reassign = true;
        }
    }

    fn hall_planner(&self, hall: &HallId) -> HallPlanner {
        let is_own_hall = *hall == self.options.hall;
        let grace = if is_own_hall {
            Millis::ZERO
        } else {
            self.options.lease_length
        };
        let options = PlanOptions {
            name: self.options.name.clone(),
            region: self.options.region.clone(),
            hall: hall.clone(),
            lease: LeasePeriods {
                renew: self.options.renew_interval,
                length: self.options.lease_length,
                margin: LEASE_MARGIN,
                grace,
            },
            strategy: self.options.strategy,
        };
        HallPlanner::new(options, &self.charts)
    }

    fn window(&self) -> Millis {
        let Some(tree) = &self.tree else {
            return DEFAULT_PRESENCE_WINDOW;
        };
        let context = Context::default()
            .with_region(self.options.region.clone())
            .with_hall(self.options.hall.clone());
        let values = tree.resolve(&context);
        values
            .presence_ms
            .map_or(DEFAULT_PRESENCE_WINDOW, Millis::new)
    }

    fn plan_step(&mut self, hall: &HallId, event: PlanEvent, now: Millis) {
        let Some(planner) = self.halls.get_mut(hall) else {
            return;
        };
        let actions = planner.step(event, now);
        self.plan_actions(hall, actions);
    }

    fn plan_actions(&mut self, hall: &HallId, actions: Vec<PlanAction>) {
        for action in actions {
            let hall = hall.clone();
            self.out.push(match action {
                PlanAction::SendTxn { flight, txn } => PlannerAction::SendTxn { hall, flight, txn },
                PlanAction::Read { flight, prefixes } => PlannerAction::Read {
                    hall,
                    flight,
                    prefixes,
                },
                PlanAction::SendOrder { order, address } => PlannerAction::SendOrder {
                    hall,
                    order,
                    address,
                },
                PlanAction::Note(what) => PlannerAction::Note(what),
            });
        }
    }

    fn tick(&mut self, now: Millis) {
        self.assign(now);
        let due = self.watch.due(now);
        let probes = due.into_iter().map(|(_, at)| PlannerAction::Probe(at));
        self.out.extend(probes);
        if self
            .last_heartbeat
            .is_none_or(|t| now - t >= self.options.heartbeat_interval)
        {
            self.last_heartbeat = Some(now);
            self.send_heartbeat(now);
        }
        if self
            .last_plan
            .is_none_or(|t| now - t >= self.options.plan_interval)
        {
            self.last_plan = Some(now);
            self.update_plans(now);
        }
        self.send_head(now);
    }

    fn assign(&mut self, now: Millis) {
        let alive = self.alive(now);
        if alive == self.assigned && !self.reassign {
            return;
        }
        let own_share = share(&self.options.name, &alive, &self.listed);
        self.watch.assign(&own_share, now);
        self.assigned = alive;
        self.reassign = false;
    }

    /// Returns the planners that are alive, including this one.
    fn alive(&self, now: Millis) -> Vec<Watcher> {
        let heartbeating = self.view.alive(now, PLANNER_TIMEOUT);
        let others = self.options.planners.iter();
        let mut alive: Vec<Watcher> = others
            .filter(|w| heartbeating.contains(&w.name))
            .cloned()
            .collect();
        alive.push(Watcher {
            name: self.options.name.clone(),
            hall: self.options.hall.clone(),
        });
        alive
    }

    fn send_heartbeat(&mut self, now: Millis) {
        let heartbeat = self.watch.next_heartbeat(now);
        let received = self
            .view
            .apply_heartbeat(&self.options.name, &heartbeat, 0, now);
        if received == Received::NeedsDigest {
            for part in self.watch.digest(now) {
                self.view.apply_digest(&self.options.name, &part, 0, now);
            }
        }
        self.out.push(PlannerAction::SendHeartbeat(heartbeat));
        self.view.forget(now, WATCHER_RETENTION);
    }

    fn update_plans(&mut self, now: Millis) {
        if self.stopping {
            return;
        }
        let window = self.window();
        let halls: Vec<HallId> = self.halls.keys().cloned().collect();
        for hall in halls {
            let Some(planner) = self.halls.get_mut(&hall) else {
                continue;
            };
            let actions = planner.tick(&self.view, window, self.tree.as_ref(), now);
            self.plan_actions(&hall, actions);
        }
    }

    fn send_head(&mut self, now: Millis) {
        let Some(tree) = &self.tree else { return };
        if now - self.last_head_sent >= HEAD_INTERVAL {
            self.last_head_sent = now;
            let revision = tree.revision();
            self.out.push(PlannerAction::SendHead(revision));
        }
    }

    /// Gives up all leases, so that other planners need not wait for them to run out.
    fn stop(&mut self, now: Millis) {
        self.stopping = true;
        self.out.push(PlannerAction::Note(TimelineEvent::Stopping));
        let halls: Vec<HallId> = self.halls.keys().cloned().collect();
        for hall in halls {
            let Some(planner) = self.halls.get_mut(&hall) else {
                continue;
            };
            let actions = planner.release(now);
            self.plan_actions(&hall, actions);
        }
        self.out.push(PlannerAction::Exit);
    }
}
