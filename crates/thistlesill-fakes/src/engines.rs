//! Model engines that carry out orders to form groups, in virtual time.
//!
//! They check the rules that a fleet planner must never break and record each breach: a member
//! joins another group while the leader of its old one serves, a leader opens before all
//! members are ready, an epoch is used twice, or a restarted instance joins another group while
//! the leader of its previous incarnation's group serves.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};

use thistlesill_core::edge::{
    Engine, GroupRef, Incarnation, MemberState, Membership, ModelPlan, Order, OrderReply, Target,
    TargetId,
};
use thistlesill_core::{InstanceId, Millis, Model};

/// Durations of the engines' operations, in virtual time.
#[derive(Debug, Clone, Copy)]
pub struct EngineTimes {
    /// Loading weights that are not staged on the host.
    pub load: Millis,
    /// Loading weights that are staged on the host.
    pub staged_load: Millis,
    /// Joining a group with the model that is already in memory.
    pub reuse: Millis,
    /// Time after which a leader without one of its members is broken.
    pub stall_timeout: Millis,
    /// Time from the order to open until the leader serves.
    pub open: Millis,
}

impl Default for EngineTimes {
    fn default() -> Self {
        Self {
            load: Millis::new(16_000),
            staged_load: Millis::new(1_600),
            reuse: Millis::new(200),
            stall_timeout: Millis::new(5_000),
            open: Millis::new(300),
        }
    }
}

/// Returns the performance figures of engines that run a model with four members per group and
/// one with two.
pub fn engine() -> Engine {
    let plan = |model: &str, size, share, pace| ModelPlan {
        model: model.into(),
        size,
        share,
        pace,
    };
    Engine {
        slots: 26,
        step: 6.0,
        step_each: 0.24,
        read_rate: 46_000.0,
        stride: 5,
        loads_rate: 4.0,
        concurrent_loads: 6,
        models: vec![plan("large", 4, 0.67, 1.0), plan("small", 2, 0.33, 0.6)],
        mean_answer: 116.0,
    }
}

#[derive(Debug, Clone)]
struct FakeEngine {
    target: Target,
    alive: bool,
    listed: bool,
    loaded: Option<Model>,
    /// Highest epoch of all orders to join.
    epoch: u64,
    /// Orders carried out by the current incarnation.
    orders_taken: u64,
    members: Vec<InstanceId>,
    /// The group of the previous incarnation.
    previous_group: Option<GroupRef>,
    joining: Option<(Model, Millis)>,
    opening: Option<Millis>,
    staging: Option<(Model, Millis)>,
    /// When the leader first lacked a member.
    stalled_since: Option<Millis>,
}

impl FakeEngine {
    /// Creates an engine that has just started and is listed.
    const fn new(target: Target) -> Self {
        Self {
            target,
            alive: true,
            listed: true,
            loaded: None,
            epoch: 0,
            orders_taken: 0,
            members: Vec::new(),
            previous_group: None,
            joining: None,
            opening: None,
            staging: None,
            stalled_since: None,
        }
    }
}

/// The engines of one service.
#[derive(Debug, Clone, Default)]
pub struct Engines {
    by_instance: BTreeMap<InstanceId, FakeEngine>,
    member_lists: HashMap<GroupRef, Vec<InstanceId>>,
    /// Members that have reported ready, per group.
    ready: HashSet<(GroupRef, InstanceId)>,
    /// Durations of the engines' operations; may be changed at any time.
    pub times: EngineTimes,
    /// A description of each rule that an order broke.
    pub breaches: Vec<String>,
}

impl Engines {
    /// Creates eight engines in each of `domains` domains.
    pub fn new(domains: usize) -> Self {
        let mut engines = Self::default();
        for i in 0..domains * 8 {
            engines.add(i);
        }
        engines
    }

    /// Adds the engine `i-<number>` and returns its ID. Eight consecutive numbers share a domain.
    pub fn add(&mut self, number: usize) -> TargetId {
        let id = TargetId::from(format!("i-{number:03}"));
        let address = SocketAddr::from((Ipv4Addr::new(10, 0, 0, number as u8), 80));
        let target = Target {
            id: id.clone(),
            service: "pool".into(),
            address,
            hall: "h".into(),
            slots: 26,
            leaving: false,
            warmup: Millis::ZERO,
            domain: Some(format!("d-{}", number / 8).into()),
            staged: Vec::new(),
            member: None,
        };
        let engine = FakeEngine::new(target);
        self.by_instance.insert(id.instance().clone(), engine);
        id
    }

