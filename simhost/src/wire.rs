//! The simulator's line protocol: parses lines into events and writes actions as lines. Without decisions.

use base64::prelude::*;
use pondgw::*;
use serde_json::Value;
use std::collections::HashMap;
use std::fmt::Write;
use std::rc::Rc;
use std::str::FromStr;

/// A gateway, with the names that the protocol uses in place of its indices.
struct Instance {
    gateway: Gateway,
    classes: Vec<String>,
    plans: Vec<String>,
    zones: Vec<String>,
    servers: Vec<String>,
    server_ids: HashMap<String, ServerId>,
}

/// A server of a list that several gateways may share, so zone and server are still names.
struct ListedServer {
    server: String,
    zone: String,
    cell: u64,
    lifecycle: Lifecycle,
    weight: f64,
    started_at: Micros,
}

/// A list of servers that is being read.
struct PartialList {
    number: u64,
    missing: usize,
    servers: Vec<ListedServer>,
}

/// All gateways of this process, and the batch that is being read.
#[derive(Default)]
pub struct Host {
    now: Micros,
    in_batch: bool,
    instances: HashMap<String, Instance>,
    /// Lists of servers by number, which a gateway gets by reference.
    lists: HashMap<u64, Rc<Vec<ListedServer>>>,
    partial_list: Option<PartialList>,
    actions: Vec<Action>,
    reply: String,
}

type Parsed<T> = Result<T, String>;

/// The rest of a line, which is read column by column. `column` names the column in error messages.
struct Columns<'a>(&'a str);

impl<'a> Columns<'a> {
    fn word(&mut self, column: &str) -> Parsed<&'a str> {
        let (word, rest) = self.0.split_once(' ').unwrap_or((self.0, ""));
        self.0 = rest;
        if word.is_empty() {
            return Err(format!("{column} is missing"));
        }
        Ok(word)
    }

    fn value<T: FromStr>(&mut self, column: &str) -> Parsed<T> {
        let word = self.word(column)?;
        word.parse().map_err(|_| format!("{column} is not valid: {word}"))
    }

    /// A value, or this default if the column is "-".
    fn value_or<T: FromStr>(&mut self, column: &str, default: T) -> Parsed<T> {
        match self.word(column)? {
            "-" => Ok(default),
            word => word.parse().map_err(|_| format!("{column} is not valid: {word}")),
        }
    }

    /// A finite number, or 0 if the column is "-".
    fn number(&mut self, column: &str) -> Parsed<f64> {
        let value: f64 = self.value_or(column, 0.0)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(format!("{column} is not finite"))
        }
    }
}

fn parse_status(word: &str) -> Parsed<Status> {
    Ok(match word {
        "OK" => Status::Ok,
        "INTERNAL" => Status::Error,
        "RESOURCE_EXHAUSTED" => Status::Declined,
        "DEADLINE_EXCEEDED" => Status::Timeout,
        "UNAVAILABLE" => Status::ConnectFailed,
        "ABORTED" => Status::Reset,
        "CANCELLED" => Status::Cancelled,
        "TOO_LATE" => Status::NotSent,
        _ => return Err(format!("unknown outcome: {word}")),
    })
}

fn parse_load_report(text: &str) -> Parsed<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.split(',').filter(|p| !p.is_empty() && *p != "-") {
        let (name, value) =
            pair.split_once(':').ok_or_else(|| format!("load report is not valid: {pair}"))?;
        let value: f64 = value.parse().map_err(|_| format!("load report is not valid: {pair}"))?;
        report.set_metric(name, value);
    }
    Ok(report)
}

fn index_of(names: &[String], name: &str, what: &str) -> Parsed<usize> {
    names.iter().position(|n| n == name).ok_or_else(|| format!("unknown {what}: {name}"))
}

impl Instance {
    /// The server's id; a new one if the name is not yet known.
    fn server_id(&mut self, name: &str) -> ServerId {
        if let Some(&id) = self.server_ids.get(name) {
            return id;
        }
        self.servers.push(name.to_owned());
        self.server_ids.insert(name.to_owned(), self.servers.len() - 1);
        self.servers.len() - 1
    }

    /// The zone's index; a new one if the name is not yet known.
    fn zone(&mut self, name: &str) -> usize {
        self.zones.iter().position(|z| z == name).unwrap_or_else(|| {
            self.zones.push(name.to_owned());
            self.zones.len() - 1
        })
    }

