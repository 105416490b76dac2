//! Prepares a cluster before any process starts. All addresses are allocated first, because each scheduler's
//! configuration contains the addresses of the others; then the files are written.

use super::Options;
use super::context::Context;
use super::datagrams::DatagramProxy;
use super::network::Network;
use super::role_monitor::RoleMonitor;
use super::runtime::Runtime;
use super::scheduler_config::configuration;
use super::sources::{DatagramRoute, Sources};
use super::supervisor::{Files, ProcessSupervisor, ReservedAddresses};
use crate::scenario::{Node, Scenario};
use crate::stand_ins::clients::ClientPopulation;
use crate::stand_ins::front_proxy::FrontProxy;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Admin address of a duplicate process: any free port, because the primary process has the scheduler's own
/// one.
const DUPLICATE_ADMIN_ADDRESS: &str = "127.0.0.1:0";

/// Opens the cluster's sockets and writes its configuration files to `run_dir`.
pub fn build<'a>(
    scenario: &'a Scenario,
    options: &Options,
    sources: Sources,
    run_dir: &Path,
) -> io::Result<Context<'a>> {
    let reserved: io::Result<Vec<ReservedAddresses>> =
        (0..scenario.schedulers).map(|_| ReservedAddresses::new()).collect();
    let program = options.program.clone();
    let mut context = Context {
        scenario,
        runtime: Runtime::new(scenario.seed, sources),
        network: Network::default(),
        datagrams: DatagramProxy::default(),
        roles: RoleMonitor::default(),
        supervisor: ProcessSupervisor::new(program, scenario.descriptors, reserved?),
        clients: ClientPopulation::new(scenario),
        front_proxy: FrontProxy::new(scenario),
    };
    open_sockets(&mut context)?;
    let links = open_links(&mut context)?;
    for (scheduler, links) in links.iter().enumerate() {
        let files = write_files(&context, run_dir, scheduler, links)?;
        context.supervisor.set_files(scheduler, files);
    }
    Ok(context)
}

/// Opens the proxy's sockets at which each scheduler reaches the other schedulers (by datagram), the workers
/// and discovery.
fn open_sockets(context: &mut Context) -> io::Result<()> {
    let Context { scenario, runtime, network, datagrams, .. } = context;
    for from in 0..scenario.schedulers {
        let others = (0..scenario.schedulers).filter(|&to| to != from);
        for to in others.map(Some).chain([None]) {
            datagrams.open(runtime, DatagramRoute { from, to })?;
        }
        for remote_node in (0..scenario.workers).map(Node::Worker).chain([Node::Discovery]) {
            network.add_listener(runtime, from, remote_node)?;
        }
    }
    Ok(())
}

/// Returns the `links` addresses for each scheduler's operations file. Of two schedulers, the one with the
/// lower number connects to the other: its file contains the address of the proxy's listener, and the other's
/// file the real port.
fn open_links(context: &mut Context) -> io::Result<Vec<Vec<SocketAddr>>> {
    let count = context.scenario.schedulers;
    let own: Vec<SocketAddr> = (0..count).map(|number| context.supervisor.addresses(number).links).collect();
    let mut links = vec![own; count];
    if context.scenario.failover.is_none() {
        return Ok(links);
    }
    for (number, links) in links.iter_mut().enumerate() {
        for (other, link) in links.iter_mut().enumerate().skip(number + 1) {
            *link = context.network.add_listener(&mut context.runtime, number, Node::Scheduler(other))?;
        }
    }
    Ok(links)
}

fn write_files(
    context: &Context,
    run_dir: &Path,
    scheduler: usize,
    links: &[SocketAddr],
) -> io::Result<Files> {
    let files = Files {
        config: run_dir.join(format!("scheduler-{scheduler}.json")),
        duplicate_config: run_dir.join(format!("scheduler-{scheduler}-duplicate.json")),
        operations: write_operations(context.scenario, run_dir, scheduler, links)?,
    };
    let mut config = configuration(context, scheduler)?;
    std::fs::write(&files.config, config.to_string())?;
    config["control"] = json!(DUPLICATE_ADMIN_ADDRESS);
    std::fs::write(&files.duplicate_config, config.to_string())?;
    Ok(files)
}

/// Writes the operations file, if the scenario needs one.
fn write_operations(
    scenario: &Scenario,
    run_dir: &Path,
    scheduler: usize,
    links: &[SocketAddr],
) -> io::Result<Option<PathBuf>> {
    let mut text = scenario.operations.clone().unwrap_or_default();
    if let Some(keys) = &scenario.failover {
        let links: Vec<String> = links.iter().map(|link| format!("\"{link}\"")).collect();
        text.push_str(&format!("[handover]\non = true\nlinks = [{}]\n{keys}", links.join(", ")));
    }
    if text.is_empty() {
        return Ok(None);
    }
    let path = run_dir.join(format!("operations-{scheduler}.toml"));
    std::fs::write(&path, text)?;
    Ok(Some(path))
}
