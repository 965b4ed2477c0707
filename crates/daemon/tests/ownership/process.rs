//! Daemon processes that are suspended with SIGSTOP and resumed with SIGCONT.

use std::path::PathBuf;

use basilramp_fakes::cluster::Options;
use basilramp_fakes::{Cluster, Launcher};
use basilramp_wire::record::InstanceState;

use crate::support::{lease_row, owned_by_preferred, partition_owners, wait_until};

const INSTANCE_IDS: [&str; 3] = ["i0", "i1", "i2"];

#[tokio::test(flavor = "multi_thread")]
async fn frozen_daemon_loses_its_partitions_and_rejoins_after_it_resumes() {
    let launcher = Launcher {
        program: PathBuf::from(env!("CARGO_BIN_EXE_basilrampd")),
        arguments: Vec::new(),
    };
    let options = Options::new(launcher, INSTANCE_IDS.len());
    let cluster = Cluster::start(options)
        .await
        .expect("the deployment starts");
    let platform = &cluster.platform;
    wait_until("three instances to own their partitions", || {
        owned_by_preferred(platform, &INSTANCE_IDS)
    })
    .await;
    let frozen = cluster.instances[2]
        .process
        .as_ref()
        .expect("the instance is running");
    frozen.freeze().expect("SIGSTOP is sent");
    wait_until("the takeover of the partitions", || {
        owned_by_preferred(platform, &["i0", "i1"])
    })
    .await;
    let fenced = platform
        .row("instance", "i2")
        .expect("the lease row exists");
    assert_eq!(lease_row(platform, "i2").state, InstanceState::Fenced);
    assert_eq!(lease_row(platform, "i2").incarnation, 1);
    frozen.thaw().expect("SIGCONT is sent");
    wait_until("the instance to join as its second incarnation", || {
        lease_row(platform, "i2").incarnation == 2
    })
    .await;
    // The lease row was written only by the second incarnation since.
    let rejoined = platform
        .row("instance", "i2")
        .expect("the lease row exists");
    assert!(rejoined.version > fenced.version);
    wait_until("three instances to own their partitions again", || {
        owned_by_preferred(platform, &INSTANCE_IDS)
    })
    .await;
    let rows = partition_owners(platform).expect("every partition is owned");
    let mut regained = rows.values().filter(|row| row.owner == "i2");
    assert!(regained.all(|row| row.incarnation == 2));
    for id in ["i0", "i1"] {
        assert_eq!(lease_row(platform, id).incarnation, 1, "{id}");
    }
}
