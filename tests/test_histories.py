"""The checker of answer histories: valid and invalid histories, and a controller that caches its answers."""

import pytest

from roadhead.api import server
from roadhead.local.histories import Answer, AnswerHistory, RequestKind, Rule
from roadhead.local.world import World

SUBMIT, POLL, CANCEL = RequestKind.SUBMIT, RequestKind.POLL, RequestKind.CANCEL
ACCEPTED = (SUBMIT, 0.0, 1.0, 201, "pending")


def violated_rules(*answers, job="j", history=None):
    """Returns the rules that the answers violate.

    Each answer: (request kind, asked at, answered at, status, state).
    """
    history = history or AnswerHistory()
    history.record_submission(job, 0.0)
    return [
        fault.rule
        for kind, asked, answered, status, *state in answers
        for fault in history.add(Answer(job, kind, "one", asked, answered, status, *state))
    ]


VALID = {
    "as it goes": [
        ACCEPTED,
        (POLL, 2, 3, 200, "pending"),
        (POLL, 4, 5, 200, "running"),
        (POLL, 6, 7, 200, "done"),
    ],
    "tasks stop": [ACCEPTED, (POLL, 2, 3, 200, "running"), (POLL, 4, 5, 200, "pending")],
    "unsure": [ACCEPTED, (POLL, 2, 3, 503), (POLL, 4, 5, 0), (SUBMIT, 6, 7, 503), (CANCEL, 8, 9, 503)],
    "unknown as yet": [(POLL, 0, 1, 404), (SUBMIT, 0, 2, 503), (SUBMIT, 3, 4, 201, "pending")],
    "404 asked before it was accepted": [ACCEPTED, (POLL, 0.5, 2, 404)],
    "running asked before the cancellation was told": [
        ACCEPTED,
        (CANCEL, 2, 4, 200, "cancelled"),
        (POLL, 3.9, 5, 200, "running"),
    ],
    "a late cancellation": [ACCEPTED, (POLL, 2, 3, 200, "done"), (CANCEL, 4, 5, 200, "done")],
    "a repeated submission": [ACCEPTED, (CANCEL, 2, 3, 200, "cancelled"), (SUBMIT, 4, 5, 200, "cancelled")],
    "two first submissions at once": [ACCEPTED, (SUBMIT, 0.5, 1.5, 201, "pending")],
    "refused": [(SUBMIT, 0, 1, 422), (SUBMIT, 2, 3, 422), (POLL, 4, 5, 404)],
}


@pytest.mark.parametrize("name", VALID)
def test_a_valid_history_has_no_fault(name):
    assert violated_rules(*VALID[name]) == []


INVALID = {
    "404 once accepted": ([ACCEPTED, (POLL, 1, 2, 404)], Rule.FORGOTTEN),
    "404 to a cancellation": ([ACCEPTED, (CANCEL, 2, 3, 404)], Rule.FORGOTTEN),
    "a repeat refused": ([ACCEPTED, (SUBMIT, 2, 3, 422)], Rule.FORGOTTEN),
    "404 once a poll was answered": ([(POLL, 0, 1, 200, "pending"), (POLL, 2, 3, 404)], Rule.FORGOTTEN),
    "running after done": (
        [ACCEPTED, (POLL, 2, 3, 200, "done"), (POLL, 3, 4, 200, "running")],
        Rule.WENT_BACK,
    ),
    "a repeat older than a poll": (
        [ACCEPTED, (POLL, 2, 3, 200, "done"), (SUBMIT, 3.001, 4, 200, "pending")],
        Rule.WENT_BACK,
    ),
    "a poll older than a cancellation": (
        [ACCEPTED, (CANCEL, 2, 3, 200, "cancelled"), (POLL, 3.001, 3.002, 200, "running")],
        Rule.WENT_BACK,
    ),
    "done and cancelled at once": (
        [ACCEPTED, (CANCEL, 2, 3, 200, "cancelled"), (POLL, 2.9, 3.1, 200, "done")],
        Rule.WENT_BACK,
    ),
    "accepted anew": ([ACCEPTED, (SUBMIT, 2, 3, 201, "pending")], Rule.BAD_ANSWER),
    "a cancellation that is none": ([ACCEPTED, (CANCEL, 2, 3, 200, "running")], Rule.BAD_ANSWER),
}


@pytest.mark.parametrize("name", INVALID)
def test_an_invalid_answer_is_noticed(name):
    answers, rule = INVALID[name]
    assert violated_rules(*answers) == [rule]


def test_a_job_that_nobody_submitted_is_noticed():
    assert [fault.rule for fault in AnswerHistory().add(Answer("j", POLL, "one", 0, 1, 200, "pending"))] == [
        Rule.INVENTED
    ]


def test_jobs_are_checked_separately_and_answers_in_order():
    history = AnswerHistory()
    assert violated_rules(ACCEPTED, (POLL, 2, 3, 200, "done"), history=history) == []
    assert (
        violated_rules((SUBMIT, 3, 4, 201, "pending"), (POLL, 4, 5, 503), job="other", history=history) == []
    )
    assert history.unavailable(POLL) == 1 and history.unavailable(SUBMIT) == 0
    with pytest.raises(ValueError):
        history.add(Answer("j", POLL, "one", 2, 3, 200, "done"))


def test_overlapping_answers_are_counted():
    history = AnswerHistory()
    assert violated_rules(*VALID["running asked before the cancellation was told"], history=history) == []
    assert history.overlaps == 1


SCENARIO = """
at 0.5 close-looks 60
at 1 submit count=4 legs=2 runS=8
at 20 cancel 3
at 24 poll 1,2,3,4
until 60
"""


def test_a_controller_that_answers_from_a_cache_is_noticed(monkeypatch):
    assert World(SCENARIO).run().violations == []
    real, first_replies = server.Api._poll, {}

    async def poll_from_cache(api, job_id):
        reply = await real(api, job_id)
        return first_replies.setdefault((api, job_id), reply) if reply[0] == 200 else reply

    monkeypatch.setattr(server.Api, "_poll", poll_from_cache)
    assert any("went_back" in fault for fault in World(SCENARIO).run().violations)
