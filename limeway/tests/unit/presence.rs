//! Unit tests of what is known of a client's connection.

use super::*;

/// Guards against attempts for a client that may have gone, and against refusing one that is there.
#[test]
fn a_client_is_known_to_be_connected_while_watched_and_shortly_after_it_was_seen() {
    let long_ago = Instant::now() - 2 * MAX_UNSEEN_TIME;
    let presence = ClientPresence::seen_at(long_ago);
    assert!(!presence.is_known(), "it was seen too long ago");
    presence.set_seen();
    assert!(presence.is_known());
    presence.set_watched();
    std::thread::sleep(2 * MAX_UNSEEN_TIME);
    assert!(presence.is_known(), "its end would have been reported");
    presence.set_unwatched(Instant::now());
    assert!(presence.is_known(), "it was there until now");
    presence.set_watched();
    presence.set_unwatched(long_ago);
    assert!(!presence.is_known(), "it has been out of sight for long");
}

/// Guards against taking bytes that arrive for a sign of life: a client may have sent them long before.
#[test]
fn unread_input_does_not_renew_the_time_at_which_a_client_was_seen() {
    let presence = ClientPresence::seen_at(Instant::now() - 2 * MAX_UNSEEN_TIME);
    presence.set_unwatched(Instant::now());
    assert!(!presence.is_known());
}
