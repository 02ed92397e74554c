//! Messages about attempts of requests that may crash endpoints.

use trestle_wire::trials::{TrialStep, WireTrial};

macro_rules! cases {
    ($($name:ident: $step:expr, $has_ended:expr;)+) => { $(
        #[test]
        fn $name() {
            let trial = WireTrial::new("vm-1".to_owned(), [7; 16], 12, $step);
            assert_eq!((trial.step(), trial.attempt_number()), ($step, 12));
            assert_eq!(trial.has_ended, $has_ended);
        }
    )+ };
}

cases! {
    a_question: TrialStep::Begin, false;
    // A leader that does not know renewals must not take one for the end of the attempt.
    a_renewal: TrialStep::Renew, false;
    an_end: TrialStep::End, true;
}