    /// Parses a line into an event; `None` if it is about a server that no list has contained.
    fn parse_event(
        &mut self,
        message: &str,
        columns: &mut Columns,
        lists: &HashMap<u64, Rc<Vec<ListedServer>>>,
    ) -> Parsed<Option<Event>> {
        Ok(Some(match message {
            "FLEET" => {
                let kind = match columns.word("how")? {
                    "0" => ListKind::Delta,
                    "1" => ListKind::Full,
                    "2" => ListKind::Cached,
                    "3" => ListKind::Failed,
                    other => return Err(format!("unknown kind of list: {other}")),
                };
                columns.word("revision")?;
                let mut entries = Vec::new();
                if kind != ListKind::Failed {
                    let number = columns.value("ref")?;
                    let list = lists.get(&number).ok_or_else(|| format!("no list {number}"))?.clone();
                    for listed in list.iter() {
                        entries.push(ServerEntry {
                            server: self.server_id(&listed.server),
                            zone: self.zone(&listed.zone),
                            cell: listed.cell,
                            lifecycle: listed.lifecycle,
                            weight: listed.weight,
                            started_at: listed.started_at,
                        });
                    }
                }
                Event::Servers { kind, entries }
            }
            "DEMAND" => Event::Request(ClientRequest {
                id: columns.value("call")?,
                class: index_of(&self.classes, columns.word("priority")?, "class")?,
                plan: index_of(&self.plans, columns.word("contract")?, "plan")?,
                customer: columns.word("member")?.to_owned(),
                time_left: columns.value("budget")?,
                units: columns.number("units")?,
                gateways: columns.value_or("doors", 1)?,
                first_gateway: columns.value_or("set-from", 0)?,
            }),
            "BELL" => Event::Timer { token: columns.value("tag")? },
            "DONE" => {
                let (id, attempt) = (columns.value("call")?, columns.value("attempt")?);
                let server = match self.server_ids.get(columns.word("server")?) {
                    Some(&server) => server,
                    None => return Ok(None),
                };
                let status = parse_status(columns.word("reason")?)?;
                let latency = columns.value_or("spent", 0)?;
                let request_done = columns.word("last")? == "1";
                columns.word("usage")?;
                columns.word("billed")?;
                let load = parse_load_report(columns.0)?;
                Event::Outcome(Outcome { id, attempt, server, status, latency, request_done, load })
            }
            "STARTED" => {
                Event::StreamStarted { id: columns.value("call")?, attempt: columns.value("attempt")? }
            }
            "VANISHED" => Event::ClientGone { id: columns.value("call")? },
            "SUM" => Event::Counted {
                name: columns.value("tally-id")?,
                status: parse_status(columns.word("reason")?)?,
                total: columns.number("value")?,
                latency: columns.value_or("spent", 0)?,
            },
            "HEALTH_RESULT" => {
                columns.word("spent")?;
                let status = parse_status(columns.word("reason")?)?;
                match self.server_ids.get(columns.word("server")?) {
                    Some(&server) => Event::Probed { server, status },
                    None => return Ok(None),
                }
            }
            "PEER" => {
                let from = columns.value("sender")?;
                let data = match columns.word("payload")? {
                    "-" => Vec::new(),
                    text => {
                        BASE64_STANDARD.decode(text).map_err(|e| format!("payload is not base64: {e}"))?
                    }
                };
                Event::PeerMessage { from, data }
            }
            other => return Err(format!("unknown message: {other}")),
        }))
    }

    /// Appends an action of the gateway with this name as a line to the reply.
    fn write_action(&self, name: &str, action: &Action, reply: &mut String) {
        let result = match *action {
            Action::Send { id, server, timeout } => {
                writeln!(reply, "SUBMIT_TO {name} {id} {} {timeout}", self.servers[server])
            }
            Action::Cancel { id, attempt } => writeln!(reply, "ABANDON {name} {id} {attempt}"),
            Action::Refuse { id, retry_after } => writeln!(reply, "NOT_NOW {name} {id} {retry_after}"),
            Action::Fail { id } => writeln!(reply, "DROP_REQUEST {name} {id}"),
            Action::Timer { at, token } => writeln!(reply, "WAKE_AT {name} {at} {token}"),
            Action::Count { name: count, amount, ttl } => {
                writeln!(reply, "BUMP {name} {count} {amount} {ttl}")
            }
            Action::SendToPeer { peer, ref data } => {
                writeln!(reply, "SIGNAL {name} {peer} {}", BASE64_STANDARD.encode(data))
            }
            Action::Watch => writeln!(reply, "TRACK {name} 1"),
        };
        debug_assert!(result.is_ok(), "writing to a string cannot fail");
    }
}

