//! Membership in this program: decides whether this gatherer takes part, and passes changes of members to the core, the
//! log and the records. Also the `members` sub-command, which prints the members that a running gatherer knows. The
//! protocol is in [`crate::membership`], its sockets are in [`crate::transport::membership`].

use super::errors::with_context;
use super::operator::MembershipSettings;
use super::recording::Recording;
use crate::membership::{MemberChange, MemberState, MemberUpdate, Node, NodeConfig};
use crate::protocol::gossip::ClusterKey;
use crate::protocol::http;
use crate::records::record::RecordBody;
use crate::routing::{Broker, Clock};
use crate::transport::membership::{MembershipObserver, MembershipTransport};
use bytes::BytesMut;
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Time-out of connecting to an operators' API, and of each read from it.
const OPERATOR_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Path of the operators' call that lists the members.
const MEMBERS_PATH: &str = "/-/members";
/// Largest list of members that is read, in bytes.
const MAX_MEMBERS_BODY_BYTES: usize = 64 * http::MAX_BODY_BYTES;

/// Passes changes of members to the core, the log and the records.
struct MemberChanges {
    broker: Broker,
    recording: Recording,
}

impl MembershipObserver for MemberChanges {
    fn on_member_change(&self, change: &MemberChange) {
        log::info!("members: {} is {}", change.name, change.state);
        let (member, process) = (change.name.clone(), change.start);
        self.recording.record(RecordBody::Member { member, process, state: change.state });
    }
    fn on_fleet_size(&self, count: u32) {
        log::info!("members: {count} gatherers share the fleet");
        self.broker.with_core(|core| core.set_fleet_size(count));
    }
}

/// Creates the membership transport of this gatherer. `None` if the operator's file has no section `membership`, if the
/// settings forbid gossip, or if the platform carries the datagrams between gatherers (`peer_datagrams`).
#[must_use]
pub fn new_transport(
    settings: Option<&MembershipSettings>,
    peer_datagrams: bool,
    name: &str,
    broker: &Broker,
    clock: Clock,
    recording: &Recording,
) -> Option<Rc<MembershipTransport>> {
    let settings = settings?;
    let (configured_fleet_size, zone, may_gossip) = broker.with_core(|core| {
        let contracts = core.contracts();
        let zone = contracts.zones.get(contracts.settings.zone.0 as usize).cloned();
        (contracts.settings.fleet_size, zone.unwrap_or_default(), contracts.limits.may_gossip)
    });
    if !may_gossip {
        log::warn!(
            "membership stays off: the settings forbid gossip between gatherers, key=allowed.may-tell"
        );
        return None;
    }
    // Membership needs datagrams of up to 1,200 bytes, and connections between gatherers: such a platform has neither.
    if peer_datagrams {
        log::warn!(
            "membership stays off: the platform carries datagrams between gatherers, of at most 256 bytes, \
             key=peer_listen"
        );
        return None;
    }
    let own = MemberUpdate {
        name: name.to_owned(),
        start: clock.now().0,
        incarnation: 0,
        address: settings.advertise.unwrap_or(settings.listen),
        zone,
        state: MemberState::Alive,
    };
    let max_members = settings.max_members;
    let config = NodeConfig {
        own,
        seeds: settings.seeds.clone(),
        timing: settings.timing(),
        configured_gatherers: configured_fleet_size,
        max_members,
        random_seed: fastrand::u64(..),
    };
    let node = Node::new(clock.now(), config);
    let cluster_key = ClusterKey::new(&settings.cluster, &settings.secret);
    let observer = MemberChanges { broker: broker.clone(), recording: recording.clone() };
    Some(MembershipTransport::new(node, cluster_key, clock, settings.listen, max_members, Box::new(observer)))
}

/// Requests the members from a gatherer's operators' API, and returns the JSON as received if `json` is set, else a
/// table.
///
/// # Errors
/// The call failed or timed out, its status is not 200, or the response is no JSON.
pub fn list(operator: SocketAddr, json: bool) -> io::Result<String> {
    let text = fetch_members(operator).map_err(with_context(format!("GET {MEMBERS_PATH} of {operator}")))?;
    if json {
        return Ok(text);
    }
    let view: Value = serde_json::from_str(&text).map_err(|error| {
        io::Error::other(format!("the members that {operator} sent are no JSON: {error}"))
    })?;
    Ok(member_table(&view))
}

/// Requests the members from an operators' API, and returns the body of the response.
fn fetch_members(operator: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&operator, OPERATOR_CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(OPERATOR_CALL_TIMEOUT))?;
    stream.write_all(&http::encode_request("GET", MEMBERS_PATH, &operator.to_string(), None))?;
    let (mut buffer, mut chunk) = (BytesMut::new(), [0; 4096]);
    let response = loop {
        let parsed = http::take_response(&mut buffer, MAX_MEMBERS_BODY_BYTES)
            .map_err(|error| io::Error::other(format!("invalid HTTP response: {error}")))?;
        if let Some(response) = parsed {
            break response;
        }
        match stream.read(&mut chunk)? {
            0 => {
                let reason = "the connection closed before the end of the response";
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, reason));
            }
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    };
    let text = String::from_utf8_lossy(&response.body).into_owned();
    if response.status != 200 {
        return Err(io::Error::other(format!(
            "status {}, expected 200: {}",
            response.status,
            text.trim_end()
        )));
    }
    Ok(text)
}

/// Formats the members as a table for the terminal.
fn member_table(view: &Value) -> String {
    let mut summary = format!("{} gatherers share the fleet", view["gatherers"]);
    if view["alone"] == true {
        summary += "; this one receives nothing from any other and declares none dead";
    }
    let header =
        format!("{:24} {:12} {:9} {:>10} {:>10}  address", "name", "zone", "state", "since", "last seen");
    let mut lines = vec![summary, header, member_row(&view["own"])];
    lines.extend(view["members"].as_array().into_iter().flatten().map(member_row));
    let refused = view["refused"].as_object().into_iter().flatten();
    lines.extend(refused.map(|(reason, count)| format!("not taken, {reason}: {count}")));
    lines.join("\n") + "\n"
}

/// Formats a member as a row of the table; `-` stands for a value that the response lacks.
fn member_row(member: &Value) -> String {
    let text = |key: &str| member[key].as_str().unwrap_or("-").to_owned();
    let age = |key: &str| member[key].as_f64().map_or("-".to_owned(), |age| format!("{age:.1} s"));
    let (name, zone, state) = (text("name"), text("zone"), text("state"));
    let (since, last_seen) = (age("since_s"), age("heard_s"));
    format!("{name:24} {zone:12} {state:9} {since:>10} {last_seen:>10}  {}", text("address"))
}