    /// Returns the listed targets as the store's list shows them.
    pub fn listed(&self) -> HashMap<TargetId, Target> {
        let listed = self.by_instance.values().filter(|e| e.listed);
        listed
            .map(|e| (e.target.id.clone(), e.target.clone()))
            .collect()
    }

    /// Whether an engine leads an open group that has all its members.
    pub fn leads_complete_group(&self, id: &TargetId) -> bool {
        let leads = self
            .by_instance
            .get(id.instance())
            .is_some_and(|e| e.alive && e.target.is_open_leader());
        leads && !self.lacks_member(id)
    }

    /// Changes the address of an engine.
    pub fn set_address(&mut self, id: &TargetId, address: SocketAddr) {
        if let Some(engine) = self.by_instance.get_mut(id.instance()) {
            engine.target.address = address;
        }
    }

    /// Changes the data centre that an engine announces as its own.
    pub fn set_hall(&mut self, id: &TargetId, hall: &str) {
        if let Some(engine) = self.by_instance.get_mut(id.instance()) {
            engine.target.hall = hall.into();
        }
    }

    /// Whether an engine answers; also false for unknown ones.
    pub fn is_alive(&self, id: &TargetId) -> bool {
        self.by_instance.get(id.instance()).is_some_and(|e| e.alive)
    }

    /// Returns the leaders of open groups, each with the members of its group.
    pub fn serving(&self) -> Vec<(TargetId, Vec<TargetId>)> {
        let open = self
            .by_instance
            .values()
            .filter(|e| e.alive && e.target.is_open_leader());
        open.map(|e| (e.target.id.clone(), self.current_ids(&e.members)))
            .collect()
    }

    /// Returns the current incarnations of some instances.
    fn current_ids(&self, instances: &[InstanceId]) -> Vec<TargetId> {
        let engines = instances.iter().filter_map(|id| self.by_instance.get(id));
        engines.map(|e| e.target.id.clone()).collect()
    }

    /// Returns the open leaders that lack a member or do not answer.
    pub fn stalled(&self) -> HashSet<TargetId> {
        let open = self
            .by_instance
            .values()
            .filter(|e| e.target.is_open_leader());
        let stalled = open.filter(|e| e.stalled_since.is_some() || !e.alive);
        stalled.map(|e| e.target.id.clone()).collect()
    }

    /// Stops an engine from answering, for good unless it is restarted. It stays listed until
    /// [`Self::unlist`].
    pub fn kill(&mut self, id: &TargetId) {
        if let Some(engine) = self.by_instance.get_mut(id.instance()) {
            engine.alive = false;
        }
    }

    /// Restarts an engine as the incarnation `born` and returns its new ID. Weights that are
    /// staged on its host remain; weights in memory, the membership and orders in progress are
    /// lost.
    pub fn restart(&mut self, id: &TargetId, born: Incarnation) -> Option<TargetId> {
        let engine = self.by_instance.get_mut(id.instance())?;
        let mut target = engine.target.clone();
        let previous_group = target.member.take().map(|m| m.of);
        target.id = TargetId::new(id.instance().clone(), born);
        target.leaving = false;
        let id = target.id.clone();
        *engine = FakeEngine {
            previous_group,
            ..FakeEngine::new(target)
        };
        Some(id)
    }

    /// Returns the ID of an engine's current incarnation.
    pub fn incarnation(&self, id: &TargetId) -> Option<TargetId> {
        self.by_instance
            .get(id.instance())
            .map(|e| e.target.id.clone())
    }

    /// Removes an engine from the list, whether it answers or not.
    pub fn unlist(&mut self, id: &TargetId) {
        if let Some(engine) = self.by_instance.get_mut(id.instance()) {
            engine.listed = false;
        }
    }

