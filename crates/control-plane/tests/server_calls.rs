//! Orders to a server whose TCP does not accept them.

use std::time::Duration;

use control_plane::{HttpServerCalls, ServerCalls, ORDER_DELIVERY_TIMEOUT};
use rollout::{OrderReply, UpdateMethod, VersionOrder};
use tokio::net::TcpSocket;
use tokio::time::timeout;

/// Size of an order that fits neither into the receive buffer of the server nor into the send buffer of the leader.
const LARGE_ORDER_BYTES: usize = 32 * 1024 * 1024;
/// Time after which the kernel has dropped the order. It checks the user timeout only when it probes the window.
const MAX_DELIVERY_TIME: Duration = ORDER_DELIVERY_TIMEOUT.saturating_mul(2);

/// Guards against review/3: an order that is not acknowledged must not stay in the kernel, which would deliver it
/// later, when another process may be the leader. A closed receive window delays the bytes as a partition does.
#[tokio::test]
async fn given_a_closed_receive_window_when_an_order_is_sent_then_the_connection_fails_within_the_user_timeout(
) {
    let socket = TcpSocket::new_v4().expect("a socket can be created");
    socket.set_recv_buffer_size(4096).expect("the buffer can be set");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port is free");
    let listener = socket.listen(1).expect("the socket listens");
    let address = listener.local_addr().expect("the listener has an address");
    // The connection is accepted by the kernel only, and nobody reads from it.
    let order = VersionOrder {
        server: "i-1".into(),
        address,
        model: "m".into(),
        version: 2,
        method: UpdateMethod::Drain,
        expected_order_count: None,
    };
    let calls = HttpServerCalls::new();
    let reply = timeout(MAX_DELIVERY_TIME, calls.send_order(&order, "x".repeat(LARGE_ORDER_BYTES))).await;
    assert_eq!(reply, Ok(OrderReply::Indeterminate), "the connection is still up");
}
