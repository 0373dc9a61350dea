//! What all daemons start with: the link to the peers, the settings' feed,
//! the operators' interface and the time line.

use std::sync::Arc;

use thistlesill_core::config::DaemonConfig;
use thistlesill_core::settings::Tree;
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{Millis, NodeId};
use tokio::sync::mpsc;

use crate::admin::{self, Admin, AdminRequest};
use crate::files::Secrets;
use crate::journal::Journal;
use crate::peer::{self, PeerError, PeerLink, PeerMessage};
use crate::platform::Platform;
use crate::sync::{CurrentSettings, HeadWatch, from_peer, from_platform};

/// Messages of peers that wait to be read.
const PEER_QUEUE: usize = 1_024;
/// Questions of operators that wait to be answered.
const QUESTION_QUEUE: usize = 64;

/// The running parts that a daemon's loop is built on.
#[derive(Debug)]
pub struct Base {
    /// The time line.
    pub journal: Journal,
    /// The link to the peers.
    pub link: PeerLink,
    /// What peers say.
    pub datagrams: mpsc::Receiver<PeerMessage>,
    /// What operators ask.
    pub admin_requests: mpsc::Receiver<AdminRequest>,
    /// Where new settings come from.
    pub feed: SettingsFeed,
    /// The platform.
    pub platform: Platform,
}

/// Starts what all daemons have.
///
/// # Errors
///
/// [`PeerError::Io`] if the address for peers is taken.
pub async fn start(config: &DaemonConfig, secrets: &Secrets) -> Result<Base, PeerError> {
    let (asked, questions) = mpsc::channel(QUESTION_QUEUE);
    let (heard, datagrams) = mpsc::channel(PEER_QUEUE);
    let journal = Journal::new(config.name.clone(), config.limits.events);
    let shelf = CurrentSettings::default();
    let key = secrets.key.clone();
    let link = PeerLink::bind(config.name.clone(), config.peer, key, journal.clone()).await?;
    tokio::spawn(link.clone().listen(heard));
    spawn_answers(config, secrets, shelf.clone());
    spawn_admin(config, secrets, asked, journal.clone());
    journal.record(TimelineEvent::Started);
    let platform = Platform::new(config.platform);
    Ok(Base {
        feed: SettingsFeed::new(config, shelf, link.clone(), platform.clone()),
        journal,
        link,
        datagrams,
        admin_requests: questions,
        platform,
    })
}

fn spawn_answers(config: &DaemonConfig, secrets: &Secrets, shelf: CurrentSettings) {
    let serve = peer::answer(config.peer, secrets.key.clone(), move |ask| {
        shelf.reply(&ask)
    });
    tokio::spawn(async move {
        if let Err(error) = serve.await {
            log::error!("peer: {error}");
        }
    });
}

fn spawn_admin(
    config: &DaemonConfig,
    secrets: &Secrets,
    questions: mpsc::Sender<AdminRequest>,
    journal: Journal,
) {
    let admin = Admin {
        questions,
        token_sha256: secrets.token_sha256.clone(),
        journal,
        metrics: admin::install_metrics(),
    };
    tokio::spawn(admin::serve(config.admin, admin.router()));
}

/// Where a daemon's new settings come from: the table, or a peer that says
/// that it has newer ones.
#[derive(Debug)]
pub struct SettingsFeed {
    /// The settings in force, for the daemon's other tasks.
    pub current: CurrentSettings,
    heads: HeadWatch,
    link: PeerLink,
    platform: Platform,
    config: DaemonConfig,
}

impl SettingsFeed {
    fn new(
        config: &DaemonConfig,
        shelf: CurrentSettings,
        link: PeerLink,
        platform: Platform,
    ) -> Self {
        let heads = HeadWatch::new(
            config.name.clone(),
            config.hall.clone(),
            config.periods.head_ms,
        );
        Self {
            current: shelf,
            heads,
            link,
            platform,
            config: config.clone(),
        }
    }

    /// Reads the table if it is this daemon's turn, and hands newer settings
    /// to `take`.
    pub fn tick(&mut self, now: Millis, take: impl FnOnce(Arc<Tree>) + Send + 'static) {
        if !self.heads.is_due(now) {
            return;
        }
        let (platform, shelf) = (self.platform.clone(), self.current.clone());
        tokio::spawn(async move {
            if let Some(tree) = from_platform(&platform, &shelf).await {
                take(tree);
            }
        });
    }

    /// Notes which revision a peer has, and asks it for newer settings.
    pub fn receive_head(
        &mut self,
        from: &NodeId,
        revision: u64,
        now: Millis,
        take: impl FnOnce(Arc<Tree>) + Send + 'static,
    ) {
        let Some(peer) = self.config.peers.iter().find(|p| p.name == *from) else {
            return;
        };
        self.heads.heard(peer, now);
        if revision <= self.current.revision() || !self.heads.may_fetch(now) {
            return;
        }
        let (link, shelf, address) = (self.link.clone(), self.current.clone(), peer.peer);
        tokio::spawn(async move {
            if let Some(tree) = from_peer(&link, address, &shelf).await {
                take(tree);
            }
        });
    }
}
