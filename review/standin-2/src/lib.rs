//! What the cases of the second review have in common: the record, the folder and the exit code.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use thistlesill_platform_standin::world::World;

/// The record of a case: one line for each thing that was sent, answered, run or seen.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file `record.txt` in the folder of the case.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be created.
    #[must_use]
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("the record can be created");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let time = self.start.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{time:8.3} s  {text}");
        }
    }
}

/// The options of a case, from its command line and its environment.
pub struct Case {
    /// The record of the case.
    pub record: Record,
    /// A new folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption is made.
    pub trouble: bool,
}

impl Case {
    /// Reads the options: the folder of the case, and the temporary folder.
    ///
    /// # Panics
    ///
    /// Panics if one of them is missing.
    #[must_use]
    pub fn from_args() -> Self {
        let mut args = std::env::args().skip(1).map(PathBuf::from);
        let folder = args.next().expect("the folder of the case");
        let temporary = args.next().expect("the temporary folder");
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record::create(&folder);
        record.line(&format!("disruption: {trouble}"));
        Self {
            record,
            folder: temporary,
            trouble,
        }
    }

    /// Ends all daemons, writes the result to the record and exits: with 1 if the rule was broken, 0
    /// if it held, and 2 if that cannot be told (`None`).
    pub async fn end(&self, mut world: World, rule: &str, broken: Option<bool>) -> ! {
        for daemon in &mut world.daemons {
            daemon.kill().await;
        }
        let (text, code) = match broken {
            Some(true) => ("broken", 1),
            Some(false) => ("held", 0),
            None => ("not tested", 2),
        };
        self.record.line(&format!("result: {rule} {text}"));
        println!("{rule} {text}");
        std::process::exit(code)
    }
}

/// Returns the program that starts an edge daemon.
#[must_use]
pub fn program() -> PathBuf {
    std::env::current_dir()
        .expect("there is a working directory")
        .join("review/standin-2/edge.sh")
}
