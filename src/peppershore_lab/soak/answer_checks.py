"""Check of what callers got against what back ends answered."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence

from peppershore_lab.soak.observations import AnswerGiven, Record, RequestEnded, Violation

FIRST_SUCCESS, FIRST_REDIRECT = 200, 300


def answers_are_own(record: Record) -> Iterator[Violation]:
    """A caller gets from a back end only what one answered to the caller's own request.

    Status and body are of the same answer, to the last byte.
    """
    given: defaultdict[str, list[AnswerGiven]] = defaultdict(list)
    for answer in record.answers:
        given[answer.request].append(answer)
    for request in record.requests:
        if not _is_of_a_back_end(request):
            continue
        answers = given[request.request]
        got = (request.status, request.body)
        if got not in {(each.status, each.body) for each in answers}:
            yield Violation("answers-are-own", _detail(request, answers), request.ended_at)


ANSWER_CHECKS = (answers_are_own,)


def _is_of_a_back_end(request: RequestEnded) -> bool:
    """Return whether an answer came from a back end; the others have the node's reason."""
    is_success = FIRST_SUCCESS <= request.status < FIRST_REDIRECT
    is_own = request.status > 0 and not request.reason
    return is_success or bool(request.signature) or is_own


def _detail(request: RequestEnded, answers: Sequence[AnswerGiven]) -> str:
    """Return text on what a caller got, and what back ends had answered."""
    is_given = request.status in {each.status for each in answers}
    got = f"{request.status}{' with another body' if is_given else ''}"
    texts = (
        f"{each.status}{' without a length' if each.unframed else ''} beside {each.node}"
        for each in answers
    )
    return f"{request.request} got {got}, answered: {', '.join(texts) or 'nothing'}"
