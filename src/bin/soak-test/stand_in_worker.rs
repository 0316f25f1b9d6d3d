//! A stand-in for a worker: it receives frames, serves parts, and misbehaves now and then. It reports each part on standard
//! output, as a line `part RECEIVED_US ID SHARD TIME_LEFT_MS EXECUTED`, which `worker_process` reads.

use crate::monotonic::now_us;
use crate::runtime;
use fastrand::Rng;
use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// The longest frame that it accepts.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// A connection is closed after at most so long without a frame.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2000);
/// The share of parts that it rejects.
const REJECTED_SHARE: f64 = 0.02;
/// The share of parts that it rejects or fails.
const UNSERVED_SHARE: f64 = 0.04;
/// Parts drawn above this reset the connection.
const RESET_ABOVE: f64 = 0.995;
/// The share of responses that it writes in two pieces.
const SPLIT_SHARE: f64 = 0.02;

/// The value that a worker makes of a part. Clients check it.
pub fn value(id: &str) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(id.as_bytes()))
}

/// A part of a frame.
struct Part {
    id: String,
    shard: u32,
    time_left_ms: u64,
}

/// Serves until it is killed.
pub fn serve(seed: u64, listen: &str) -> ExitCode {
    runtime::block_on(async {
        let listener = TcpListener::bind(listen).await.expect("its address is free");
        let mut random = Rng::with_seed(seed);
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let random = random.fork();
            spawn_local(async move {
                // A connection that ends, however it does, concerns no other.
                let _ = serve_connection(stream, random).await;
            });
        }
    })
}

async fn serve_connection(stream: TcpStream, mut random: Rng) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut read, write) = stream.into_split();
    let (responses, queue) = mpsc::unbounded_channel();
    spawn_local(write_responses(write, queue, random.fork()));
    // Some close idle connections early, so that closes cross frames.
    let idle = IDLE_TIMEOUT.mul_f64(0.1 + 0.9 * random.f64());
    loop {
        let Ok(frame) = tokio::time::timeout(idle, read_frame(&mut read)).await else { return Ok(()) };
        let frame = frame?;
        let received_at = now_us();
        if frame.first() != Some(&b'm') {
            continue;
        }
        for part in parse_parts(&frame[1..]) {
            let fate = random.f64();
            report_part(received_at, &part, fate >= REJECTED_SHARE);
            if fate > RESET_ABOVE {
                // The connection is reset while the request is in flight.
                return Ok(());
            }
            let service = Duration::from_micros(random.u64(1000..12_000));
            let result = match fate {
                fate if fate < REJECTED_SHARE => "later",
                fate if fate < UNSERVED_SHARE => "bad",
                _ => "good",
            };
            let responses = responses.clone();
            spawn_local(async move {
                tokio::time::sleep(service).await;
                let value = if result == "good" { value(&part.id) } else { String::new() };
                let text = format!("q{} {result} {} util=0.1,queue=0\n{value}", part.id, service.as_micros());
                // The connection may have ended.
                let _ = responses.send(text);
            });
        }
    }
}

async fn read_frame(read: &mut OwnedReadHalf) -> std::io::Result<Vec<u8>> {
    let length = read.read_u32_le().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; length];
    read.read_exact(&mut frame).await?;
    Ok(frame)
}

/// The parts of a call: lines `ID SHARD LIST LENGTH`, each with so many bytes behind it.
fn parse_parts(mut rest: &[u8]) -> Vec<Part> {
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
    // Without its observer the process is of no use, and ends with it.
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
            // In two pieces, cut anywhere.
            let cut = random.usize(1..bytes.len());
            write.write_all(&bytes[..cut]).await?;
            tokio::time::sleep(Duration::from_millis(2)).await;
            write.write_all(&bytes[cut..]).await?;
        } else {
            write.write_all(&bytes).await?;
        }
    }
    Ok(())
}
