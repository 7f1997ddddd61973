"""Where one entry VM runs and the bounds that it must keep."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Figures of the deployment, in seconds unless said otherwise.

    :ivar holder_lease: lease of a pool's holder.
    :ivar worker_lease: longest lease of what a worker runs.
    :ivar key_withdrawal: a withdrawn key must stop working within this.
    :ivar stop: longest time that a worker takes to stop a run.
    :ivar cancel: within this, nothing of a cancelled job starts any more.
    :ivar drain: within this, a leaving worker gets nothing more.
    :ivar take_out: within this, a taken-out data centre gets nothing more.
    :ivar gang_wait: how long a gang's task waits for the others.
    :ivar notice: a task away for longer counts as missing.
    :ivar throttle_delay: after this a throttled task works slower.
    :ivar disturbance: longest time that a serving task may be disturbed.
    :ivar far_factor: how much slower a task is away from its data.
    :ivar checkpoint_interval: seconds of work between checkpoints.
    :ivar restore: time to resume from a checkpoint.
    :ivar move: time that a machine takes to move to another pool.
    :ivar maintenance: time that the upkeep of a machine takes.
    :ivar grace: time between SIGTERM and SIGKILL.
    :ivar status: how long an ended job is known.
    :ivar pending_age: how late a job may appear in a queue's count.
    """

    holder_lease: float = 3.0
    worker_lease: float = 6.0
    key_withdrawal: float = 5.0
    stop: float = 0.4
    cancel: float = 3.0
    drain: float = 2.0
    take_out: float = 5.0
    gang_wait: float = 3.0
    notice: float = 4.5
    throttle_delay: float = 0.1
    disturbance: float = 4.0
    far_factor: float = 2.0
    checkpoint_interval: float = 2.0
    restore: float = 0.6
    move: float = 1.5
    maintenance: float = 2.0
    grace: float = 6.0
    status: float = 120.0
    pending_age: float = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Settings of one process; addresses are IP and port.

    :ivar vm: name of the entry VM.
    :ivar data_centres: names of all data centres.
    :ivar policy: address of the placement policy, empty without one.
    :ivar heartbeat: seconds between registrations of a worker.
    """

    vm: str
    data_centre: str
    data_centres: tuple[str, ...]
    frontend: str
    readiness: str
    metrics: str
    store: str
    machines: str
    policy: str = ""
    heartbeat: float = 1.5
    bounds: Bounds = Bounds()
