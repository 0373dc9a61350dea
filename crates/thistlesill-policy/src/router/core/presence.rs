//! What the router knows of settings and groups.

use std::collections::BTreeSet;
use std::sync::Arc;

use thistlesill_core::message::{Digest, Heartbeat};
use thistlesill_core::settings::{Context, Tree};
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{Millis, NodeId};

use super::{PRESENCE, RouterCore, SLOTS};
use crate::pick::GroupLoad;
use crate::presence::Received;
use crate::router::RouterAction;
use crate::serving::{GroupKey, Server, derive_servers};

impl RouterCore {
    pub(super) fn settings(&mut self, tree: Arc<Tree>) {
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
        self.window = values.presence_ms.map_or(PRESENCE, Millis::new);
        let models = tree.branches().values().filter_map(|b| b.model.clone());
        self.models = models.collect();
        let revision = tree.revision();
        self.tree = Some(tree);
        self.refresh_slots();
        self.note(TimelineEvent::SettingsInForce { revision });
        self.out.push(RouterAction::TellHead(revision));
    }

    pub(super) fn beat(&mut self, from: &NodeId, beat: &Heartbeat, lag: i64, now: Millis) {
        match self.view.apply_heartbeat(from, beat, lag, now) {
            Received::Stale => return,
            Received::NeedsDigest => self.out.push(RouterAction::AskDigest(from.clone())),
            Received::Applied => {}
        }
        for gauge in &beat.gauges {
            let age = self.view.gauge_age(from, gauge, now);
            let servers = self.roster.servers.iter();
            let Some(server) = servers.into_iter().find(|s| *s.leader() == gauge.instance) else {
                continue;
            };
            if let Some(load) = self.loads.get_mut(&server.key) {
                load.report(gauge.pressure, age, now);
                load.learn_prefixes(&gauge.cache, now);
            }
        }
        if !beat.changed.is_empty() {
            self.derive(now);
        }
        self.pump(now);
    }

    pub(super) fn digest(&mut self, from: &NodeId, part: &Digest, lag: i64, now: Millis) {
        if self.view.apply_digest(from, part, lag, now) == Received::Applied {
            self.derive(now);
            self.pump(now);
        }
    }

    pub(super) fn derive(&mut self, now: Millis) {
        let roster = derive_servers(&self.view, now, self.window);
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
        self.derived = Some(now);
        self.derived_from = self.view.generation();
    }

    /// Requests that a server may run at a time, by the settings of its
    /// place.
    pub(super) fn slots_of(&self, server: &Server) -> u32 {
        let Some(tree) = &self.tree else { return SLOTS };
        let place = Context {
            region: Some(self.options.region.clone()),
            hall: Some(server.hall.clone()),
            domain: Some(server.domain.clone()),
            generation: Some(server.generation.clone()),
            customer: None,
        };
        tree.resolve(&place).slots.unwrap_or(SLOTS)
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
