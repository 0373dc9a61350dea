//! The command line.
//!
//! The types are generated from the description below, which documents them.
#![allow(missing_docs)]

use std::path::PathBuf;

use thistlesill_core::suggest::nearest;

xflags::xflags! {
    /// The operators' client of a thistlesill fleet.
    ///
    /// Exit codes: 0 done, 1 not reachable or not found, 2 wrong words or
    /// settings, 3 another edit came first, 4 not known whether an edit took
    /// effect.
    ///
    /// Examples:
    ///   thistlesill settings get > tree.jsonc
    ///   thistlesill settings check tree.jsonc
    ///   thistlesill settings put tree.jsonc --note "new adapter for Lowell"
    ///   thistlesill settings get --resolved --hall concord --customer lowell
    ///   thistlesill explain group concord-1.3
    ///   thistlesill explain losses edge-1.log edge-2.log
    ///   thistlesill timeline --request 5f0c... --svg request.svg
    cmd thistlesill {
        /// File with the fleet's addresses (default: thistlesill.jsonc).
        optional --fleet path: PathBuf
        /// Print JSON.
        optional --json

        /// The tree of settings.
        cmd settings {
            /// Check a file without touching the fleet.
            cmd check {
                /// The file, JSON with comments.
                required file: PathBuf
            }
            /// Put a file in force, if nobody changed the tree meanwhile.
            cmd put {
                /// The file; its `revision` says what it was made from.
                required file: PathBuf
                /// Why, for the history.
                optional --note text: String
                /// Who, for the history.
                optional --editor name: String
                /// Carry the changes over to the revision in force, if they
                /// touch no branch that others changed.
                optional --rebase
            }
            /// Print the tree in force, or the values that hold somewhere.
            cmd get {
                /// Print the values that hold in a place, with the branch of each.
                optional --resolved
                /// The region.
                optional --region name: String
                /// The hall.
                optional --hall name: String
                /// The fabric domain.
                optional --domain name: String
                /// The hardware generation.
                optional --generation name: String
                /// The customer.
                optional --customer name: String
            }
            /// Say what a file would change.
            cmd diff {
                /// The file.
                required file: PathBuf
            }
            /// List the accepted edits.
            cmd history {
                /// How many, the newest first (default: 20).
                optional --last count: usize
            }
        }
        /// The groups, as planned and as the routers see them.
        cmd groups {}
        /// The instances, as the planners see them.
        cmd instances {}
        /// The daemons and what is in force at each.
        cmd status {}
        /// Say why something is as it is.
        cmd explain {
            /// Why a request went where it went and ended as it did.
            cmd request {
                /// The request's id, from the answer's x-request-id.
                required id: String
            }
            /// Why callers were served late or not at all, by the lines of edge daemons.
            cmd losses {
                /// Files with the lines of any number of daemons; without any, standard
                /// input.
                repeated files: PathBuf
            }
            /// Why a group was formed, and what it waits for.
            cmd group {
                /// The group's name.
                required name: String
            }
        }
        /// The events of all daemons in one order.
        cmd timeline {
            /// Only those of a request.
            optional --request id: String
            /// Only those of a group.
            optional --group name: String
            /// Only the last so many (default: 200).
            optional --last count: usize
            /// Write a picture to a file instead.
            optional --svg file: PathBuf
        }
        /// Stop a daemon without cutting off a request.
        cmd drain {
            /// The daemon's name.
            required name: String
        }
    }
}

/// All words of the command line, for suggestions.
pub const WORDS: &[&str] = &[
    "settings",
    "check",
    "put",
    "get",
    "diff",
    "history",
    "groups",
    "instances",
    "status",
    "explain",
    "request",
    "losses",
    "group",
    "timeline",
    "drain",
    "--fleet",
    "--json",
    "--note",
    "--editor",
    "--rebase",
    "--resolved",
    "--region",
    "--hall",
    "--domain",
    "--generation",
    "--customer",
    "--last",
    "--request",
    "--group",
    "--svg",
    "--help",
];

/// The nearest right word for a wrong one among the arguments, as a sentence.
pub fn hint(arguments: &[String]) -> Option<String> {
    let unknown = |a: &&String| !WORDS.contains(&a.as_str());
    let plain = arguments.iter().filter(unknown);
    plain
        .filter_map(|word| nearest(word, WORDS.iter().copied()).map(|right| (word, right)))
        .map(|(word, right)| format!("`{word}`: did you mean `{right}`?"))
        .next()
}
