//! A scripted shared counter.

use super::Shared;
use super::http::for_each_target;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// A shared counter with its totals by name.
pub(crate) struct Counter {
    pub address: SocketAddr,
    pub totals: Arc<Shared<HashMap<String, f64>>>,
    pub fault: Arc<Shared<CounterFault>>,
}

/// The fault of a scripted counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CounterFault {
    None,
    /// Rejects each call with status 503.
    Rejects,
    /// Adds the amount and responds without a number.
    NoNumber,
    /// Adds the amount and does not respond.
    NoResponse,
    /// Sends an interim response (status 103) before the final one.
    InterimResponse,
}

impl Counter {
    pub(crate) fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let totals = Shared::new(HashMap::new());
        let fault = Shared::new(CounterFault::None);
        let shared_totals = totals.clone();
        let shared_fault = fault.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let totals = shared_totals.clone();
                let fault = shared_fault.clone();
                std::thread::spawn(move || Self::serve(stream, &totals, &fault));
            }
        });
        Self { address, totals, fault }
    }

    fn serve(stream: TcpStream, totals: &Shared<HashMap<String, f64>>, fault: &Shared<CounterFault>) {
        for_each_target(stream, |target, stream| {
            let rest = target.strip_prefix("/v1/count/").expect("the path of the counter protocol");
            let (name, query) = rest.split_once('?').expect("an amount and a time to live");
            let amount = query.split('&').find_map(|p| p.strip_prefix("add=")).expect("an amount");
            let amount: f64 = amount.parse().expect("a decimal");
            let fault = fault.update(|fault| *fault);
            if fault == CounterFault::Rejects {
                return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n");
            }
            let total = totals.update(|t| {
                let total = t.entry(name.to_owned()).or_default();
                *total += amount;
                total.to_string()
            });
            let interim =
                if fault == CounterFault::InterimResponse { "HTTP/1.1 103 Early\r\n\r\n" } else { "" };
            let total = if fault == CounterFault::NoNumber { "none" } else { &total };
            match fault {
                CounterFault::NoResponse => Ok(()),
                _ => {
                    write!(
                        stream,
                        "{interim}HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{total}",
                        total.len()
                    )
                }
            }
        });
    }
}
