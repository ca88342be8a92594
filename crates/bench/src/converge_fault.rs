//! What goes wrong while versions converge.

use crate::converge::{Experiment, SETTLE};
use crate::error::Error;
use crate::node;
use rustix::process::Signal;
use std::str::FromStr;

/// Rounds of a fault.
const ROUNDS: usize = 4;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The platform answers nobody for a while; the version comes right after.
    PlatformOutage,
    /// All roots of a zone are killed right before the version.
    RootsKilled,
    /// A zone is cut from the platform, not from the other zones.
    Partition,
    /// All nodes of a zone are killed and started again right before the version.
    ZoneRestart,
}

impl Fault {
    /// Tells whether it ends processes, whose counts of bytes end with them.
    pub(crate) fn ends_nodes(self) -> bool {
        matches!(self, Self::RootsKilled | Self::ZoneRestart)
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "platform-outage" => Ok(Self::PlatformOutage),
            "roots-killed" => Ok(Self::RootsKilled),
            "partition" => Ok(Self::Partition),
            "herd-restart" => Ok(Self::ZoneRestart),
            _ => Err("want platform-outage, roots-killed, partition or herd-restart".to_owned()),
        }
    }
}

impl Experiment {
    /// Lets the fault happen, round after round, each with a version right after.
    pub(crate) async fn suffer(&mut self, fault: Fault) -> Result<(), Error> {
        for round in 0..ROUNDS {
            let zone = format!("zone-{}", round % self.plot.zones + 1);
            let mut killed = Vec::new();
            match fault {
                Fault::PlatformOutage => {
                    self.set_down(true).await?;
                    tokio::time::sleep(SETTLE).await;
                    self.set_down(false).await?;
                }
                Fault::Partition => {
                    self.cut.set_stalled(true);
                    // Long enough for watches to be given up and leases to lapse.
                    tokio::time::sleep(SETTLE + SETTLE / 2).await;
                }
                Fault::RootsKilled => killed = self.kill(&zone, true).await?,
                Fault::ZoneRestart => {
                    killed = self.kill(&zone, false).await?;
                    self.restart(&killed).await?;
                }
            }
            self.propose_next().await?;
            if let Err(error) = self.wait_version().await {
                eprintln!("round {round}: {error}");
                self.not_converged += 1;
            }
            if fault == Fault::RootsKilled {
                self.restart(&killed).await?;
            }
            self.cut.set_stalled(false);
            tokio::time::sleep(SETTLE).await;
        }
        Ok(())
    }

    async fn set_down(&self, is_down: bool) -> Result<(), Error> {
        let fault = format!("{{\"down\": {is_down}}}");
        self.deployment.set_platform_fault(&fault).await?;
        Ok(())
    }

    /// Kills the nodes of a zone, or its roots alone.
    async fn kill(&mut self, zone: &str, roots: bool) -> Result<Vec<usize>, Error> {
        let mut killed = Vec::new();
        for (index, vm) in self.deployment.vms.iter().enumerate() {
            if vm.spec.zone == zone {
                let status = node::read_status(vm).await?;
                if !roots || status.distribution.path.len() == 1 {
                    killed.push(index);
                }
            }
        }
        // All signals first, so that they die as one.
        for index in &killed {
            self.deployment.vms[*index].node.signal(Signal::KILL)?;
        }
        for index in &killed {
            self.deployment.vms[*index].node.kill()?;
        }
        Ok(killed)
    }

    async fn restart(&mut self, killed: &[usize]) -> Result<(), Error> {
        for index in killed {
            self.deployment.vms[*index].restart_node()?;
        }
        for index in killed {
            self.announce(*index).await?;
        }
        Ok(())
    }
}
