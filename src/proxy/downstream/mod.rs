//! The side of the clients: their connections, requests and responses.

pub mod connections;
mod framing;
pub mod request;
pub mod response;
pub mod server;
