"""The job queue, the idle list and task placement of one controller: the dispatcher of JIQ-DIO."""
