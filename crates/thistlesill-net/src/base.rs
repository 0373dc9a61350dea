//! The components that all daemons start with: the peer link, the settings feed, the operators'
//! interface and the event timeline.

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
use crate::sync::{CurrentSettings, HeadSchedule, fetch_from_peer, fetch_from_platform};

/// Accepted peer messages that may wait for the event loop.
const PEER_QUEUE_LENGTH: usize = 1_024;
/// Operators' requests that may wait for the event loop.
const ADMIN_QUEUE_LENGTH: usize = 64;

/// The running components that a daemon's event loop uses.
#[derive(Debug)]
pub struct Base {
    /// The event timeline.
    pub journal: Journal,
    /// Sends messages to the peers.
    pub link: PeerLink,
    /// Receives the peers' messages.
    pub datagrams: mpsc::Receiver<PeerMessage>,
    /// Receives the operators' requests.
    pub admin_requests: mpsc::Receiver<AdminRequest>,
    /// Fetches new settings.
    pub feed: SettingsFeed,
    /// The client of the platform.
    pub platform: Platform,
}

/// Starts the components that all daemons share, and their tasks.
///
/// # Errors
///
/// [`PeerError::Io`] if the address for peers cannot be bound.
pub async fn start(config: &DaemonConfig, secrets: &Secrets) -> Result<Base, PeerError> {
    let (admin_sender, admin_requests) = mpsc::channel(ADMIN_QUEUE_LENGTH);
    let (message_sender, datagrams) = mpsc::channel(PEER_QUEUE_LENGTH);
    let journal = Journal::new(config.name.clone(), config.limits.events);
    let current = CurrentSettings::default();
    let key = secrets.key.clone();
    let link = PeerLink::bind(config.name.clone(), config.peer, key, journal.clone()).await?;
    tokio::spawn(link.clone().listen(message_sender));
    spawn_peer_server(config, secrets, current.clone());
    spawn_admin(config, secrets, admin_sender, journal.clone());
    journal.record(TimelineEvent::Started);
    let platform = Platform::new(config.platform);
    Ok(Base {
        feed: SettingsFeed::new(config, current, link.clone(), platform.clone()),
        journal,
        link,
        datagrams,
        admin_requests,
        platform,
    })
}

fn spawn_peer_server(config: &DaemonConfig, secrets: &Secrets, current: CurrentSettings) {
    let serve = peer::serve(config.peer, secrets.key.clone(), move |request| {
        current.reply(&request)
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
    requests: mpsc::Sender<AdminRequest>,
    journal: Journal,
) {
    let admin = Admin {
        requests,
        token_sha256: secrets.token_sha256.clone(),
        journal,
        metrics: admin::install_metrics(),
    };
    tokio::spawn(admin::serve(config.admin, admin.router()));
}

/// Fetches new settings from the platform's table, or from a peer that announces a newer revision.
#[derive(Debug)]
pub struct SettingsFeed {
    /// The settings in force, shared with the daemon's other tasks.
    pub current: CurrentSettings,
    schedule: HeadSchedule,
    link: PeerLink,
    platform: Platform,
    config: DaemonConfig,
}

impl SettingsFeed {
    fn new(
        config: &DaemonConfig,
        current: CurrentSettings,
        link: PeerLink,
        platform: Platform,
    ) -> Self {
        let schedule = HeadSchedule::new(
            config.name.clone(),
            config.hall.clone(),
            config.periods.head_ms,
        );
        Self {
            current,
            schedule,
            link,
            platform,
            config: config.clone(),
        }
    }

    /// Reads the table if a read is due, and passes newer settings to `on_update`.
    pub fn tick(&mut self, now: Millis, on_update: impl FnOnce(Arc<Tree>) + Send + 'static) {
        if !self.schedule.is_due(now) {
            return;
        }
        let (platform, current) = (self.platform.clone(), self.current.clone());
        tokio::spawn(async move {
            if let Some(tree) = fetch_from_platform(&platform, &current).await {
                on_update(tree);
            }
        });
    }

    /// Records that a peer announced its revision, and fetches the settings from the peer if they
    /// are newer; ignores an unknown peer.
    pub fn receive_head(
        &mut self,
        from: &NodeId,
        revision: u64,
        now: Millis,
        on_update: impl FnOnce(Arc<Tree>) + Send + 'static,
    ) {
        let Some(peer) = self.config.peers.iter().find(|p| p.name == *from) else {
            return;
        };
        self.schedule.record_peer(peer, now);
        if revision <= self.current.revision() || !self.schedule.may_fetch(now) {
            return;
        }
        let (link, current, address) = (self.link.clone(), self.current.clone(), peer.peer);
        tokio::spawn(async move {
            if let Some(tree) = fetch_from_peer(&link, address, &current).await {
                on_update(tree);
            }
        });
    }
}