    /// Adds an engine to the list again.
    pub fn relist(&mut self, id: &TargetId) {
        if let Some(engine) = self.by_instance.get_mut(id.instance()) {
            engine.listed = true;
        }
    }

    /// Makes an engine announce that it is leaving.
    pub fn leave(&mut self, id: &TargetId) {
        if let Some(engine) = self.by_instance.get_mut(id.instance()) {
            engine.target.leaving = true;
        }
    }

    /// Has an engine's entry show a membership that no order caused.
    pub fn ascribe(&mut self, id: &TargetId, member: Membership) {
        if let Some(engine) = self.by_instance.get_mut(id.instance()) {
            engine.target.member = Some(member);
        }
    }

    /// Advances all engines to `now`.
    pub fn advance(&mut self, now: Millis) {
        let ids: Vec<TargetId> = self
            .by_instance
            .values()
            .map(|e| e.target.id.clone())
            .collect();
        for id in ids {
            self.advance_one(&id, now);
        }
    }

    fn advance_one(&mut self, id: &TargetId, now: Millis) {
        let incomplete = self.lacks_member(id);
        let Some(engine) = self.by_instance.get_mut(id.instance()).filter(|e| e.alive) else {
            return;
        };
        if let Some((model, _)) = engine.staging.take_if(|(_, at)| *at <= now) {
            engine.target.staged = vec![model];
        }
        let Some(member) = &mut engine.target.member else {
            return;
        };
        if let Some((model, _)) = engine.joining.take_if(|(_, at)| *at <= now) {
            member.state = MemberState::Ready;
            member.model = Some(model.clone());
            engine.loaded = Some(model.clone());
            engine.target.staged = vec![model];
            self.ready
                .insert((member.of.clone(), id.instance().clone()));
        }
        if engine.opening.take_if(|at| *at <= now).is_some() {
            member.state = MemberState::Open;
        }
        if member.state != MemberState::Open || !incomplete {
            engine.stalled_since = None;
            return;
        }
        let since = *engine.stalled_since.get_or_insert(now);
        if now - since >= self.times.stall_timeout {
            member.state = MemberState::Broken;
        }
    }

    /// Whether a member of a leader's group does not answer or has left the group.
    fn lacks_member(&self, id: &TargetId) -> bool {
        let Some(leader) = self.by_instance.get(id.instance()) else {
            return false;
        };
        let Some(group) = leader.target.member.as_ref().map(|m| &m.of) else {
            return false;
        };
        leader.members.iter().any(|id| {
            let member = self.by_instance.get(id).filter(|e| e.alive);
            let of = member.and_then(|e| e.target.member.as_ref()).map(|m| &m.of);
            of != Some(group)
        })
    }

    /// Sends an order to an engine and returns the engine's reply.
    pub fn order(&mut self, id: &TargetId, order: &Order, now: Millis) -> OrderReply {
        if !self.is_alive(id) {
            return OrderReply::Unknown;
        }
        let reply = self.apply_order(id, order, now);
        if reply == OrderReply::Begun
            && let Some(engine) = self.by_instance.get_mut(id.instance())
        {
            engine.orders_taken += 1;
        }
        reply
    }

    /// Returns how many orders an engine's current incarnation has carried out.
    pub fn orders_taken(&self, id: &TargetId) -> u64 {
        self.by_instance
            .get(id.instance())
            .map_or(0, |e| e.orders_taken)
    }

    fn apply_order(&mut self, id: &TargetId, order: &Order, now: Millis) -> OrderReply {
        match order {
            Order::Join { orders_taken, .. } if *orders_taken != self.orders_taken(id) => {
                OrderReply::Unfit
            }
            Order::Join {
                to, model, members, ..
            } => self.join(id, to, model, members, now),
            Order::Open(group) => self.open(id, group, now),
            Order::Cut(group) | Order::Close(group) => self.close(id, group),
            Order::Leave(group) => self.leave_group(id, group),
            Order::Stage(model) => {
                let Some(engine) = self.by_instance.get_mut(id.instance()) else {
                    return OrderReply::Unknown;
                };
                engine.staging = Some((model.clone(), now + self.times.load));
                OrderReply::Begun
            }
        }
    }

