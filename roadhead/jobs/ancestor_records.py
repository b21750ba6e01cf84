"""How stored job records are read, and what follows from them, for walks over a job's ancestors."""

from functools import partial

from roadhead.jobs.job import ARCHIVE, RECORD_PREFIX, awaited_ids, cancelled_with_ancestor_record
from roadhead.jobs.records import complete, find
from roadhead.pipelines.ancestry import JobRecords


def ancestor_records(state, final_state, learn):
    """Returns the JobRecords of a process that reads records with `state`, its state service's client.

    `final_state(id)` returns the final state of a job known to be over, or None; `learn(id, record)` is
    called with each final record that a walk reads.
    """
    return JobRecords(
        final_state=final_state,
        learn=learn,
        find=partial(find, state),
        complete=partial(complete, state),
        dependencies_of=awaited_ids,
        cancelled_record=cancelled_with_ancestor_record,
        prefixes=(RECORD_PREFIX, ARCHIVE),
    )
