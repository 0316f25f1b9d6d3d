//! A stand-in worker: takes frames, serves parts, and misbehaves now and then. It tells of each part on standard output,
//! a line `part CAME_US ID SHARD TOLD_MS RAN`.

use crate::time;
use fastrand::Rng;
use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};

/// The longest frame that it takes.
const LONGEST: usize = 1 << 20;
/// A connection is closed after so long without a frame.
const IDLE: Duration = Duration::from_millis(2000);
/// What a worker makes of a part. Clients check it.
pub fn value(id: &str) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(id.as_bytes()))
}

/// A part of a frame.
struct Part {
    id: String,
    shard: u32,
    told_ms: u64,
}

/// Serves until it is killed.
pub fn serve(seed: u64, listen: &str) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind(listen).await.expect("its address is free");
        let mut random = Rng::with_seed(seed);
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let random = random.fork();
            spawn_local(async move {
                // A connection that ends, however it does, concerns nobody else.
                let _ = connection(stream, random).await;
            });
        }
    })
}

async fn connection(stream: TcpStream, mut random: Rng) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut read, write) = stream.into_split();
    let (answers, queue) = mpsc::unbounded_channel();
    spawn_local(write_answers(write, queue, random.fork()));
    // Some close idle connections early, so that closes cross frames.
    let idle = IDLE.mul_f64(0.1 + 0.9 * random.f64());
    loop {
        let Ok(frame) = tokio::time::timeout(idle, frame(&mut read)).await else { return Ok(()) };
        let frame = frame?;
        let came = time::now();
        if frame.first() != Some(&b'm') {
            continue;
        }
        for part in parts(&frame[1..]) {
            let fate = random.f64();
            let ran = fate >= 0.02;
            tell(came, &part, ran);
            if fate > 0.995 {
                // The connection is reset under the request.
                return Ok(());
            }
            let service = Duration::from_micros(random.u64(1000..12_000));
            let end = if fate < 0.02 {
                "later"
            } else if fate < 0.04 {
                "bad"
            } else {
                "good"
            };
            let answers = answers.clone();
            spawn_local(async move {
                tokio::time::sleep(service).await;
                let value = if end == "good" { value(&part.id) } else { String::new() };
                let text = format!("q{} {end} {} util=0.1,queue=0\n{value}", part.id, service.as_micros());
                // Nobody may be there any longer.
                let _ = answers.send(text);
            });
        }
    }
}

async fn frame(read: &mut OwnedReadHalf) -> std::io::Result<Vec<u8>> {
    let length = read.read_u32_le().await? as usize;
    if length > LONGEST {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; length];
    read.read_exact(&mut frame).await?;
    Ok(frame)
}

/// The parts of a call: lines `ID SHARD LIST LENGTH`, each with so many bytes behind it.
fn parts(mut rest: &[u8]) -> Vec<Part> {
    let mut parts = Vec::new();
    while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
        let line = String::from_utf8_lossy(&rest[..end]).into_owned();
        let words: Vec<&str> = line.split(' ').collect();
        let [id, shard, list, length] = words[..] else { break };
        let told = list.split(',').find_map(|pair| pair.strip_prefix("d=")).and_then(|ms| ms.parse().ok());
        let length: usize = length.parse().unwrap_or(0);
        parts.push(Part {
            id: id.to_owned(),
            shard: shard.parse().unwrap_or(u32::MAX),
            told_ms: told.unwrap_or(u64::MAX / 1000),
        });
        rest = rest.get(end + 1 + length..).unwrap_or_default();
    }
    parts
}

fn tell(came: u64, part: &Part, ran: bool) {
    let request = part.id.rsplit_once('.').map_or(part.id.as_str(), |(request, _)| request);
    let mut out = std::io::stdout().lock();
    // Without its observer it is of no use, and ends with it.
    if writeln!(out, "part {came} {request} {} {} {ran}", part.shard, part.told_ms).is_err() {
        std::process::exit(0);
    }
}

async fn write_answers(
    mut write: OwnedWriteHalf,
    mut queue: mpsc::UnboundedReceiver<String>,
    mut random: Rng,
) -> std::io::Result<()> {
    while let Some(text) = queue.recv().await {
        let mut bytes = (text.len() as u32).to_le_bytes().to_vec();
        bytes.extend_from_slice(text.as_bytes());
        if random.f64() < 0.02 {
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