    fn join(
        &mut self,
        id: &TargetId,
        to: &GroupRef,
        model: &Model,
        members: &[TargetId],
        now: Millis,
    ) -> OrderReply {
        let members: Vec<InstanceId> = members.iter().map(|m| m.instance().clone()).collect();
        let list = self
            .member_lists
            .entry(to.clone())
            .or_insert_with(|| members.clone());
        if *list != members {
            self.breaches
                .push(format!("{} has two member lists", to.group));
        }
        let Some(engine) = self.by_instance.get(id.instance()) else {
            return OrderReply::Unknown;
        };
        let old = engine.target.member.as_ref().map(|m| m.of.clone());
        let old = old.or_else(|| engine.previous_group.clone().filter(|group| group != to));
        if old.as_ref() == Some(to) {
            return OrderReply::Held;
        }
        if to.epoch < engine.epoch {
            return OrderReply::Outdated;
        }
        if let Some(old) = old {
            self.check_departure(id, &old);
        }
        let Some(engine) = self.by_instance.get_mut(id.instance()) else {
            return OrderReply::Unknown;
        };
        let time = if engine.loaded.as_ref() == Some(model) {
            self.times.reuse
        } else if engine.target.staged.contains(model) {
            self.times.staged_load
        } else {
            self.times.load
        };
        engine.epoch = to.epoch;
        let rank = members.iter().position(|m| m == id.instance());
        let rank = rank.unwrap_or(usize::MAX) as u32;
        engine.members = members;
        engine.previous_group = None;
        engine.joining = Some((model.clone(), now + time));
        engine.opening = None;
        engine.target.member = Some(Membership {
            of: to.clone(),
            rank,
            state: MemberState::Joining,
            model: None,
        });
        OrderReply::Begun
    }

    /// Records a breach if the leader of the group that a member leaves still serves.
    fn check_departure(&mut self, id: &TargetId, old: &GroupRef) {
        let leader = self
            .member_lists
            .get(old)
            .and_then(|list| list.first())
            .cloned();
        let leader = leader
            .and_then(|l| self.by_instance.get(&l))
            .filter(|e| e.alive);
        let member = leader.and_then(|e| e.target.member.as_ref());
        let serves = member.is_some_and(|m| m.of == *old && m.state == MemberState::Open);
        if serves {
            self.breaches
                .push(format!("{id} left {} while it serves", old.group));
        }
    }

    fn open(&mut self, id: &TargetId, group: &GroupRef, now: Millis) -> OrderReply {
        let members = self.member_lists.get(group).cloned().unwrap_or_default();
        let unready = members
            .iter()
            .find(|m| !self.ready.contains(&(group.clone(), (*m).clone())));
        if let Some(unready) = unready {
            self.breaches
                .push(format!("{} opens before {unready} is ready", group.group));
        }
        let Some(engine) = self.by_instance.get_mut(id.instance()) else {
            return OrderReply::Unknown;
        };
        match &engine.target.member {
            Some(m) if m.of == *group && m.rank == 0 && m.state == MemberState::Ready => {
                engine.opening.get_or_insert(now + self.times.open);
                OrderReply::Begun
            }
            Some(m) if m.of == *group && m.state == MemberState::Open => OrderReply::Held,
            _ => OrderReply::Unfit,
        }
    }

    fn close(&mut self, id: &TargetId, group: &GroupRef) -> OrderReply {
        let Some(engine) = self.by_instance.get_mut(id.instance()) else {
            return OrderReply::Unknown;
        };
        match &mut engine.target.member {
            Some(m) if m.of == *group && m.rank == 0 => {
                m.state = MemberState::Ready;
                engine.opening = None;
                OrderReply::Begun
            }
            _ => OrderReply::Unfit,
        }
    }

    fn leave_group(&mut self, id: &TargetId, group: &GroupRef) -> OrderReply {
        let Some(engine) = self.by_instance.get_mut(id.instance()) else {
            return OrderReply::Unknown;
        };
        match &engine.target.member {
            Some(m) if m.of == *group => {
                engine.target.member = None;
                engine.joining = None;
                engine.opening = None;
                engine.orders_taken += 1;
            }
            _ => {}
        }
        OrderReply::Held
    }
}
