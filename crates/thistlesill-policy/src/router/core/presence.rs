//! Settings, and the roster of groups derived from the watchers' heartbeats.

use std::collections::BTreeSet;
use std::sync::Arc;

use thistlesill_core::message::{Digest, Heartbeat};
use thistlesill_core::settings::{Context, Tree};
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{Millis, NodeId};

use super::{DEFAULT_PRESENCE_WINDOW, DEFAULT_SLOTS, RouterCore};
use crate::pick::GroupLoad;
use crate::presence::Received;
use crate::router::RouterAction;
use crate::serving::{GroupKey, Server, derive_servers};

impl RouterCore {
    pub(super) fn handle_settings(&mut self, tree: Arc<Tree>) {
        if self
            .tree
            .as_ref()
            .is_some_and(|t| !t.is_older_than(tree.revision()))
        {
            return;
        }
        let context = Context::default()
            .with_region(self.options.region.clone())
            .with_hall(self.options.hall.clone());
        let values = tree.resolve(&context);
        self.presence_window = values
            .presence_ms
            .map_or(DEFAULT_PRESENCE_WINDOW, Millis::new);
        let models = tree.branches().values().filter_map(|b| b.model.clone());
        self.models = models.collect();
        let revision = tree.revision();
        self.tree = Some(tree);
        self.refresh_slots();
        self.note(TimelineEvent::SettingsInForce { revision });
        self.out.push(RouterAction::SendHead(revision));
    }

    pub(super) fn handle_heartbeat(
        &mut self,
        from: &NodeId,
        heartbeat: &Heartbeat,
        lag: i64,
        now: Millis,
    ) {
        match self.view.apply_heartbeat(from, heartbeat, lag, now) {
            Received::Stale => return,
            Received::NeedsDigest => self.out.push(RouterAction::RequestDigest(from.clone())),
            Received::Applied => {}
        }
        for gauge in &heartbeat.gauges {
            let age = self.view.gauge_age(from, gauge, now);
            let servers = self.roster.servers.iter();
            let Some(server) = servers.into_iter().find(|s| *s.leader() == gauge.instance) else {
                continue;
            };
            if let Some(load) = self.loads.get_mut(&server.key) {
                load.apply_report(gauge.pressure, age, now);
                load.apply_cache_events(&gauge.cache, now);
            }
        }
        if !heartbeat.changed.is_empty() {
            self.update_roster(now);
        }
        self.send_waiting(now);
    }

    pub(super) fn handle_digest(&mut self, from: &NodeId, part: &Digest, lag: i64, now: Millis) {
        if self.view.apply_digest(from, part, lag, now) == Received::Applied {
            self.update_roster(now);
            self.send_waiting(now);
        }
    }

    pub(super) fn update_roster(&mut self, now: Millis) {
        let roster = derive_servers(&self.view, now, self.presence_window);
        let old: BTreeSet<GroupKey> = self.roster.servers.iter().map(|s| s.key.clone()).collect();
        let new: BTreeSet<GroupKey> = roster.servers.iter().map(|s| s.key.clone()).collect();
        for key in new.difference(&old) {
            self.note(TimelineEvent::GroupComplete {
                group: key.group.clone(),
                epoch: key.epoch,
            });
        }
        for key in old.difference(&new) {
            self.note(TimelineEvent::GroupBroken {
                group: key.group.clone(),
                epoch: key.epoch,
            });
        }
        for server in &roster.servers {
            if !self.loads.contains_key(&server.key) {
                let slots = self.slots_of(server);
                self.loads.insert(server.key.clone(), GroupLoad::new(slots));
            }
        }
        self.loads
            .retain(|key, load| new.contains(key) || load.running() > 0);
        self.roster = roster;
        self.derived_at = Some(now);
        self.derived_generation = self.view.generation();
    }

    /// Returns the number of requests that a server may run at a time, from the settings of its
    /// hall, domain and generation.
    pub(super) fn slots_of(&self, server: &Server) -> u32 {
        let Some(tree) = &self.tree else {
            return DEFAULT_SLOTS;
        };
        let place = Context {
            region: Some(self.options.region.clone()),
            hall: Some(server.hall.clone()),
            domain: Some(server.domain.clone()),
            generation: Some(server.generation.clone()),
            customer: None,
        };
        tree.resolve(&place).slots.unwrap_or(DEFAULT_SLOTS)
    }

    pub(super) fn refresh_slots(&mut self) {
        let servers = self.roster.servers.iter();
        let slots: Vec<(GroupKey, u32)> =
            servers.map(|s| (s.key.clone(), self.slots_of(s))).collect();
        for (key, slots) in slots {
            if let Some(load) = self.loads.get_mut(&key) {
                load.set_slots(slots);
            }
        }
    }
}
