"""Fault windows: faults that hit the emulators for a while, with a given probability."""

from dataclasses import dataclass, field

LATE_COMMAND_S = (2.0, 16.0)  # range of a command's delay
SLOW_REPORT_S = (0.2, 3.0)  # range of a report's delay: less than its worker's timeout for the response
SLOW_ANSWER_S = (0.2, 3.9)  # range of the delay of an answer to a report, likewise
SLOW_COMMAND_S = (0.2, 1.5)  # range of the delay of a direct command that is answered in time
QUICK_BOOT_S = (0.2, 2.0)  # range of a boot time
LATE_COPY_S = (0.2, 60.0)  # range of the time from a request's answer to the arrival of a copy
LATE_COPIES = (1, 1, 3)  # a request that is copied arrives so many times more, drawn from these


@dataclass
class FaultWindow:
    """A fault that hits a `share` of the events until the time `until`; `struck` counts the hits."""

    share: float = 0.0
    until: float = 0.0
    struck: int = 0

    def strikes(self, sim):
        """Decides at random whether the fault hits the current event."""
        is_hit = sim.time < self.until and sim.random.random() < self.share
        self.struck += is_hit
        return is_hit


@dataclass
class FaultWindows:
    """The fault windows of a world. With real processes, only scale runs open one, `slow_reports`."""

    # Transactions that are executed, but whose response is lost.
    lost_writes: FaultWindow = field(default_factory=FaultWindow)
    # Reports of which a copy arrives late.
    late_reports: FaultWindow = field(default_factory=FaultWindow)
    # Frames between controllers that are lost on links that stay up.
    lost_frames: FaultWindow = field(default_factory=FaultWindow)
    slow_reports: FaultWindow = field(default_factory=FaultWindow)
    # Answers to reports that arrive late, but in time for their workers to carry them out.
    slow_answers: FaultWindow = field(default_factory=FaultWindow)
    # Reports of which a copy is kept until the term changes.
    reports_for_next: FaultWindow = field(default_factory=FaultWindow)
    late_commands: FaultWindow = field(default_factory=FaultWindow)
    # Direct commands that arrive late, but are answered in time.
    slow_commands: FaultWindow = field(default_factory=FaultWindow)
    # Requests that were carried out and answered, of which copies arrive later, by their receiver.
    copied_commands: FaultWindow = field(default_factory=FaultWindow)
    copied_state_requests: FaultWindow = field(default_factory=FaultWindow)
    copied_cloud_requests: FaultWindow = field(default_factory=FaultWindow)
    copied_user_requests: FaultWindow = field(default_factory=FaultWindow)
    # Jobs that their user cancels as their last task ends.
    cancelled_at_end: FaultWindow = field(default_factory=FaultWindow)
    # Machines that boot much faster than usual.
    quick_boots: FaultWindow = field(default_factory=FaultWindow)
    # New job states seen by a user that are checked at once at every controller.
    close_looks: FaultWindow = field(default_factory=FaultWindow)
