//! Targets that close the connection in the middle of the head of an answer.

use thistlesill_platform_standin::link::{HEAD_CUTS, LinkFault};
use thistlesill_platform_standin::world::World;

use crate::support::{ask, book, pass_on, read, read_answer, sleep, stream, world};

fn cut_heads(world: &World, places: std::ops::Range<usize>, fault: LinkFault) {
    for link in &world.targets.links[places] {
        link.set_fault(fault);
    }
}

/// Callers must not get a success for an answer of which no whole head arrived.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_whose_head_is_cut_off_looks_whole() {
    let world = world(197, 1).await;
    for (turn, text) in HEAD_CUTS.into_iter().enumerate() {
        // Each request adds to the retry budget.
        for count in 0..30 {
            let got = ask(&world, 0, read(&format!("before-{turn}-{count}"))).await;
            assert_eq!(got.status, 200, "{text:?}");
        }
        cut_heads(&world, 0..10, LinkFault::CutAfter(text));
        let got = ask(&world, 0, book(&format!("once-{turn}"))).await;
        assert_eq!(got.status, 502, "{text:?}: {got:?}");
        let got = ask(&world, 0, stream(&format!("stream-{turn}"))).await;
        assert!(got.status != 200 || !got.is_complete, "{text:?}: {got:?}");
        let peer = pass_on(&world, 0, &read(&format!("passed-{turn}"))).await;
        let answer = read_answer(peer).await;
        assert!(answer.starts_with("HTTP/1.1 50"), "{text:?}: {answer}");
        // One plain target sends whole heads again: what may be repeated is served there, also on
        // connections that are kept.
        cut_heads(&world, 8..9, LinkFault::None);
        sleep(300).await;
        for count in 0..4 {
            let id = format!("read-{turn}-{count}");
            let got = ask(&world, 0, read(&id)).await;
            assert_eq!((got.status, got.body), (200, format!("GET {id}")));
        }
        cut_heads(&world, 0..10, LinkFault::None);
        sleep(2_600).await;
    }
}

/// A target that begins an answer is reached, whatever the answer is worth. Its service was taken for
/// out of reach, and requests were refused after it had recovered.
#[tokio::test(flavor = "multi_thread")]
async fn targets_that_cut_heads_off_count_as_out_of_reach() {
    let world = world(198, 1).await;
    cut_heads(&world, 8..10, LinkFault::CutAfter("HTTP/1.1 2"));
    for turn in 0..6 {
        let got = ask(&world, 0, book(&format!("once-{turn}"))).await;
        assert_eq!(got.status, 502, "turn {turn}: {got:?}");
    }
    assert_eq!(world.log_lines(0, "ev=links_lost"), Vec::<String>::new());
    cut_heads(&world, 8..10, LinkFault::None);
    let got = ask(&world, 0, book("after")).await;
    assert_eq!(got.status, 200, "{got:?}");
}
