//! The client side of the proxy: client connections, their requests and the responses to these requests.

mod client_connection;
pub mod client_listener;
mod client_socket;
mod close_request;
mod connection_table;
mod connection_task;
mod fair_task;
mod flush_signal;
mod forwarded_headers;
mod framing;
mod head_memory;
mod lifecycle;
mod request;
mod request_error;
mod request_handler;
mod request_head;
mod request_progress;
mod response;
mod response_body;
pub mod server;
mod shutdown_schedule;
mod write_progress;
