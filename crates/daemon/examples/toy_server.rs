//! A minimal worker and a minimal discovery service in one process, for trying out the scheduler.
//!
//! Run `cargo run -p brackenledge --example toy_server`, then a scheduler with `examples/config.json`. Every
//! job takes 100 ms, and its result is its body in upper case. The server starts a thread for each
//! connection, without a limit on their number.

use serde_json::{Value, json};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const DISCOVERY: &str = "127.0.0.1:8500";
const WORKER: &str = "127.0.0.1:8600";
const RUN_TIME: Duration = Duration::from_millis(100);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

#[derive(Default)]
struct Request {
    /// Method, path and version, with the line end.
    request_line: String,
    trace_id: String,
    body: String,
}

/// Reads the next request on a connection; `None` if the client has closed it.
fn read_request(input: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut request = Request::default();
    if input.read_line(&mut request.request_line)? == 0 {
        return Ok(None);
    }
    let mut body_length = 0;
    loop {
        let mut line = String::new();
        input.read_line(&mut line)?;
        match line.trim_end().split_once(": ") {
            Some((name, value)) if name.eq_ignore_ascii_case("X-Trace-Id") => {
                request.trace_id = value.to_owned();
            }
            Some((name, value)) if name.eq_ignore_ascii_case("Content-Length") => {
                body_length = value.parse().map_err(io::Error::other)?;
            }
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; body_length];
    input.read_exact(&mut body)?;
    request.body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some(request))
}

/// Writes a line as one chunk.
fn write_line(output: &mut TcpStream, line: &str) -> io::Result<()> {
    output.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
}

/// Serves as a worker: reports the start of each job, sleeps for 100 ms, and returns the result.
fn serve_jobs(stream: TcpStream) -> io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input)? {
        print!("job {}: {}", request.trace_id, request.request_line);
        let status_line = |state: &str| json!({"id": request.trace_id, "from": "toy", "state": state});
        output.write_all(CHUNKED_HEAD.as_bytes())?;
        write_line(&mut output, &status_line("started").to_string())?;
        thread::sleep(RUN_TIME);
        let mut done = status_line("done");
        done["result"] = Value::from(request.body.to_uppercase());
        done["load"] = json!({"x0": 2, "x1": 2, "inflight": 1});
        write_line(&mut output, &done.to_string())?;
        output.write_all(LAST_CHUNK)?;
    }
    Ok(())
}

/// Serves as discovery: sends a list of one endpoint and then, on a watch, a keep-alive every 2 s.
fn serve_endpoint_list(stream: TcpStream) -> io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input)? {
        print!("discovery: {}", request.request_line);
        let endpoint = json!({"name": "toy", "address": WORKER, "zone": "jhb-north", "type": "small-3c",
            "group": 0, "status": "ready", "weight": 1.0, "since_ms": 0});
        output.write_all(CHUNKED_HEAD.as_bytes())?;
        write_line(&mut output, &json!({"index": 1, "snapshot": true, "endpoints": [endpoint]}).to_string())?;
        while request.request_line.contains("follow=1") {
            thread::sleep(KEEP_ALIVE_INTERVAL);
            write_line(&mut output, "")?;
        }
        output.write_all(LAST_CHUNK)?;
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
