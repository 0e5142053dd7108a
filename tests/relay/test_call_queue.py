"""The queue of calls that wait for the backend server."""

from __future__ import annotations

from eelgrassmount.relay.call_queue import CallQueue
from eelgrassmount.relay.job import Job
from eelgrassmount.relay.messages import Origin
from tests.relay.samples import make_call


def make_job(priority: int = 1) -> Job:
    return Job(make_call(origin=Origin(priority)), lambda reply: None)


def test_jobs_leave_the_queue_in_the_order_of_their_due_times():
    queue = CallQueue()
    late, soon = make_job(), make_job()
    queue.push(late, 2.0)
    queue.push(soon, 1.0)
    assert queue.list_jobs() == [soon, late]
    assert [queue.pop(), queue.pop(), queue.pop()] == [soon, late, None]


def test_job_leaves_the_queue_once():
    """A job that was started must not be refused as waiting, or counted twice."""
    queue = CallQueue()
    removed, popped = make_job(), make_job()
    queue.push(removed, 1.0)
    queue.push(popped, 2.0)
    assert queue.remove(removed)
    assert not queue.remove(removed)
    assert queue.pop() is popped
    assert not queue.remove(popped)
    assert len(queue) == 0
    assert queue.count_ahead(5) == 0
    assert queue.list_jobs() == []


def test_only_jobs_as_urgent_or_more_are_counted_as_ahead():
    queue = CallQueue()
    for priority in (0, 1, 1, 3):
        queue.push(make_job(priority), 1.0)
    assert [queue.count_ahead(priority) for priority in (0, 1, 2, 3)] == [1, 3, 3, 4]
