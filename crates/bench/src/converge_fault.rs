//! Faults that are injected while versions converge.

use crate::converge::{Experiment, PHASE_DURATION};
use crate::error::Error;
use crate::node;
use rustix::process::Signal;
use std::str::FromStr;

/// Number of rounds, in each of which the fault is injected once.
const ROUNDS: usize = 4;

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The platform answers no calls for a while; a version is proposed right after the outage.
    PlatformOutage,
    /// All roots of a zone are killed right before a version is proposed.
    RootsKilled,
    /// A zone is cut off from the platform, but not from the other zones.
    Partition,
    /// All nodes of a zone are killed and started again right before a version is proposed.
    ZoneRestart,
}

impl Fault {
    /// Returns whether the fault kills nodes; the byte counters of a killed node are lost.
    pub(crate) fn kills_nodes(self) -> bool {
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
            _ => {
                Err("expected platform-outage, roots-killed, partition or herd-restart".to_owned())
            }
        }
    }
}

impl Experiment {
    /// Injects the fault in several rounds, each followed by a proposal.
    pub(crate) async fn run_fault_rounds(&mut self, fault: Fault) -> Result<(), Error> {
        for round in 0..ROUNDS {
            let zone = format!("zone-{}", round % self.options.zones + 1);
            let mut killed = Vec::new();
            match fault {
                Fault::PlatformOutage => {
                    self.set_platform_down(true).await?;
                    tokio::time::sleep(PHASE_DURATION).await;
                    self.set_platform_down(false).await?;
                }
                Fault::Partition => {
                    self.platform_relay.set_stalled(true);
                    // Long enough for watches to time out and leases to expire.
                    tokio::time::sleep(PHASE_DURATION + PHASE_DURATION / 2).await;
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
            self.platform_relay.set_stalled(false);
            tokio::time::sleep(PHASE_DURATION).await;
        }
        Ok(())
    }

    async fn set_platform_down(&self, is_down: bool) -> Result<(), Error> {
        let fault = format!("{{\"down\": {is_down}}}");
        self.deployment.set_platform_fault(&fault).await?;
        Ok(())
    }

    /// Kills all nodes of a zone, or only the roots of the zone. Returns the indexes of the killed
    /// nodes.
    async fn kill(&mut self, zone: &str, only_roots: bool) -> Result<Vec<usize>, Error> {
        let mut killed = Vec::new();
        for (index, vm) in self.deployment.vms.iter().enumerate() {
            if vm.spec.zone == zone {
                let status = node::read_status(vm).await?;
                if !only_roots || status.distribution.path.len() == 1 {
                    killed.push(index);
                }
            }
        }
        // Signals all nodes before reaping the first, so that they die at the same time.
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
