//! State charts that are written in files and interpreted here.
//!
//! A chart names its states and, for each state, what every event does:
//! another state's name, `stay`, or `refuse`. A chart is refused when it
//! names an unknown state or event, leaves out a pair, or has a state that
//! cannot be reached.

use std::collections::BTreeMap;
use std::fmt::Debug;

use serde::Deserialize;
use snafu::Snafu;

use crate::jsonc::{self, JsoncError};

/// A closed set of names that a chart's file refers to.
pub trait Symbol: Copy + Eq + Debug + 'static {
    /// All members in order.
    const ALL: &'static [Self];

    /// The name in the file.
    fn name(self) -> &'static str;

    /// The position in [`Symbol::ALL`].
    fn index(self) -> usize;
}

/// Defines an enum whose members are named in a chart's file.
#[macro_export]
macro_rules! symbols {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $member:ident = $text:literal,)* }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum $name {
            $($(#[$doc])* $member,)*
        }

        impl $crate::chart::Symbol for $name {
            const ALL: &'static [Self] = &[$(Self::$member,)*];

            fn name(self) -> &'static str {
                match self { $(Self::$member => $text,)* }
            }

            fn index(self) -> usize {
                self as usize
            }
        }
    };
}

/// Why a chart's file was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ChartError {
    /// The file is no JSON with comments, or has a wrong shape.
    #[snafu(display("chart {chart}: {source}"))]
    Syntax {
        /// The chart.
        chart: &'static str,
        /// What is wrong.
        source: JsoncError,
    },
    /// A name in the file is not in the code.
    #[snafu(display("chart {chart}: unknown name `{word}`"))]
    Unknown {
        /// The chart.
        chart: &'static str,
        /// The word.
        word: String,
    },
    /// A state does not say what an event does.
    #[snafu(display("chart {chart}: state `{state}` does not say what `{event}` does"))]
    Missing {
        /// The chart.
        chart: &'static str,
        /// The state.
        state: &'static str,
        /// The event.
        event: &'static str,
    },
    /// No run of events leads to a state.
    #[snafu(display("chart {chart}: state `{state}` cannot be reached"))]
    Unreachable {
        /// The chart.
        chart: &'static str,
        /// The state.
        state: &'static str,
    },
}

/// An event that the chart refuses in a state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("event {event} refused in state {state}"))]
pub struct Refused {
    /// The state.
    pub state: &'static str,
    /// The event.
    pub event: &'static str,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    start: String,
    states: BTreeMap<String, BTreeMap<String, String>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next<S> {
    To(S),
    Stay,
    Refuse,
}

/// A checked chart over states `S` and events `E`.
#[derive(Debug, Clone)]
pub struct Chart<S: Symbol, E: Symbol> {
    start: S,
    table: Vec<Next<S>>,
    events: std::marker::PhantomData<E>,
}

impl<S: Symbol, E: Symbol> Chart<S, E> {
    /// Reads and checks a chart's text.
    ///
    /// # Errors
    ///
    /// A [`ChartError`] for a wrong shape, an unknown name, a missing pair or
    /// an unreachable state.
    pub fn parse(chart: &'static str, text: &str) -> Result<Self, ChartError> {
        let file: ChartFile =
            jsonc::from_str(text).map_err(|source| ChartError::Syntax { chart, source })?;
        let start = find::<S>(chart, &file.start)?;
        let mut table = vec![None; S::ALL.len() * E::ALL.len()];
        for (state_name, row) in &file.states {
            let state = find::<S>(chart, state_name)?;
            for (event_name, target) in row {
                let event = find::<E>(chart, event_name)?;
                table[slot::<S, E>(state, event)] = Some(parse_next(chart, target)?);
            }
        }
        let table = complete::<S, E>(chart, &table)?;
        let chart_value = Self {
            start,
            table,
            events: std::marker::PhantomData,
        };
        chart_value.check_reach(chart)?;
        Ok(chart_value)
    }

    /// The state to begin in.
    pub const fn start(&self) -> S {
        self.start
    }

    /// The state after an event.
    ///
    /// # Errors
    ///
    /// [`Refused`] if the chart refuses the event in this state.
    pub fn step(&self, state: S, event: E) -> Result<S, Refused> {
        match self.table[slot::<S, E>(state, event)] {
            Next::To(next) => Ok(next),
            Next::Stay => Ok(state),
            Next::Refuse => Err(Refused {
                state: state.name(),
                event: event.name(),
            }),
        }
    }

    fn check_reach(&self, chart: &'static str) -> Result<(), ChartError> {
        let mut seen = vec![false; S::ALL.len()];
        let mut todo = vec![self.start];
        while let Some(state) = todo.pop() {
            if std::mem::replace(&mut seen[state.index()], true) {
                continue;
            }
            for event in E::ALL {
                if let Next::To(next) = self.table[slot::<S, E>(state, *event)] {
                    todo.push(next);
                }
            }
        }
        match S::ALL.iter().find(|s| !seen[s.index()]) {
            None => Ok(()),
            Some(state) => Err(ChartError::Unreachable {
                chart,
                state: state.name(),
            }),
        }
    }
}

fn slot<S: Symbol, E: Symbol>(state: S, event: E) -> usize {
    state.index() * E::ALL.len() + event.index()
}

fn find<T: Symbol>(chart: &'static str, word: &str) -> Result<T, ChartError> {
    let found = T::ALL.iter().find(|s| s.name() == word);
    found.copied().ok_or_else(|| ChartError::Unknown {
        chart,
        word: word.to_owned(),
    })
}

fn parse_next<S: Symbol>(chart: &'static str, word: &str) -> Result<Next<S>, ChartError> {
    match word {
        "stay" => Ok(Next::Stay),
        "refuse" => Ok(Next::Refuse),
        other => find::<S>(chart, other).map(Next::To),
    }
}

fn complete<S: Symbol, E: Symbol>(
    chart: &'static str,
    table: &[Option<Next<S>>],
) -> Result<Vec<Next<S>>, ChartError> {
    let mut full = Vec::with_capacity(table.len());
    for state in S::ALL {
        for event in E::ALL {
            let next = table[slot::<S, E>(*state, *event)].ok_or(ChartError::Missing {
                chart,
                state: state.name(),
                event: event.name(),
            })?;
            full.push(next);
        }
    }
    Ok(full)
}
