//! Whether the store answers this daemon.

use std::time::Duration;

use crosspath_node::contact::Contact;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_store_that_answers_is_not_silent_however_late() {
    let mut contact = Contact::default();
    for at in (0..5_000).step_by(500) {
        contact.asked(ms(at));
        assert!(!contact.is_silent(ms(at + 430)), "a slow store at {at}");
        contact.answered(ms(at + 430));
    }
    assert!(!contact.is_silent(ms(60_000)), "nothing was asked");
    assert_eq!(contact.last_answer(), ms(4_930));
}

#[test]
fn silence_counts_from_the_oldest_call_and_ends_with_an_answer() {
    let mut contact = Contact::default();
    contact.asked(ms(1_000));
    contact.asked(ms(1_350));
    assert!(!contact.is_silent(ms(1_799)));
    assert!(contact.is_silent(ms(1_800)));
    contact.asked(ms(2_000));
    assert!(contact.is_silent(ms(2_000)), "asking again does not end it");
    contact.answered(ms(2_100));
    assert!(!contact.is_silent(ms(2_100)));
}

#[test]
fn a_store_that_refuses_for_some_time_is_down_until_it_takes_something() {
    let mut contact = Contact::default();
    contact.refused(ms(1_000));
    assert_eq!(contact.down_for(ms(1_299)), None, "an owner may be on its way");
    contact.refused(ms(1_300));
    assert_eq!(contact.down_for(ms(1_300)), Some(ms(300)));
    contact.kept();
    assert_eq!(contact.down_for(ms(1_400)), None);
    contact.refused(ms(2_000));
    contact.answered(ms(2_100));
    assert_eq!(contact.down_for(ms(9_000)), None, "what is read shows that it is up");
}
