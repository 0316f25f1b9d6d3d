//! A stand-in worker: serves the parts of each frame with a value that clients can check, and rejects, fails
//! or resets at random. It reports each part on standard output as a line
//! `part RECEIVED_US REQUEST SHARD TIME_LEFT_MS EXECUTED`, which `worker_process` reads.

use crate::connect_delay::DelayingListener;
use crate::monotonic::now_us;
use crate::runtime;
use fastrand::Rng;
use std::io::Write;
use std::ops::Range;
use std::process::ExitCode;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Longest frame that a worker accepts.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Longest idle time-out of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Fraction of parts that are rejected.
const REJECTED_SHARE: f64 = 0.02;
/// Fraction of parts that fail.
const FAILED_SHARE: f64 = 0.02;
/// A part whose random number in 0..1 is above this closes the connection.
const RESET_ABOVE: f64 = 0.995;
/// Service time of a part, in microseconds.
const SERVICE_US: Range<u64> = 1000..12_000;
/// Drawn service times from this one on, in microseconds, stand for [`LONG_SERVICE`]: one of a hundred.
const LONG_SERVICE_ABOVE_US: u64 = 11_890;
/// Service time of a heavy part.
const LONG_SERVICE: Duration = Duration::from_millis(1200);
/// First byte of a frame that holds a call.
const CALL_FRAME: u8 = b'm';
/// Fraction of responses that are written in two pieces.
const SPLIT_SHARE: f64 = 0.02;
/// Time between the two pieces.
const SPLIT_PAUSE: Duration = Duration::from_millis(2);

/// The value in the response to the part of this id, by which clients check responses.
pub fn value(id: &str) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(id.as_bytes()))
}

/// A part of a call.
pub struct Part {
    /// Id of the part, `REQUEST.SHARD`.
    pub id: String,
    shard: u32,
    time_left_ms: u64,
}

/// A worker's treatment of a part.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    /// The part is rejected without being executed.
    Reject,
    /// The part is executed, and the response reports a failure.
    Fail,
    /// The part is executed, and the response holds its value.
    Serve,
    /// The part is executed, and the connection ends with other calls in flight.
    Reset,
}

impl Behaviour {
    fn draw(random: &mut Rng) -> Behaviour {
        match random.f64() {
            drawn if drawn < REJECTED_SHARE => Behaviour::Reject,
            drawn if drawn < REJECTED_SHARE + FAILED_SHARE => Behaviour::Fail,
            drawn if drawn > RESET_ABOVE => Behaviour::Reset,
            _ => Behaviour::Serve,
        }
    }
}

/// Listens on this address and serves until the process is killed.
pub fn serve(seed: u64, listen: &str) -> ExitCode {
    runtime::block_on(async {
        let listener = TcpListener::bind(listen).await.expect("the worker's address is free");
        let listener = DelayingListener::new(listener).expect("the signal handlers are installed");
        let mut random = Rng::with_seed(seed);
        loop {
            // Fails if the connection ended before it was accepted; others are not affected.
            let Ok(stream) = listener.accept().await else { continue };
            let random = random.fork();
            spawn_local(async move {
                // An error ends only this connection.
                let _ = serve_connection(stream, random).await;
            });
        }
    })
}

async fn serve_connection(stream: TcpStream, mut random: Rng) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut read, write) = stream.into_split();
    let (responses, queue) = mpsc::unbounded_channel();
    // A write fails only if the connection has ended, which the loop below notices too.
    spawn_local(write_responses(write, queue, random.fork()));
    // Connections have random idle time-outs, so that some closes cross a frame in transit.
    let idle = IDLE_TIMEOUT.mul_f64(0.1 + 0.9 * random.f64());
    loop {
        let Ok(frame) = tokio::time::timeout(idle, read_frame(&mut read)).await else { return Ok(()) };
        let frame = frame?;
        let received_at = now_us();
        if frame.first() != Some(&CALL_FRAME) {
            continue;
        }
        for part in parse_parts(&frame[1..]) {
            let behaviour = Behaviour::draw(&mut random);
            report_part(received_at, &part, behaviour != Behaviour::Reject);
            if behaviour == Behaviour::Reset {
                return Ok(());
            }
            let service = draw_service_time(&mut random);
            let response = encode_response(&part.id, behaviour, service);
            let responses = responses.clone();
            spawn_local(async move {
                tokio::time::sleep(service).await;
                // Fails only if the connection has ended.
                let _ = responses.send(response);
            });
        }
    }
}

/// Draws the service time of a part. A few parts take so long that their query outlasts a repeat window.
fn draw_service_time(random: &mut Rng) -> Duration {
    let drawn_us = random.u64(SERVICE_US);
    if drawn_us >= LONG_SERVICE_ABOVE_US { LONG_SERVICE } else { Duration::from_micros(drawn_us) }
}

/// Encodes the response to a part, as a frame of the worker protocol without its length.
fn encode_response(id: &str, behaviour: Behaviour, service: Duration) -> String {
    let (result, value) = match behaviour {
        Behaviour::Reject => ("later", String::new()),
        Behaviour::Fail => ("bad", String::new()),
        Behaviour::Serve | Behaviour::Reset => ("good", value(id)),
    };
    format!("q{id} {result} {} util=0.1,queue=0\n{value}", service.as_micros())
}

/// Reads the next frame, without its length.
pub async fn read_frame(read: &mut OwnedReadHalf) -> std::io::Result<Vec<u8>> {
    let length = read.read_u32_le().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; length];
    read.read_exact(&mut frame).await?;
    Ok(frame)
}

/// Parses the parts of a call: each is a line `ID SHARD LIST LENGTH`, followed by LENGTH bytes.
pub fn parse_parts(mut rest: &[u8]) -> Vec<Part> {
    let mut parts = Vec::new();
    while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
        let line = String::from_utf8_lossy(&rest[..end]).into_owned();
        let words: Vec<&str> = line.split(' ').collect();
        let [id, shard, list, length] = words[..] else { break };
        let time_left_ms =
            list.split(',').find_map(|pair| pair.strip_prefix("d=")).and_then(|ms| ms.parse().ok());
        let length: usize = length.parse().unwrap_or(0);
        parts.push(Part {
            id: id.to_owned(),
            shard: shard.parse().unwrap_or(u32::MAX),
            time_left_ms: time_left_ms.unwrap_or(u64::MAX / 1000),
        });
        rest = rest.get(end + 1 + length..).unwrap_or_default();
    }
    parts
}

fn report_part(received_at: u64, part: &Part, executed: bool) {
    let request = part.id.rsplit_once('.').map_or(part.id.as_str(), |(request, _)| request);
    let mut out = std::io::stdout().lock();
    // The soak test that reads the output has ended: so does its worker.
    if writeln!(out, "part {received_at} {request} {} {} {executed}", part.shard, part.time_left_ms).is_err()
    {
        std::process::exit(0);
    }
}

async fn write_responses(
    mut write: OwnedWriteHalf,
    mut queue: mpsc::UnboundedReceiver<String>,
    mut random: Rng,
) -> std::io::Result<()> {
    while let Some(text) = queue.recv().await {
        let mut bytes = (text.len() as u32).to_le_bytes().to_vec();
        bytes.extend_from_slice(text.as_bytes());
        if random.f64() < SPLIT_SHARE {
            let split_at = random.usize(1..bytes.len());
            write.write_all(&bytes[..split_at]).await?;
            tokio::time::sleep(SPLIT_PAUSE).await;
            write.write_all(&bytes[split_at..]).await?;
        } else {
            write.write_all(&bytes).await?;
        }
    }
    Ok(())
}
