//! A small model of a scope and its callers, in steps of a millisecond.

use std::collections::BTreeMap;

use thistlesill_core::Millis;
use thistlesill_policy::edge::owner::Scope;
use thistlesill_policy::edge::shortage::{
    AdmissionDecision, Prospect, RankedRequest, ShortageTable, Urgency,
};

pub(super) const SLOTS: u32 = 34;
pub(super) const ANSWER_MS: f64 = 700.0;
pub(super) const EVENT_MS: f64 = 30.0;
pub(super) const TOKENS_PER_MS: f64 = 46.0;
/// Owners report refused callers to each other 50 ms after the first of a batch.
const REPORT_INTERVAL: u64 = 50;
pub(super) const START: u64 = 1_000_000;

/// Requests of one route.
#[derive(Clone, Copy)]
pub(super) struct Kind {
    pub(super) route: u8,
    pub(super) aim: u64,
    pub(super) wait: u64,
    pub(super) prompt: f64,
}

pub(super) const URGENT: Kind = Kind {
    route: 0,
    aim: 250,
    wait: 6_000,
    prompt: 674.0,
};
pub(super) const NORMAL: Kind = Kind {
    route: 1,
    aim: 500,
    wait: 8_000,
    prompt: 1_420.0,
};
pub(super) const RELAXED: Kind = Kind {
    route: 2,
    aim: 1_000,
    wait: 8_000,
    prompt: 1_960.0,
};

/// Requests per second of one customer. Callers retry once at the time that they receive, or after
/// a third of their time; if `hasty`, every 100 ms for a third of their time.
#[derive(Clone, Copy)]
pub(super) struct Load {
    pub(super) kind: Kind,
    pub(super) customer: u16,
    pub(super) rate: f64,
    pub(super) hasty: bool,
}

pub(super) fn load(kind: Kind, customer: u16, rate: f64) -> Load {
    Load {
        kind,
        customer,
        rate,
        hasty: false,
    }
}

/// `rate` requests per second of ten customers.
pub(super) fn ten(kind: Kind, rate: f64) -> impl Iterator<Item = Load> {
    (0..10).map(move |customer| load(kind, customer, rate / 10.0))
}

pub(super) struct Caller {
    pub(super) load: Load,
    pub(super) key: u64,
    pub(super) first: u64,
    pub(super) attempts: u32,
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Tally {
    pub(super) callers: u32,
    pub(super) in_time: u32,
    pub(super) answered: u32,
}

impl Tally {
    pub(super) fn in_time(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.callers)
    }

    pub(super) fn answered(self) -> f64 {
        f64::from(self.answered) / f64::from(self.callers)
    }
}

#[derive(Clone, Default)]
pub(super) struct Group {
    pub(super) unread_ms: f64,
    pub(super) requests: f64,
    pub(super) pace: f64,
}

impl Group {
    pub(super) fn begin(&self, prompt: f64) -> f64 {
        let slots = f64::from(SLOTS);
        let queue = (self.requests + 1.0 - slots).max(0.0) / slots * ANSWER_MS;
        self.pace * (EVENT_MS + self.unread_ms + prompt / TOKENS_PER_MS + queue)
    }

    pub(super) fn tick(&mut self) {
        self.unread_ms = (self.unread_ms - 1.0 / self.pace).max(0.0);
        self.requests -= self.requests.min(f64::from(SLOTS)) / ANSWER_MS / self.pace;
    }
}

/// Which reports about refused callers are delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Delivery {
    All,
    Half,
    Nothing,
}

pub(super) struct Model {
    /// One for each owner of the scope; attempts of a caller go to them in turn.
    pub(super) tables: Vec<ShortageTable>,
    /// Table of the daemon that replaces an owner. It decides nothing until then.
    pub(super) successor: ShortageTable,
    pub(super) delivery: Delivery,
    /// Number of reports that the owners sent.
    pub(super) sent: u64,
    pub(super) groups: Vec<Group>,
    pub(super) now: u64,
    pub(super) next_key: u64,
    /// Requests that were sent late.
    pub(super) late: u32,
    pub(super) returning: BTreeMap<(u64, u64), Caller>,
    /// By route and customer.
    pub(super) tallies: BTreeMap<(u8, u16), Tally>,
}

impl Model {
    pub(super) fn new(groups: usize) -> Self {
        let group = Group {
            pace: 1.0,
            ..Group::default()
        };
        Self {
            tables: vec![ShortageTable::default()],
            successor: ShortageTable::default(),
            delivery: Delivery::All,
            sent: 0,
            groups: vec![group; groups],
            now: START,
            next_key: 0,
            late: 0,
            returning: BTreeMap::new(),
            tallies: BTreeMap::new(),
        }
    }

