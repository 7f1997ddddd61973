"""Records of decisions, so that they can be explained."""

import collections
import dataclasses
import time

MAX_SUBJECTS = 20_000
MAX_RECORDS_PER_SUBJECT = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """One decision about a VM, team, task or wave.

    :ivar at: wall-clock time in seconds since the epoch.
    :ivar what: what was decided.
    :ivar inputs: inputs of the decision.
    :ivar assurance: line of the assurance file, with who asked for it.
    """

    at: float
    what: str
    inputs: str
    assurance: str = ""

    def line(self) -> str:
        """Return the decision as one line for an operator."""
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(self.at))
        source = f" by {self.assurance}" if self.assurance else ""
        return f"{at} {self.what} from {self.inputs}{source}"


class Decisions:
    """The last decisions about each subject, bounded in number."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: collections.OrderedDict[
            tuple[str, str], collections.deque[Decision]
        ] = collections.OrderedDict()

    def record(self, kind: str, name: str, decision: Decision) -> None:
        """Record a decision about a subject.

        A decision that repeats the last one replaces it.
        """
        key = (kind, name)
        known = self._records.setdefault(
            key, collections.deque(maxlen=MAX_RECORDS_PER_SUBJECT)
        )
        if known and known[-1].what == decision.what:
            known.pop()
        known.append(decision)
        self._records.move_to_end(key)
        while len(self._records) > MAX_SUBJECTS:
            self._records.popitem(last=False)

    def explain(self, kind: str, name: str) -> list[str]:
        """Return the decisions about a subject, oldest first."""
        known = self._records.get((kind, name), ())
        return [decision.line() for decision in known]