impl Host {
    /// Handles a line; returns the reply after the last line of a batch.
    pub fn handle_line(&mut self, line: &str) -> Parsed<Option<String>> {
        let mut columns = Columns(line.trim_end_matches('\r'));
        let message = columns.word("message")?;
        if let Some(list) = self.partial_list.take() {
            self.add_to_list(list, message, &mut columns)?;
            return Ok(None);
        }
        if message == "BEGIN_BATCH" {
            if self.in_batch {
                return Err("a batch begins within a batch".into());
            }
            self.now = columns.value("clock")?;
            self.in_batch = true;
            return Ok(None);
        }
        if !self.in_batch {
            return Err(format!("outside a batch: {message}"));
        }
        match message {
            "OVER_TO_YOU" => {
                self.in_batch = false;
                self.reply.push_str("END\n");
                return Ok(Some(std::mem::take(&mut self.reply)));
            }
            "LEDGER" => {
                let (number, count) = (columns.value("ref")?, columns.value("entries")?);
                if count == 0 {
                    self.lists.insert(number, Rc::default());
                } else {
                    self.partial_list = Some(PartialList { number, missing: count, servers: Vec::new() });
                }
                return Ok(None);
            }
            _ => {}
        }
        let name = columns.word("limiter-id")?;
        match message {
            "BEGIN" => self.create_instance(name, &mut columns)?,
            "DETACH" => {
                self.instances.remove(name);
            }
            _ => {
                let Some(instance) = self.instances.get_mut(name) else { return Ok(None) };
                if let Some(event) = instance.parse_event(message, &mut columns, &self.lists)? {
                    instance.gateway.handle(self.now, event, &mut self.actions);
                    for action in self.actions.drain(..) {
                        instance.write_action(name, &action, &mut self.reply);
                    }
                }
            }
        }
        Ok(None)
    }

    /// Adds a server to the list that is being read, which ends with as many servers as announced.
    fn add_to_list(&mut self, mut list: PartialList, message: &str, columns: &mut Columns) -> Parsed<()> {
        if message != "SERVER" {
            return Err(format!("list {} lacks {} entries", list.number, list.missing));
        }
        list.servers.push(parse_server(columns)?);
        if list.missing > 1 {
            list.missing -= 1;
            self.partial_list = Some(list);
        } else {
            self.lists.insert(list.number, Rc::new(list.servers));
        }
        Ok(())
    }

    /// Creates a gateway from its seed and its settings object, which is the rest of the line.
    fn create_instance(&mut self, name: &str, columns: &mut Columns) -> Parsed<()> {
        let seed = columns.value("init-seed")?;
        let json: Value = serde_json::from_str(columns.0).map_err(|e| format!("setup is not valid: {e}"))?;
        let settings = HostSettings::from_json(&json).map_err(|e| e.reason)?;
        let instance = Instance {
            gateway: Gateway::new(settings.settings, seed, self.now),
            classes: settings.classes,
            plans: settings.plans,
            zones: settings.zones,
            servers: Vec::new(),
            server_ids: HashMap::new(),
        };
        self.instances.insert(name.to_owned(), instance);
        Ok(())
    }
}

fn parse_server(columns: &mut Columns) -> Parsed<ListedServer> {
    let (server, zone) = (columns.word("server")?.to_owned(), columns.word("zone")?.to_owned());
    columns.word("generation-hw")?;
    let cell = columns.value_or("bay", 0)?;
    let lifecycle = match columns.word("lifecycle")? {
        "0" => Lifecycle::Removed,
        "1" => Lifecycle::Ready,
        "2" => Lifecycle::Draining,
        other => return Err(format!("unknown lifecycle: {other}")),
    };
    Ok(ListedServer {
        server,
        zone,
        cell,
        lifecycle,
        weight: columns.value_or("power-hint", 1.0)?,
        started_at: columns.value_or("launched", 0)?,
    })
}
