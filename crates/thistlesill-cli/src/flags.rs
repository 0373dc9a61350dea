//! The command line.
//!
//! The types are generated from the description below, which documents them.
#![allow(missing_docs)]

use std::path::PathBuf;

use thistlesill_core::suggest::nearest;

xflags::xflags! {
    /// The operators' client of a thistlesill fleet.
    ///
    /// Exit codes: 0 success, 1 not reachable or not found, 2 invalid arguments
    /// or settings, 3 another edit came first, 4 not known whether an edit took
    /// effect.
    ///
    /// Examples:
    ///   thistlesill settings get > tree.jsonc
    ///   thistlesill settings check tree.jsonc
    ///   thistlesill settings put tree.jsonc --note "new adapter for Lowell"
    ///   thistlesill settings get --resolved --hall concord --customer lowell
    ///   thistlesill explain group concord-1.3
    ///   thistlesill explain losses edge-1.log edge-2.log
    ///   thistlesill explain refusal b-7 edge-1.log edge-2.log
    ///   thistlesill timeline --request 5f0c... --svg request.svg
    cmd thistlesill {
        /// File with the fleet's addresses (default: thistlesill.jsonc).
        optional --fleet path: PathBuf
        /// Print JSON.
        optional --json

        /// Show, check and edit the tree of settings.
        cmd settings {
            /// Check a file without contacting the fleet.
            cmd check {
                /// The file, JSON with comments.
                required file: PathBuf
            }
            /// Put a file in force, unless the tree was changed meanwhile.
            cmd put {
                /// The file; its `revision` is the one that it was made from.
                required file: PathBuf
                /// The reason, for the history.
                optional --note text: String
                /// The editor's name, for the history (default: $USER).
                optional --editor name: String
                /// Carry the changes over to the revision in force, if they
                /// touch no branch that others changed.
                optional --rebase
            }
            /// Print the tree in force, or the values that apply to a scope.
            cmd get {
                /// Print the values that apply to the scope given by the flags
                /// below, with the branch that sets each.
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
            /// Show what a file would change.
            cmd diff {
                /// The file.
                required file: PathBuf
            }
            /// List the accepted edits.
            cmd history {
                /// The number of edits, newest first (default: 20).
                optional --last count: usize
            }
        }
        /// List the groups, as planned and as the routers see them.
        cmd groups {}
        /// List the instances, as the planners see them.
        cmd instances {}
        /// Show the daemons and the settings revision of each.
        cmd status {}
        /// Explain a request, late answers, a refusal, or a group.
        cmd explain {
            /// Why a request went where it went and ended as it did.
            cmd request {
                /// The request's id, from the answer's x-request-id.
                required id: String
            }
            /// Why callers were served late or not at all, from the log lines of edge
            /// daemons.
            cmd losses {
                /// Files with log lines of any number of daemons (default: standard
                /// input).
                repeated files: PathBuf
            }
            /// Why a request was refused and what became of its caller, from the log
            /// lines of edge daemons.
            cmd refusal {
                /// The request's id, from its line or the caller.
                required id: String
                /// Files with log lines of any number of daemons (default: standard
                /// input).
                repeated files: PathBuf
            }
            /// Why a group was formed, and what it waits for.
            cmd group {
                /// The group's name.
                required name: String
            }
        }
        /// Show the events of all daemons in one order.
        cmd timeline {
            /// Only events of a request and of the groups that it was sent to.
            optional --request id: String
            /// Only events of a group.
            optional --group name: String
            /// The number of events, counted from the newest (default: 200).
            optional --last count: usize
            /// Draw the events into an SVG file instead.
            optional --svg file: PathBuf
        }
        /// Stop a daemon when its requests have ended.
        cmd drain {
            /// The daemon's name.
            required name: String
        }
    }
}

/// All subcommands and flags, for suggestions.
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
    "refusal",
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

/// Returns a suggestion for the first unknown argument that resembles a subcommand or flag.
pub fn hint(arguments: &[String]) -> Option<String> {
    let unknown = |a: &&String| !WORDS.contains(&a.as_str());
    let unknown_words = arguments.iter().filter(unknown);
    unknown_words
        .filter_map(|word| nearest(word, WORDS.iter().copied()).map(|known| (word, known)))
        .map(|(word, known)| format!("`{word}`: did you mean `{known}`?"))
        .next()
}
