//! Runs that stand still on a worker that answers.

use crosspath_border::worker::{Outcome, Running};

use crate::common::{Bed, Ordered, ended, ms, running, step};

fn look(bed: &mut Bed, order: &Ordered, percent: u32) {
    bed.pass(ms(400));
    let row = Running { percent, ..running(order.task, order.run) };
    bed.held(&order.worker, vec![row], Vec::new());
    bed.pass(ms(60));
}

#[test]
fn a_run_that_stands_still_is_stopped_and_goes_on_elsewhere() {
    let mut bed = Bed::with_workers(&["a", "b"]);
    bed.submit(vec![step(2, 2)]);
    let starts = bed.starts();
    bed.started(&starts[0]);
    bed.started(&starts[1]);
    for _ in 0..6 {
        bed.pass(ms(400));
        let rows =
            starts.iter().map(|order| Running { percent: 7, ..running(order.task, order.run) });
        let rows = rows.collect();
        bed.held("a", rows, Vec::new());
        bed.pass(ms(60));
    }
    let stops = bed.stops();
    assert_eq!(stops.len(), 2);
    let ends =
        (1..).zip(&stops).map(|(n, order)| ended(n, order.task, order.run, Outcome::Stopped));
    bed.held("a", Vec::new(), ends.collect());
    bed.pass(ms(100));
    let again = bed.starts();
    assert!(again.iter().all(|order| &*order.worker == "b"), "{again:?}");
}

#[test]
fn a_slow_run_goes_on() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.submit(vec![step(1, 2)]);
    let order = bed.starts().remove(0);
    bed.started(&order);
    for percent in 1..40 {
        look(&mut bed, &order, percent);
    }
    assert_eq!(bed.stops(), Vec::new());
}

#[test]
fn a_run_is_not_taken_to_stand_still_while_nobody_looked() {
    let mut bed = Bed::with_workers(&["a"]);
    bed.submit(vec![step(1, 2)]);
    let order = bed.starts().remove(0);
    bed.started(&order);
    look(&mut bed, &order, 5);
    bed.pass(ms(4_000));
    assert_eq!(bed.stops(), Vec::new());
}
