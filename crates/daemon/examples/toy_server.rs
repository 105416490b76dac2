//! A toy worker and a toy discovery service in one, to try the scheduler with.
//!
//! Run `cargo run -p brackenledge --example toy_server`, then a scheduler with `examples/config.json`. Every job "runs" for
//! 100 ms and its result is its own body in capitals. It has a thread for each connection, and no limits.

use serde_json::{Value, json};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const DISCOVERY: &str = "127.0.0.1:8500";
const WORKER: &str = "127.0.0.1:8600";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// One request: its first line, its trace id and its body; `None` once the connection has ended.
fn read_request(input: &mut BufReader<TcpStream>) -> io::Result<Option<(String, String, String)>> {
    let (mut first, mut id, mut length) = (String::new(), String::new(), 0);
    if input.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        input.read_line(&mut line)?;
        match line.trim_end().split_once(": ") {
            Some((name, value)) if name.eq_ignore_ascii_case("X-Trace-Id") => id = value.to_owned(),
            Some((name, value)) if name.eq_ignore_ascii_case("Content-Length") => {
                length = value.parse().map_err(io::Error::other)?;
            }
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body)?;
    Ok(Some((first, id, String::from_utf8_lossy(&body).into_owned())))
}

fn write_line(output: &mut TcpStream, line: &str) -> io::Result<()> {
    output.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
}

/// The worker: reports each job's start, takes 100 ms, and returns the result.
fn serve_jobs(stream: TcpStream) -> io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some((first, id, body)) = read_request(&mut input)? {
        print!("job {id}: {first}");
        let state = |name: &str| json!({"id": id, "from": "toy", "state": name});
        output.write_all(CHUNKED.as_bytes())?;
        write_line(&mut output, &state("started").to_string())?;
        thread::sleep(Duration::from_millis(100));
        let mut done = state("done");
        done["result"] = Value::from(body.to_uppercase());
        done["load"] = json!({"x0": 2, "x1": 2, "inflight": 1});
        write_line(&mut output, &done.to_string())?;
        output.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// Discovery: the list of one endpoint, then, on a watch, a keep-alive every 2 s.
fn serve_endpoint_list(stream: TcpStream) -> io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some((first, ..)) = read_request(&mut input)? {
        print!("discovery: {first}");
        let endpoint = json!({"name": "toy", "address": WORKER, "zone": "jhb-north", "type": "small-3c",
            "group": 0, "status": "ready", "weight": 1.0, "since_ms": 0});
        output.write_all(CHUNKED.as_bytes())?;
        write_line(&mut output, &json!({"index": 1, "snapshot": true, "endpoints": [endpoint]}).to_string())?;
        while first.contains("follow=1") {
            thread::sleep(Duration::from_secs(2));
            write_line(&mut output, "")?;
        }
        output.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

fn listen(address: &str, serve: fn(TcpStream) -> io::Result<()>) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    println!("listening on {address}");
    for stream in listener.incoming() {
        let stream = stream?;
        thread::spawn(move || serve(stream));
    }
    Ok(())
}

fn main() -> io::Result<()> {
    thread::spawn(|| listen(DISCOVERY, serve_endpoint_list));
    listen(WORKER, serve_jobs)
}
