"""Troubles that last for a while: what strikes the emulators now, and how often."""

from dataclasses import dataclass, field

LATE_COMMAND_S = (2.0, 16.0)  # by so much a command is held up
SLOW_REPORT_S = (0.2, 3.0)  # so long a report is on its way: less than its worker waits for the answer
QUICK_BOOT_S = (0.2, 2.0)


@dataclass
class FaultWindow:
    """A trouble that strikes this share of what comes along, until then; `struck` counts how often it did."""

    share: float = 0.0
    until: float = 0.0
    struck: int = 0

    def strikes(self, sim):
        strikes = sim.time < self.until and sim.random.random() < self.share
        self.struck += strikes
        return strikes


@dataclass
class FaultWindows:
    """What strikes the emulators now; none of it does on a real loop."""

    lost_writes: FaultWindow = field(default_factory=FaultWindow)  # transactions whose answer alone is lost
    late_reports: FaultWindow = field(default_factory=FaultWindow)
    slow_reports: FaultWindow = field(default_factory=FaultWindow)
    reports_for_next: FaultWindow = field(default_factory=FaultWindow)  # copies kept until the term changes
    late_commands: FaultWindow = field(default_factory=FaultWindow)
    cancelled_at_end: FaultWindow = field(default_factory=FaultWindow)  # jobs, as their last task ends
    quick_boots: FaultWindow = field(default_factory=FaultWindow)
    close_looks: FaultWindow = field(default_factory=FaultWindow)
