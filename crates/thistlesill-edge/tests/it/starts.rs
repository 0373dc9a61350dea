//! A daemon comes to know the targets however early it starts.

use crate::support::{ask, early_world, read, stream};

#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_read_an_empty_store_follow_the_targets_that_come() {
    // Five daemons in two data centres: some read the store for others, and the
    // others hear of the targets from them alone.
    let world = early_world(26, 5).await;
    for daemon in 0..5 {
        let plain = ask(&world, daemon, read(&format!("plain-{daemon}"))).await;
        assert_eq!(plain.status, 200, "daemon {daemon}");
        let model = ask(&world, daemon, stream(&format!("model-{daemon}"))).await;
        assert_eq!(model.status, 200, "daemon {daemon}");
    }
}
