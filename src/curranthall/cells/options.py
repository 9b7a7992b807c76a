"""Optional features that a deployment switches on."""

from typing import NamedTuple


class Options(NamedTuple):
    """Features that are off unless a deployment names them."""

    # Stop checkpointing tasks of lower priority for urgent ones that find no worker.
    preemption: bool = False
    # Order jobs by their slack and by what delaying them costs.
    deadline_order: bool = False
    # Start copies of slow tasks whose steps allow it.
    copies: bool = False
    # Refuse jobs at once that would be done too late in every cell.
    early_refusal: bool = False
    # Choose cells by predicted finish, and move jobs before they wait.
    projected_load: bool = False

    @property
    def needs_backlog(self) -> bool:
        """Return whether cells have to publish the work that they still have to do."""
        return self.early_refusal or self.projected_load


NO_OPTIONS = Options()


def parse_options(text: str) -> Options:
    """Parse a comma-separated list of features; raise ValueError for an unknown one."""
    names = [name for each in text.split(",") if (name := each.strip())]
    unknown = sorted(set(names) - set(Options._fields))
    if unknown:
        raise ValueError(f"unknown features {unknown}, known are {list(Options._fields)}")
    return Options(**dict.fromkeys(names, True))