    pub(super) fn run(&mut self, loads: &[Load], ms: u64) {
        let mut owed: Vec<f64> = (0..loads.len())
            .map(|n| n as f64 / loads.len() as f64)
            .collect();
        for _ in 0..ms {
            self.now += 1;
            if self.now.is_multiple_of(REPORT_INTERVAL) {
                self.exchange_reports();
            }
            self.groups.iter_mut().for_each(Group::tick);
            while let Some(entry) = self.returning.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let caller = entry.remove();
                self.ask(caller);
            }
            for (load, owed) in loads.iter().zip(&mut owed) {
                *owed += load.rate / 1_000.0;
                while *owed >= 1.0 {
                    *owed -= 1.0;
                    self.arrive(*load);
                }
            }
        }
    }

    /// Delivers the reports of each owner to all others and to the successor.
    fn exchange_reports(&mut self) {
        let now = Millis::new(self.now);
        for from in 0..self.tables.len() {
            for (scope, report) in self.tables[from].take_reports(now) {
                self.sent += 1;
                let is_delivered = match self.delivery {
                    Delivery::All => true,
                    Delivery::Half => self.sent.is_multiple_of(2),
                    Delivery::Nothing => false,
                };
                if !is_delivered {
                    continue;
                }
                let others = self.tables.iter_mut().enumerate();
                let others = others.filter(|(to, _)| *to != from).map(|(_, table)| table);
                for table in others.chain([&mut self.successor]) {
                    table.learn(&scope, report, now);
                }
            }
        }
    }

    /// Replaces the first owner by its successor. Reports that it has not sent are lost.
    pub(super) fn replace_owner(&mut self) {
        self.tables[0] = std::mem::take(&mut self.successor);
    }

    pub(super) fn forget_callers(&mut self) {
        self.tallies.clear();
        self.returning.clear();
    }

    pub(super) fn arrive(&mut self, load: Load) {
        self.next_key += 1;
        let tally = (load.kind.route, load.customer);
        self.tallies.entry(tally).or_default().callers += 1;
        self.ask(Caller {
            load,
            key: self.next_key,
            first: self.now,
            attempts: 0,
        });
    }

    pub(super) fn ask(&mut self, mut caller: Caller) {
        let kind = caller.load.kind;
        let has_room = self
            .groups
            .iter()
            .any(|g| g.requests < 0.6 * f64::from(SLOTS));
        let begin = |g: &Group| g.begin(kind.prompt);
        let groups = self.groups.iter_mut();
        let group = groups.min_by(|a, b| begin(a).total_cmp(&begin(b))).unwrap();
        let begin = group.begin(kind.prompt);
        let left = kind.wait - (self.now - caller.first);
        let request = RankedRequest {
            left: Millis::new(left),
            ..request(kind, &format!("c{}", caller.load.customer), caller.key)
        };
        let prospect = Prospect {
            requests: group.requests.ceil() as u32,
            has_room,
            ..full(begin)
        };
        let now = Millis::new(self.now);
        let owner = (caller.key + u64::from(caller.attempts)) % self.tables.len() as u64;
        let table = &mut self.tables[owner as usize];
        let decision = table.decide(&scope(), &request, prospect, now).decision;
        let tally = (kind.route, caller.load.customer);
        let tally = self.tallies.get_mut(&tally).unwrap();
        let AdmissionDecision::Refuse { after, .. } = decision else {
            let elapsed = (self.now - caller.first) as f64;
            tally.in_time += u32::from(begin + elapsed <= kind.aim as f64);
            tally.answered += 1;
            self.late += u32::from(decision == AdmissionDecision::Late);
            group.requests += 1.0;
            group.unread_ms += kind.prompt / TOKENS_PER_MS;
            return;
        };
        assert!(!has_room, "a caller is refused although a target has room");
        caller.attempts += 1;
        let (delay, most) = if caller.load.hasty {
            (100, kind.wait / 300)
        } else {
            (after.get().min(left / 3), 1)
        };
        if u64::from(caller.attempts) <= most {
            self.returning
                .insert((self.now + delay, caller.key), caller);
        }
    }

    /// Returns the sum of the tallies of a route, for the customers that `include` is true for.
    pub(super) fn tally(&self, kind: Kind, include: impl Fn(u16) -> bool) -> Tally {
        let mut sum = Tally::default();
        for ((route, customer), tally) in &self.tallies {
            if *route == kind.route && include(*customer) {
                sum.callers += tally.callers;
                sum.in_time += tally.in_time;
                sum.answered += tally.answered;
            }
        }
        sum
    }

    pub(super) fn all(&self, kind: Kind) -> Tally {
        self.tally(kind, |_| true)
    }

    /// Returns the number of requests of all kinds that were answered late.
    pub(super) fn late(&self) -> u32 {
        let late = self.tallies.values().map(|t| t.answered - t.in_time);
        late.sum()
    }
}

pub(super) fn scope() -> Scope {
    Scope {
        hall: "h".into(),
        service: "pool".into(),
        model: Some("small".into()),
    }
}

pub(super) fn request(kind: Kind, customer: &str, key: u64) -> RankedRequest {
    RankedRequest {
        urgency: Urgency {
            customer: 1,
            route: kind.route,
        },
        customer: Some(customer.into()),
        key,
        aim: Millis::new(kind.aim),
        left: Millis::new(kind.wait),
    }
}

/// A target without free slots.
pub(super) fn full(begin: f64) -> Prospect {
    Prospect {
        begin,
        idle: 0.0,
        slots: SLOTS,
        requests: SLOTS,
        has_room: false,
        open_groups: 4,
    }
}

pub(super) fn mixed(urgent: f64) -> Vec<Load> {
    let others = ten(NORMAL, 33.0).chain(ten(RELAXED, 21.0));
    ten(URGENT, urgent).chain(others).collect()
}
