//! State machines that are read from files and run from a transition table.
//!
//! A chart file names the start state and, for each state, the effect of every event: the
//! name of the next state, `stay` or `refuse`. A file is rejected if it names an unknown
//! state or event, leaves out a pair of state and event, or has an unreachable state.

use std::collections::BTreeMap;
use std::fmt::Debug;

use serde::Deserialize;
use snafu::Snafu;

use crate::jsonc::{self, JsoncError};

/// A fixed set of states or events that a chart file refers to by name.
pub trait Symbol: Copy + Eq + Debug + 'static {
    /// All variants in the order of their definition.
    const ALL: &'static [Self];

    /// Returns the name used in chart files.
    fn name(self) -> &'static str;

    /// Returns the position in [`Symbol::ALL`].
    fn index(self) -> usize;
}

/// Defines an enum that implements [`Symbol`](crate::chart::Symbol), with each variant's name in
/// chart files.
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

/// The reason why a chart file was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ChartError {
    /// The file is not valid JSON with comments, or does not have the structure of a chart.
    #[snafu(display("chart {chart}: {source}"))]
    Syntax {
        /// Name of the chart.
        chart: &'static str,
        /// Position and description of the error.
        source: JsoncError,
    },
    /// The file names a state or event that the code does not define.
    #[snafu(display("chart {chart}: unknown name `{word}`"))]
    Unknown {
        /// Name of the chart.
        chart: &'static str,
        /// The unknown name.
        word: String,
    },
    /// The file does not define the effect of an event in a state.
    #[snafu(display("chart {chart}: state `{state}` does not say what `{event}` does"))]
    Missing {
        /// Name of the chart.
        chart: &'static str,
        /// The state.
        state: &'static str,
        /// The event without a transition.
        event: &'static str,
    },
    /// No sequence of events leads from the start state to a state.
    #[snafu(display("chart {chart}: state `{state}` cannot be reached"))]
    Unreachable {
        /// Name of the chart.
        chart: &'static str,
        /// The unreachable state.
        state: &'static str,
    },
}

/// The error for an event that the chart does not allow in the current state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("event {event} refused in state {state}"))]
pub struct Refused {
    /// Name of the current state.
    pub state: &'static str,
    /// Name of the refused event.
    pub event: &'static str,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    start: String,
    states: BTreeMap<String, BTreeMap<String, String>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Transition<S> {
    To(S),
    Stay,
    Refuse,
}

/// A validated state machine with states `S` and events `E`.
#[derive(Debug, Clone)]
pub struct Chart<S: Symbol, E: Symbol> {
    start: S,
    table: Vec<Transition<S>>,
    events: std::marker::PhantomData<E>,
}

impl<S: Symbol, E: Symbol> Chart<S, E> {
    /// Parses and validates the text of a chart file; `chart` names the chart in errors.
    ///
    /// # Errors
    ///
    /// Returns a [`ChartError`] for a syntax error, an unknown name, a missing pair of state and
    /// event, or an unreachable state.
    pub fn parse(chart: &'static str, text: &str) -> Result<Self, ChartError> {
        let file: ChartFile =
            jsonc::from_str(text).map_err(|source| ChartError::Syntax { chart, source })?;
        let start = find_symbol::<S>(chart, &file.start)?;
        let mut table = vec![None; S::ALL.len() * E::ALL.len()];
        for (state_name, row) in &file.states {
            let state = find_symbol::<S>(chart, state_name)?;
            for (event_name, target) in row {
                let event = find_symbol::<E>(chart, event_name)?;
                table[table_index::<S, E>(state, event)] = Some(parse_transition(chart, target)?);
            }
        }
        let table = require_all_pairs::<S, E>(chart, &table)?;
        let parsed = Self {
            start,
            table,
            events: std::marker::PhantomData,
        };
        parsed.check_reachability(chart)?;
        Ok(parsed)
    }

    /// Returns the start state.
    pub const fn start(&self) -> S {
        self.start
    }

    /// Returns the state that follows `state` after `event`.
    ///
    /// # Errors
    ///
    /// Returns [`Refused`] if the chart refuses the event in this state.
    pub fn step(&self, state: S, event: E) -> Result<S, Refused> {
        match self.table[table_index::<S, E>(state, event)] {
            Transition::To(next) => Ok(next),
            Transition::Stay => Ok(state),
            Transition::Refuse => Err(Refused {
                state: state.name(),
                event: event.name(),
            }),
        }
    }

    fn check_reachability(&self, chart: &'static str) -> Result<(), ChartError> {
        let mut reached = vec![false; S::ALL.len()];
        let mut pending = vec![self.start];
        while let Some(state) = pending.pop() {
            if std::mem::replace(&mut reached[state.index()], true) {
                continue;
            }
            for event in E::ALL {
                if let Transition::To(next) = self.table[table_index::<S, E>(state, *event)] {
                    pending.push(next);
                }
            }
        }
        match S::ALL.iter().find(|s| !reached[s.index()]) {
            None => Ok(()),
            Some(state) => Err(ChartError::Unreachable {
                chart,
                state: state.name(),
            }),
        }
    }
}

fn table_index<S: Symbol, E: Symbol>(state: S, event: E) -> usize {
    state.index() * E::ALL.len() + event.index()
}

fn find_symbol<T: Symbol>(chart: &'static str, word: &str) -> Result<T, ChartError> {
    let found = T::ALL.iter().find(|s| s.name() == word);
    found.copied().ok_or_else(|| ChartError::Unknown {
        chart,
        word: word.to_owned(),
    })
}

fn parse_transition<S: Symbol>(
    chart: &'static str,
    word: &str,
) -> Result<Transition<S>, ChartError> {
    match word {
        "stay" => Ok(Transition::Stay),
        "refuse" => Ok(Transition::Refuse),
        other => find_symbol::<S>(chart, other).map(Transition::To),
    }
}

fn require_all_pairs<S: Symbol, E: Symbol>(
    chart: &'static str,
    table: &[Option<Transition<S>>],
) -> Result<Vec<Transition<S>>, ChartError> {
    let mut transitions = Vec::with_capacity(table.len());
    for state in S::ALL {
        for event in E::ALL {
            let next = table[table_index::<S, E>(*state, *event)].ok_or(ChartError::Missing {
                chart,
                state: state.name(),
                event: event.name(),
            })?;
            transitions.push(next);
        }
    }
    Ok(transitions)
}
