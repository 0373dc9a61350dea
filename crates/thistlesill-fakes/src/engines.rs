//! Model engines that take orders to form groups, in virtual time.
//!
//! They keep the rules that a fleet's planner must never break and collect
//! each breach: a member joins another group while its old leader serves, a
//! leader opens without all members ready, an epoch is used twice, an instance that has
//! started again joins another group while the leader of its earlier life's serves.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};

use thistlesill_core::edge::{
    Engine, GroupRef, Incarnation, MemberState, Membership, ModelPlan, Order, OrderReply, Target,
    TargetId,
};
use thistlesill_core::{InstanceId, Millis, Model};

/// How long the engines take.
#[derive(Debug, Clone, Copy)]
pub struct EngineTimes {
    /// A load from afar.
    pub load: Millis,
    /// A load from the host.
    pub staged_load: Millis,
    /// A join with the weights of the last group.
    pub reuse: Millis,
    /// Until a leader that lost a member is broken.
    pub stall_timeout: Millis,
    /// From the order to open to the first request.
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

/// The figures of engines that run a model of four and one of two members.
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
    /// Whether it answers.
    alive: bool,
    /// Whether it is in the list.
    listed: bool,
    loaded: Option<Model>,
    /// Highest epoch seen.
    epoch: u64,
    /// Orders that it took in its present life.
    orders_taken: u64,
    members: Vec<InstanceId>,
    /// The group of its life before this one.
    before: Option<GroupRef>,
    joining: Option<(Model, Millis)>,
    opening: Option<Millis>,
    staging: Option<(Model, Millis)>,
    /// Since when a member is missing.
    stalled: Option<Millis>,
}

impl FakeEngine {
    /// An engine that has just started and is listed.
    const fn new(target: Target) -> Self {
        Self {
            target,
            alive: true,
            listed: true,
            loaded: None,
            epoch: 0,
            orders_taken: 0,
            members: Vec::new(),
            before: None,
            joining: None,
            opening: None,
            staging: None,
            stalled: None,
        }
    }
}

/// A service's engines.
#[derive(Debug, Clone, Default)]
pub struct Engines {
    all: BTreeMap<InstanceId, FakeEngine>,
    lists: HashMap<GroupRef, Vec<InstanceId>>,
    /// Members that were ready, by group.
    ready: HashSet<(GroupRef, InstanceId)>,
    /// How long the engines take.
    pub times: EngineTimes,
    /// Breaches of what must always hold.
    pub breaches: Vec<String>,
}

impl Engines {
    /// Engines in domains of eight.
    pub fn new(domains: usize) -> Self {
        let mut all = Self::default();
        for i in 0..domains * 8 {
            all.add(i);
        }
        all
    }

