//! Membership in this program: what it is told of others goes to the core, the log and the records; what operators ask of
//! it is printed.

use super::operator::Membership;
use super::recording::Recording;
use crate::membership::{MemberChange, MemberState, MemberUpdate, Node};
use crate::protocol::gossip::ClusterKey;
use crate::protocol::http;
use crate::records::record::RecordBody;
use crate::routing::{Broker, Clock};
use crate::transport::membership::{MembershipObserver, MembershipTransport};
use bytes::BytesMut;
use serde_json::Value;
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// How long an operator's call may take.
const CALL: Duration = Duration::from_secs(2);

struct Told {
    broker: Broker,
    recording: Recording,
}

impl MembershipObserver for Told {
    fn on_member_change(&self, change: &MemberChange) {
        log::info!("members: {} is {}", change.name, format!("{:?}", change.state).to_lowercase());
        let (member, process) = (change.name.clone(), change.start);
        self.recording.record(RecordBody::Member { member, process, state: change.state });
    }
    fn on_fleet_size(&self, count: u32) {
        log::info!("members: {count} gatherers share the fleet");
        self.broker.with_core(|core| core.set_fleet_size(count));
    }
}

/// This gatherer as a member, if its operators want that, its settings allow it, and the platform has no path of its own
/// between gatherers.
pub fn begin(
    wanted: Option<&Membership>,
    peer_datagrams: bool,
    name: &str,
    broker: &Broker,
    clock: Clock,
    recording: &Recording,
) -> Option<Rc<MembershipTransport>> {
    let wanted = wanted?;
    let (stated, zone, may_tell) = broker.with_core(|core| {
        let contracts = core.contracts();
        let zone = contracts.zones.get(contracts.settings.zone.0 as usize).cloned();
        (contracts.settings.fleet_size, zone.unwrap_or_default(), contracts.limits.may_gossip)
    });
    if !may_tell {
        log::warn!("membership stays off: the settings do not allow gatherers to talk (allowed.may-tell)");
        return None;
    }
    // Guards against datagrams of up to 1,200 bytes, and connections, where neither is allowed.
    if peer_datagrams {
        log::warn!(
            "membership stays off: the platform carries datagrams of 256 bytes between gatherers and nothing else (peer_listen)"
        );
        return None;
    }
    let own = MemberUpdate {
        name: name.to_owned(),
        start: clock.now().0,
        incarnation: 0,
        address: wanted.advertise.unwrap_or(wanted.listen),
        zone,
        state: MemberState::Alive,
    };
    let (seeds, most) = (wanted.seeds.clone(), wanted.most);
    let node = Node::new(clock.now(), own, seeds, wanted.timing(), stated, most, fastrand::u64(..));
    let seal = ClusterKey::new(&wanted.cluster, &wanted.secret);
    let told = Told { broker: broker.clone(), recording: recording.clone() };
    Some(MembershipTransport::new(node, seal, clock, wanted.listen, most, Box::new(told)))
}

/// Asks a gatherer's operators' address who is there; the answer as it came, or as a table.
pub fn ask(operator: SocketAddr, json: bool) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&operator, CALL)?;
    stream.set_read_timeout(Some(CALL))?;
    stream.write_all(&http::encode_request("GET", "/-/members", &operator.to_string(), None))?;
    let (mut buffer, mut bytes) = (BytesMut::new(), [0; 4096]);
    let response = loop {
        let taken = http::take_response(&mut buffer, 64 * http::MAX_BODY_BYTES)
            .map_err(|error| io::Error::other(error.to_string()))?;
        if let Some(response) = taken {
            break response;
        }
        match stream.read(&mut bytes)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => buffer.extend_from_slice(&bytes[..count]),
        }
    };
    let text = String::from_utf8_lossy(&response.body).into_owned();
    if response.status != 200 {
        return Err(io::Error::other(text));
    }
    if json {
        return Ok(text);
    }
    let view: Value = serde_json::from_str(&text)?;
    Ok(table(&view))
}

/// The answer for a person.
fn table(view: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    let age = |value: &Value| value.as_f64().map_or("-".to_owned(), |age| format!("{age:.1} s"));
    let mut out = format!("{} gatherers share the fleet", view["gatherers"]);
    if view["alone"] == true {
        out += "; this one hears nobody and buries nobody";
    }
    let _ =
        writeln!(out, "\n{:24} {:12} {:9} {:>10} {:>10}  address", "name", "zone", "state", "since", "heard");
    let others = view["members"].as_array().into_iter().flatten();
    for row in std::iter::once(&view["own"]).chain(others) {
        let (name, zone, state) = (text(&row["name"]), text(&row["zone"]), text(&row["state"]));
        let (since, heard) = (age(&row["since_s"]), age(&row["heard_s"]));
        let _ =
            writeln!(out, "{name:24} {zone:12} {state:9} {since:>10} {heard:>10}  {}", text(&row["address"]));
    }
    for (why, count) in view["refused"].as_object().into_iter().flatten() {
        let _ = writeln!(out, "not taken, {why}: {count}");
    }
    out
}
