"""Fault windows: faults that hit the emulators for a while, with a given probability."""

from dataclasses import dataclass, field

LATE_COMMAND_S = (2.0, 16.0)  # range of a command's delay
SLOW_REPORT_S = (0.2, 3.0)  # range of a report's delay: less than its worker's timeout for the response
QUICK_BOOT_S = (0.2, 2.0)  # range of a boot time


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
    """The fault windows of a world; on a real event loop all stay closed."""

    lost_writes: FaultWindow = field(
        default_factory=FaultWindow
    )  # executed transactions whose response is lost
    late_reports: FaultWindow = field(default_factory=FaultWindow)
    slow_reports: FaultWindow = field(default_factory=FaultWindow)
    reports_for_next: FaultWindow = field(default_factory=FaultWindow)  # copies kept until the term changes
    late_commands: FaultWindow = field(default_factory=FaultWindow)
    cancelled_at_end: FaultWindow = field(
        default_factory=FaultWindow
    )  # jobs cancelled as their last task ends
    quick_boots: FaultWindow = field(default_factory=FaultWindow)
    close_looks: FaultWindow = field(default_factory=FaultWindow)
