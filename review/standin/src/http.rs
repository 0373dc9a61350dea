//! HTTP/1.1 for the stand-ins: a server with one thread a connection, and a client.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    /// Path with the query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query, undecoded but for the escape of the zero byte.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(n, _)| *n == name).map_or("", |(_, v)| v);
        value.replace("%00", "\0")
    }
}

pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Serves requests until the process ends. A handler that returns `None` never answers: its
/// connection stays open and silent.
pub fn serve<F>(address: SocketAddr, handle: F) -> io::Result<()>
where
    F: Fn(Request) -> Option<Response> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || drop(serve_connection(stream, &*handle)));
        }
    });
    Ok(())
}

fn serve_connection(
    mut stream: TcpStream,
    handle: &dyn Fn(Request) -> Option<Response>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(stream.try_clone()?);
    loop {
        let Some((line, headers)) = reader.head()? else {
            return Ok(());
        };
        let mut words = line.split(' ').map(ToOwned::to_owned);
        let (method, target) = (words.next(), words.next());
        let mut request = Request {
            method: method.unwrap_or_default(),
            target: target.unwrap_or_default(),
            headers,
            body: Vec::new(),
        };
        let framed = Framing::of(&request.headers, false);
        reader.body(framed, |part| request.body.extend_from_slice(part))?;
        let Some(answer) = handle(request) else {
            // The connection says nothing further.
            loop {
                thread::sleep(Duration::from_secs(1));
            }
        };
        let mut out = format!("HTTP/1.1 {} -\r\n", answer.status);
        for (name, value) in &answer.headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str(&format!("Content-Length: {}\r\n\r\n", answer.body.len()));
        let mut out = out.into_bytes();
        out.extend_from_slice(&answer.body);
        stream.write_all(&out)?;
    }
}

/// How the end of a body is known.
#[derive(Clone, Copy)]
pub enum Framing {
    Length(usize),
    Chunked,
    Close,
}

impl Framing {
    fn of(headers: &[(String, String)], is_answer: bool) -> Self {
        if find(headers, "transfer-encoding").is_some() {
            return Self::Chunked;
        }
        match find(headers, "content-length").and_then(|l| l.trim().parse().ok()) {
            Some(length) => Self::Length(length),
            None if is_answer => Self::Close,
            None => Self::Length(0),
        }
    }
}

type Headers = Vec<(String, String)>;

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub const fn new(stream: TcpStream) -> Self {
        let buffer = Vec::new();
        Self { stream, buffer }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 4096];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }

    /// Reads the first line and the headers; `None` if the connection ends before them.
    pub fn head(&mut self) -> io::Result<Option<(String, Headers)>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let head = String::from_utf8_lossy(&head).into_owned();
                let mut lines = head.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(n, v)| (n.to_owned(), v.trim().to_owned()));
                return Ok(Some((first, headers.collect())));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a body part by part; an error if the connection ends before the body.
    pub fn body(&mut self, framing: Framing, mut part: impl FnMut(&[u8])) -> io::Result<()> {
        match framing {
            Framing::Length(length) => self.exactly(length, &mut part),
            Framing::Close => loop {
                part(&std::mem::take(&mut self.buffer));
                if !self.fill()? {
                    return Ok(());
                }
            },
            Framing::Chunked => loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.trim(), 16);
                let size = size.map_err(|_| io::Error::other("no chunk size"))?;
                self.exactly(size, &mut part)?;
                self.line()?;
                if size == 0 {
                    return Ok(());
                }
            },
        }
    }

    fn exactly(&mut self, mut left: usize, part: &mut impl FnMut(&[u8])) -> io::Result<()> {
        while left > 0 {
            if self.buffer.is_empty() && !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let count = left.min(self.buffer.len());
            part(&self.buffer[..count]);
            self.buffer.drain(..count);
            left -= count;
        }
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// An answer as a consumer received it.
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the whole body arrived, by its length or its last chunk.
    pub complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Sends a request on an open connection and reads the answer; `pace` is called after each part of
/// the body was read, with the number of bytes so far.
pub fn exchange(
    stream: TcpStream,
    request: &[u8],
    limit: Duration,
    mut pace: impl FnMut(usize),
) -> io::Result<Answer> {
    let until = Instant::now() + limit;
    stream.set_read_timeout(Some(limit))?;
    (&stream).write_all(request)?;
    let mut reader = Reader::new(stream);
    let Some((line, headers)) = reader.head()? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
    let mut answer = Answer {
        status: status.ok_or_else(|| io::Error::other("no status"))?,
        headers,
        body: Vec::new(),
        complete: false,
    };
    let framing = Framing::of(&answer.headers, true);
    let body = &mut answer.body;
    let read = reader.body(framing, |part| {
        body.extend_from_slice(part);
        pace(body.len());
    });
    answer.complete = read.is_ok() && Instant::now() <= until;
    Ok(answer)
}

/// Sends a request on a new connection.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Answer> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    exchange(stream, request, limit, |_| {})
}
