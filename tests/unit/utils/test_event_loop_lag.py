"""Pauses of a process and the calls that waited during them."""

from nutmegknot._internal.utils import event_loop_lag


def test_a_call_read_after_a_pause_may_have_waited_for_all_of_it() -> None:
    """Guards against calls that get their full time again after a pause."""
    lag = event_loop_lag.EventLoopLag()
    assert event_loop_lag.compute_unread_ms(lag, 900_000) == 0
    event_loop_lag.record_time(lag, 1_000)
    event_loop_lag.record_time(lag, 1_000 + event_loop_lag.MIN_PAUSE_MS)
    assert event_loop_lag.compute_unread_ms(lag, 1_900) == 0
    # Read before and after the timer of the samples fires.
    assert event_loop_lag.compute_unread_ms(lag, 5_500) == 4_000
    event_loop_lag.record_time(lag, 5_510)
    assert event_loop_lag.compute_unread_ms(lag, 5_510) == 4_010
    late_ms = 5_510 + event_loop_lag.PAUSE_BACKLOG_MS
    event_loop_lag.record_time(lag, late_ms)
    assert event_loop_lag.compute_unread_ms(lag, late_ms) == 4_010
    assert event_loop_lag.compute_unread_ms(lag, late_ms + 1) == 0