    /// Adds the engine with a number; eight numbers share a domain.
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
        self.all.insert(id.instance().clone(), engine);
        id
    }

    /// The targets as the list shows them.
    pub fn listed(&self) -> HashMap<TargetId, Target> {
        let listed = self.all.values().filter(|e| e.listed);
        listed
            .map(|e| (e.target.id.clone(), e.target.clone()))
            .collect()
    }

    /// Whether an engine leads a group that serves and has all its members.
    pub fn leads_complete_group(&self, id: &TargetId) -> bool {
        let leads = self
            .all
            .get(id.instance())
            .is_some_and(|e| e.alive && e.target.is_open_leader());
        leads && !self.lacks_member(id)
    }

    /// Moves an engine to an address.
    pub fn set_address(&mut self, id: &TargetId, address: SocketAddr) {
        if let Some(engine) = self.all.get_mut(id.instance()) {
            engine.target.address = address;
        }
    }

    /// Has an engine tell another data centre as its own.
    pub fn set_hall(&mut self, id: &TargetId, hall: &str) {
        if let Some(engine) = self.all.get_mut(id.instance()) {
            engine.target.hall = hall.into();
        }
    }

    /// Whether an engine answers.
    pub fn is_alive(&self, id: &TargetId) -> bool {
        self.all.get(id.instance()).is_some_and(|e| e.alive)
    }

    /// The leaders of groups that serve, with their groups' members.
    pub fn serving(&self) -> Vec<(TargetId, Vec<TargetId>)> {
        let open = self
            .all
            .values()
            .filter(|e| e.alive && e.target.is_open_leader());
        open.map(|e| (e.target.id.clone(), self.lives(&e.members)))
            .collect()
    }

    /// The present lives of some instances.
    fn lives(&self, instances: &[InstanceId]) -> Vec<TargetId> {
        let engines = instances.iter().filter_map(|id| self.all.get(id));
        engines.map(|e| e.target.id.clone()).collect()
    }

    /// Leaders that serve but lack a member.
    pub fn stalled(&self) -> HashSet<TargetId> {
        let open = self.all.values().filter(|e| e.target.is_open_leader());
        let lacking = open.filter(|e| e.stalled.is_some() || !e.alive);
        lacking.map(|e| e.target.id.clone()).collect()
    }

    /// Silences an engine for good; it stays in the list for a while.
    pub fn kill(&mut self, id: &TargetId) {
        if let Some(engine) = self.all.get_mut(id.instance()) {
            engine.alive = false;
        }
    }

    /// Has an engine start again under its id: it holds what lies on its host and
    /// knows nothing else. Returns its new life.
    pub fn restart(&mut self, id: &TargetId, born: Incarnation) -> Option<TargetId> {
        let engine = self.all.get_mut(id.instance())?;
        let mut target = engine.target.clone();
        let before = target.member.take().map(|m| m.of);
        target.id = TargetId::new(id.instance().clone(), born);
        target.leaving = false;
        let life = target.id.clone();
        *engine = FakeEngine {
            before,
            ..FakeEngine::new(target)
        };
        Some(life)
    }

    /// The present life of an engine.
    pub fn incarnation(&self, id: &TargetId) -> Option<TargetId> {
        self.all.get(id.instance()).map(|e| e.target.id.clone())
    }

    /// Takes an engine off the list, whether it lives or not.
    pub fn unlist(&mut self, id: &TargetId) {
        if let Some(engine) = self.all.get_mut(id.instance()) {
            engine.listed = false;
        }
    }

    /// Has an engine show itself in the list again.
    pub fn relist(&mut self, id: &TargetId) {
        if let Some(engine) = self.all.get_mut(id.instance()) {
            engine.listed = true;
        }
    }

    /// Has an engine say that it leaves.
    pub fn leave(&mut self, id: &TargetId) {
        if let Some(engine) = self.all.get_mut(id.instance()) {
            engine.target.leaving = true;
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Millis) {
        let ids: Vec<TargetId> = self.all.values().map(|e| e.target.id.clone()).collect();
        for id in ids {
            self.advance_one(&id, now);
        }
    }

    fn advance_one(&mut self, id: &TargetId, now: Millis) {
        let lacks = self.lacks_member(id);
        let Some(engine) = self.all.get_mut(id.instance()).filter(|e| e.alive) else {
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
        if member.state != MemberState::Open || !lacks {
            engine.stalled = None;
            return;
        }
        let since = *engine.stalled.get_or_insert(now);
        if now - since >= self.times.stall_timeout {
            member.state = MemberState::Broken;
        }
    }

    /// Whether a leader lacks a member of its group.
    fn lacks_member(&self, id: &TargetId) -> bool {
        let Some(leader) = self.all.get(id.instance()) else {
            return false;
        };
        let Some(group) = leader.target.member.as_ref().map(|m| &m.of) else {
            return false;
        };
        leader.members.iter().any(|id| {
            let member = self.all.get(id).filter(|e| e.alive);
            let of = member.and_then(|e| e.target.member.as_ref()).map(|m| &m.of);
            of != Some(group)
        })
    }

    /// Gives an order to an engine.
    pub fn order(&mut self, id: &TargetId, order: &Order, now: Millis) -> OrderReply {
        if !self.is_alive(id) {
            return OrderReply::Unknown;
        }
        let reply = self.carry_out(id, order, now);
        if reply == OrderReply::Begun
            && let Some(engine) = self.all.get_mut(id.instance())
        {
            engine.orders_taken += 1;
        }
        reply
    }

    /// How many orders an engine took in its present life.
    pub fn orders_taken(&self, id: &TargetId) -> u64 {
        self.all.get(id.instance()).map_or(0, |e| e.orders_taken)
    }

    fn carry_out(&mut self, id: &TargetId, order: &Order, now: Millis) -> OrderReply {
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
                let Some(engine) = self.all.get_mut(id.instance()) else {
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
            .lists
            .entry(to.clone())
            .or_insert_with(|| members.clone());
        if *list != members {
            self.breaches
                .push(format!("{} has two lists of members", to.group));
        }
        let Some(engine) = self.all.get(id.instance()) else {
            return OrderReply::Unknown;
        };
        let old = engine.target.member.as_ref().map(|m| m.of.clone());
        let old = old.or_else(|| engine.before.clone().filter(|before| before != to));
        if old.as_ref() == Some(to) {
            return OrderReply::Held;
        }
        if to.epoch < engine.epoch {
            return OrderReply::Outdated;
        }
        if let Some(old) = old {
            self.check_left(id, &old);
        }
        let Some(engine) = self.all.get_mut(id.instance()) else {
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
        engine.before = None;
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

    /// A member may go only if its leader neither serves nor will.
    fn check_left(&mut self, id: &TargetId, old: &GroupRef) {
        let leader = self.lists.get(old).and_then(|list| list.first()).cloned();
        let leads = leader.and_then(|l| self.all.get(&l)).filter(|e| e.alive);
        let member = leads.and_then(|e| e.target.member.as_ref());
        let serves = member.is_some_and(|m| m.of == *old && m.state == MemberState::Open);
        if serves {
            self.breaches
                .push(format!("{id} left {} while it serves", old.group));
        }
    }

    fn open(&mut self, id: &TargetId, group: &GroupRef, now: Millis) -> OrderReply {
        let members = self.lists.get(group).cloned().unwrap_or_default();
        let unready = members
            .iter()
            .find(|m| !self.ready.contains(&(group.clone(), (*m).clone())));
        if let Some(unready) = unready {
            self.breaches
                .push(format!("{} opens before {unready} is ready", group.group));
        }
        let Some(engine) = self.all.get_mut(id.instance()) else {
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
        let Some(engine) = self.all.get_mut(id.instance()) else {
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
        let Some(engine) = self.all.get_mut(id.instance()) else {
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
