//! Daemons that the operating system stops and continues.

use std::path::PathBuf;

use basilramp_fakes::cluster::Options;
use basilramp_fakes::{Cluster, Launcher};
use basilramp_wire::record::InstanceState;

use crate::support::{lease, owners, settled, until};

const IDS: [&str; 3] = ["i0", "i1", "i2"];

#[tokio::test(flavor = "multi_thread")]
async fn frozen_daemon_loses_its_partitions_and_joins_again_once_thawed() {
    let launcher = Launcher {
        program: PathBuf::from(env!("CARGO_BIN_EXE_basilrampd")),
        arguments: Vec::new(),
    };
    let options = Options::new(launcher, IDS.len());
    let cluster = Cluster::start(options).await.expect("a deployment");
    let platform = &cluster.platform;
    until("a third each", || settled(platform, &IDS)).await;
    let frozen = cluster.instances[2].process.as_ref().expect("it runs");
    frozen.freeze().expect("frozen");
    until("the takeover", || settled(platform, &["i0", "i1"])).await;
    let fenced = platform.row("instance", "i2").expect("a lease row");
    assert_eq!(lease(platform, "i2").state, InstanceState::Fenced);
    assert_eq!(lease(platform, "i2").incarnation, 1);
    frozen.thaw().expect("thawed");
    until("another incarnation", || {
        lease(platform, "i2").incarnation == 2
    })
    .await;
    // Nothing that the first incarnation sent has touched its row since.
    let rejoined = platform.row("instance", "i2").expect("a lease row");
    assert!(rejoined.version > fenced.version);
    until("a third each again", || settled(platform, &IDS)).await;
    let rows = owners(platform).expect("all owned");
    let mut regained = rows.values().filter(|row| row.owner == "i2");
    assert!(regained.all(|row| row.incarnation == 2));
    for id in ["i0", "i1"] {
        assert_eq!(lease(platform, id).incarnation, 1, "{id}");
    }
}
